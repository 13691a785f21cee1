#include "catalogue/validation.h"

#include <fmt/format.h>

#include <bitset>
#include <unordered_map>

namespace lacewingwharf {

namespace {

using Methods = std::bitset<kHttpMethodNames.Rows().size()>;
using Routes = std::unordered_multimap<std::string_view, const Entry*>;
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

void
CheckReference(const AcceptedEntries& aEntries,
               const Entry& aRoute,
               std::vector<Conflict>& aConflicts)
{
  const auto found = aEntries.find(aRoute.service);
  if (found != aEntries.end() &&
      found->second->entry.kind == EntryKind::Service) {
    return;
  }
  aConflicts.push_back(
    { CatalogueErrorCode::DanglingReference,
      aRoute.name,
      aRoute.service,
      fmt::format("route '{}' names the service '{}', which does not exist",
                  aRoute.name,
                  aRoute.service) });
}

void
CheckMatch(Routes& aRoutes,
           const Entry& aRoute,
           std::vector<Conflict>& aConflicts)
{
  const Methods methods = MethodsOf(aRoute.match);
  const auto [begin, end] = aRoutes.equal_range(aRoute.match.path);
  for (auto other = begin; other != end; ++other) {
    if ((MethodsOf(other->second->match) & methods).any()) {
      aConflicts.push_back(
        { CatalogueErrorCode::DuplicateMatch,
          aRoute.name,
          other->second->name,
          fmt::format("routes '{}' and '{}' match the same method on '{}'",
                      other->second->name,
                      aRoute.name,
                      aRoute.match.path) });
    }
  }
  aRoutes.emplace(aRoute.match.path, &aRoute);
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

} // namespace

std::vector<Conflict>
FindConflicts(const AcceptedEntries& aEntries)
{
  std::vector<Conflict> conflicts;
  Routes routes;
  Owners owners;
  for (const auto& [name, accepted] : aEntries) {
    const Entry& entry = accepted->entry;
    if (entry.kind == EntryKind::Route) {
      CheckReference(aEntries, entry, conflicts);
      CheckMatch(routes, entry, conflicts);
    } else if (entry.kind == EntryKind::Owner) {
      CheckOwner(owners, entry, conflicts);
    }
  }
  return conflicts;
}

} // namespace lacewingwharf
