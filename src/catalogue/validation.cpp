#include "catalogue/validation.h"

#include <fmt/format.h>

#include <array>
#include <bitset>
#include <unordered_map>
#include <utility>

namespace lacewingwharf {

namespace {

using Methods = std::bitset<kHttpMethodNames.Rows().size()>;

/** The last route with each method, or null. */
using RouteByMethod = std::array<const Entry*, kHttpMethodNames.Rows().size()>;
using Routes = std::unordered_map<std::string, RouteByMethod>;
using KeyTeams = std::unordered_map<std::string_view, const Entry*>;
using Owners = std::unordered_map<std::string_view, const Entry*>;

Methods
MethodsOf(const RouteMatch& aMatch)
{
  Methods methods;
  for (const HttpMethod method : aMatch.methods) {
    methods.set(static_cast<std::size_t>(method));
  }
  return aMatch.methods.empty() ? methods.set() : methods;
}

/** Routes with the same key match requests with the same host and paths. */
std::string
MatchKey(const RouteMatch& aMatch)
{
  return aMatch.prefix.empty() ? aMatch.host + aMatch.path
                               : aMatch.host + ' ' + aMatch.prefix;
}

void
CheckReference(const AcceptedEntries& aEntries,
               const Entry& aRoute,
               std::vector<Conflict>& aConflicts)
{
  for (const std::string& service : aRoute.Services()) {
    const auto found = aEntries.find(service);
    if (found != aEntries.end() &&
        found->second->entry.kind == EntryKind::Service) {
      continue;
    }
    aConflicts.push_back(
      { CatalogueErrorCode::DanglingReference,
        aRoute.name,
        service,
        fmt::format("route '{}' names the service '{}', which does not exist",
                    aRoute.name,
                    service) });
  }
}

/**
 * Reports at most one other route, the last one by name, so that many routes
 * with the same match do not give a conflict for each pair of them. Routes must
 * be checked in the order of their names.
 */
void
CheckMatch(Routes& aRoutes,
           const Entry& aRoute,
           std::vector<Conflict>& aConflicts)
{
  const Methods methods = MethodsOf(aRoute.match);
  const std::string key = MatchKey(aRoute.match);
  RouteByMethod& routes = aRoutes[key];
  const Entry* other = nullptr;
  for (std::size_t method = 0; method < methods.size(); ++method) {
    if (!methods.test(method)) {
      continue;
    }
    const Entry* const former = std::exchange(routes[method], &aRoute);
    if (former != nullptr && (other == nullptr || other->name < former->name)) {
      other = former;
    }
  }
  if (other == nullptr) {
    return;
  }
  aConflicts.push_back(
    { CatalogueErrorCode::DuplicateMatch,
      aRoute.name,
      other->name,
      fmt::format("routes '{}' and '{}' match the same method on '{}'",
                  other->name,
                  aRoute.name,
                  key) });
}

void
CheckOwner(Owners& aOwners,
           const Entry& aOwner,
           std::vector<Conflict>& aConflicts)
{
  const auto [other, isNew] = aOwners.emplace(aOwner.owner, &aOwner);
  if (!isNew) {
    aConflicts.push_back(
      { CatalogueErrorCode::DuplicateMatch,
        aOwner.name,
        other->second->name,
        fmt::format("entries '{}' and '{}' both limit the owner '{}'",
                    other->second->name,
                    aOwner.name,
                    aOwner.owner) });
  }
}

/** aListener is the listener entry that was found before, or null. */
void
CheckListener(const Entry*& aListener,
              const Entry& aEntry,
              std::vector<Conflict>& aConflicts)
{
  if (aListener == nullptr) {
    aListener = &aEntry;
    return;
  }
  aConflicts.push_back(
    { CatalogueErrorCode::DuplicateMatch,
      aEntry.name,
      aListener->name,
      fmt::format("entries '{}' and '{}' both limit all callers",
                  aListener->name,
                  aEntry.name) });
}

/** A key must name one team, or its calls would count for either of two. */
void
CheckKeys(KeyTeams& aKeys,
          const Entry& aTeam,
          std::vector<Conflict>& aConflicts)
{
  for (const std::string& digest : aTeam.team.keyDigests) {
    const auto [other, isNew] = aKeys.emplace(digest, &aTeam);
    if (isNew || other->second == &aTeam) {
      continue;
    }
    aConflicts.push_back({ CatalogueErrorCode::DuplicateMatch,
                           aTeam.name,
                           other->second->name,
                           fmt::format("teams '{}' and '{}' have the same key",
                                       other->second->name,
                                       aTeam.name) });
  }
}

} // namespace

std::vector<Conflict>
FindConflicts(const AcceptedEntries& aEntries)
{
  std::vector<Conflict> conflicts;
  Routes routes;
  Owners owners;
  KeyTeams keys;
  const Entry* listener = nullptr;
  for (const auto& [name, accepted] : aEntries) {
    const Entry& entry = accepted->entry;
    if (entry.kind == EntryKind::Route) {
      CheckReference(aEntries, entry, conflicts);
      CheckMatch(routes, entry, conflicts);
    } else if (entry.kind == EntryKind::Owner) {
      CheckOwner(owners, entry, conflicts);
    } else if (entry.kind == EntryKind::Listener) {
      CheckListener(listener, entry, conflicts);
    } else if (entry.kind == EntryKind::Team) {
      CheckKeys(keys, entry, conflicts);
    }
  }
  return conflicts;
}

} // namespace lacewingwharf
