#include "catalogue/cataloguereview.h"

#include <fmt/format.h>

#include <algorithm>
#include <string_view>
#include <unordered_set>
#include <utility>

namespace lacewingwharf {

namespace {

/**
 * Whether a Host header can have this value. A route is compared with the whole
 * header, whose value has no spaces around it and no parts of a URL but the
 * host and the port.
 */
bool
IsPossibleHost(std::string_view aHost)
{
  constexpr std::string_view kExcluded = "/?#@\\\"<>{}|^`";
  constexpr char kDelete = 127;
  return std::ranges::all_of(aHost, [kExcluded](char aCharacter) {
    return aCharacter > ' ' && aCharacter < kDelete &&
           kExcluded.find(aCharacter) == std::string_view::npos;
  });
}

/** The names to which the routes of a catalogue refer. */
struct RouteTargets
{
  std::unordered_set<std::string> services;
  std::unordered_set<std::string> owners;
};

RouteTargets
CollectTargets(const AcceptedEntries& aEntries)
{
  RouteTargets targets;
  for (const auto& [name, accepted] : aEntries) {
    const Entry& entry = accepted->entry;
    if (entry.kind != EntryKind::Route) {
      continue;
    }
    targets.owners.insert(entry.owner);
    for (std::string& service : entry.Services()) {
      targets.services.insert(std::move(service));
    }
  }
  return targets;
}

} // namespace

CatalogueReview::CatalogueReview(SnapshotPtr aSnapshot, ReviewBounds aBounds)
  : snapshot(std::move(aSnapshot))
  , bounds(aBounds)
{
}

std::vector<Finding>
CatalogueReview::FindWarnings()
{
  this->findings.clear();
  this->CheckUse();
  this->CheckLimits();
  std::ranges::stable_sort(this->findings, {}, &Finding::entry);
  return std::move(this->findings);
}

/**
 * Two routes that match the same request are an error, unless one has a longer
 * path or a host. That one leaves the other the path itself, or other hosts, so
 * no valid route is hidden by others.
 */
void
CatalogueReview::CheckUse()
{
  const AcceptedEntries& entries = this->snapshot->Entries();
  const RouteTargets targets = CollectTargets(entries);
  for (const auto& [name, accepted] : entries) {
    const Entry& entry = accepted->entry;
    if (entry.kind == EntryKind::Route) {
      this->CheckHost(entry);
    } else if (entry.kind == EntryKind::Service &&
               !targets.services.contains(name)) {
      this->Warn(WarningCode::ServiceWithoutRoute,
                 entry,
                 "no route names the service, so it gets no calls");
    } else if (entry.kind == EntryKind::Owner &&
               !targets.owners.contains(entry.owner)) {
      this->Warn(WarningCode::OwnerWithoutRoutes,
                 entry,
                 fmt::format("no route has the owner '{}', so its limits apply "
                             "to no calls",
                             entry.owner));
    } else if (entry.kind == EntryKind::Team && entry.team.keyDigests.empty()) {
      this->Warn(WarningCode::TeamWithoutKeys,
                 entry,
                 "the team has no keys, so no caller is of the team");
    }
  }
}

void
CatalogueReview::CheckHost(const Entry& aRoute)
{
  if (!IsPossibleHost(aRoute.match.host)) {
    this->Warn(WarningCode::ImpossibleHost,
               aRoute,
               fmt::format("no request has the Host header '{}', which must be "
                           "a name or an address, with a port if callers send "
                           "one",
                           aRoute.match.host));
  }
}

void
CatalogueReview::Warn(WarningCode aCode,
                      const Entry& aEntry,
                      std::string aDetail)
{
  this->findings.push_back({ FindingLevel::Warning,
                             std::string(kWarningNames.NameOf(aCode)),
                             aEntry.name,
                             std::move(aDetail) });
}

} // namespace lacewingwharf
