#include "catalogue/snapshot.h"

#include "catalogue/validation.h"
#include "common/hash.h"

#include <algorithm>
#include <utility>

namespace lacewingwharf {

namespace {

// Numbers are hashed as decimal text, so that the hash does not depend on the
// byte order of the host.
std::uint64_t
HashNumber(std::uint64_t aHash, std::int64_t aNumber)
{
  return Hash64(std::to_string(aNumber), aHash);
}

std::uint64_t
HashOf(const VersionStamp& aStamp, const AcceptedEntries& aEntries)
{
  std::uint64_t hash = HashNumber(0, aStamp.version);
  hash = HashNumber(hash, aStamp.storeEpoch);
  hash = HashNumber(hash, aStamp.floorRevision);
  for (const auto& [name, accepted] : aEntries) {
    hash = Hash64(name, hash);
    hash = HashNumber(hash, accepted->revision);
    hash = Hash64(accepted->text, hash);
  }
  return hash;
}

} // namespace

std::size_t
Snapshot::StringHash::operator()(std::string_view aText) const
{
  return Hash64(aText);
}

CatalogueResult<SnapshotPtr>
Snapshot::Build(VersionStamp aStamp, AcceptedEntries aEntries)
{
  const std::vector<Conflict> conflicts = FindConflicts(aEntries);
  if (!conflicts.empty()) {
    const Conflict& first = conflicts.front();
    return CatalogueError{ first.code, first.entry, first.detail };
  }
  const std::shared_ptr<Snapshot> snapshot(new Snapshot);
  snapshot->stamp = aStamp;
  snapshot->contentHash = HashOf(aStamp, aEntries);
  snapshot->entries = std::move(aEntries);
  snapshot->BuildIndexes();
  return SnapshotPtr(snapshot);
}

SnapshotPtr
Snapshot::Empty()
{
  static const SnapshotPtr sEmpty = Build({}, {}).value();
  return sEmpty;
}

void
Snapshot::BuildIndexes()
{
  for (const auto& [name, accepted] : this->entries) {
    if (accepted->entry.kind == EntryKind::Route) {
      this->IndexRoute(accepted->entry);
    } else if (accepted->entry.kind == EntryKind::Owner) {
      this->ownerLimits.emplace(accepted->entry.owner, &accepted->entry);
    } else if (accepted->entry.kind == EntryKind::Listener) {
      this->listener = &accepted->entry;
    } else if (accepted->entry.kind == EntryKind::Team) {
      this->IndexTeam(accepted->entry);
    }
  }
}

void
Snapshot::IndexRoute(const Entry& aRoute)
{
  RouteTable& table = this->routesByHost[aRoute.match.host];
  ByMethod& byMethod = aRoute.match.prefix.empty()
                         ? table.paths[aRoute.match.path]
                         : table.prefixes[aRoute.match.prefix];
  if (aRoute.match.methods.empty()) {
    byMethod.fill(&aRoute);
  }
  for (const HttpMethod method : aRoute.match.methods) {
    byMethod[static_cast<std::size_t>(method)] = &aRoute;
  }
}

void
Snapshot::IndexTeam(const Entry& aTeam)
{
  this->teams.push_back(&aTeam);
  for (const std::string& digest : aTeam.team.keyDigests) {
    this->teamsByKey.emplace(digest, &aTeam);
  }
}

const AcceptedEntry*
Snapshot::Find(std::string_view aName) const
{
  const auto found = this->entries.find(aName);
  return found == this->entries.end() ? nullptr : found->second.get();
}

const Entry*
Snapshot::MatchRoute(HttpMethod aMethod,
                     std::string_view aPath,
                     std::string_view aHost) const
{
  const std::string_view path = aPath.substr(0, aPath.find('?'));
  if (!path.starts_with('/')) {
    return nullptr;
  }
  const auto hostTable = this->routesByHost.find(aHost);
  if (!aHost.empty() && hostTable != this->routesByHost.end()) {
    if (const Entry* const route =
          MatchInTable(hostTable->second, aMethod, path)) {
      return route;
    }
  }
  const auto anyHostTable = this->routesByHost.find(std::string_view());
  return anyHostTable == this->routesByHost.end()
           ? nullptr
           : MatchInTable(anyHostTable->second, aMethod, path);
}

const Entry*
Snapshot::MatchInTable(const RouteTable& aTable,
                       HttpMethod aMethod,
                       std::string_view aPath)
{
  std::string_view remaining = aPath;
  while (true) {
    if (const Entry* const route =
          FindRoute(aTable.paths, remaining, aMethod)) {
      return route;
    }
    const std::size_t slash = remaining.rfind('/');
    const std::string_view prefix = remaining.substr(0, slash + 1);
    if (const Entry* const route =
          FindRoute(aTable.prefixes, prefix, aMethod)) {
      return route;
    }
    if (remaining.size() == 1) {
      return nullptr;
    }
    remaining = remaining.substr(0, std::max<std::size_t>(slash, 1));
  }
}

const Entry*
Snapshot::FindRoute(const StringMap<ByMethod>& aRoutes,
                    std::string_view aText,
                    HttpMethod aMethod)
{
  const auto found = aRoutes.find(aText);
  return found == aRoutes.end()
           ? nullptr
           : found->second[static_cast<std::size_t>(aMethod)];
}

const Entry*
Snapshot::OwnerLimits(std::string_view aOwner) const
{
  const auto found = this->ownerLimits.find(aOwner);
  return found == this->ownerLimits.end() ? nullptr : found->second;
}

const Entry*
Snapshot::FindTeamByKey(std::string_view aDigest) const
{
  const auto found = this->teamsByKey.find(aDigest);
  return found == this->teamsByKey.end() ? nullptr : found->second;
}

ListenerLimits
Snapshot::CallerLimits() const
{
  return this->listener == nullptr ? ListenerLimits{}
                                   : this->listener->listenerLimits;
}

std::int64_t
Snapshot::HighestRevision() const
{
  std::int64_t highest = 0;
  for (const auto& [name, accepted] : this->entries) {
    highest = std::max(highest, accepted->revision);
  }
  return highest;
}

} // namespace lacewingwharf
