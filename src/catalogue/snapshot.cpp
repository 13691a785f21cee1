#include "catalogue/snapshot.h"

#include "catalogue/validation.h"
#include "common/hash.h"

#include <algorithm>
#include <utility>

namespace lacewingwharf {

namespace {

// Numbers are mixed in as decimal text, so that the hash does not depend on
// the byte order of the host.
std::uint64_t
Mix(std::uint64_t aHash, std::int64_t aNumber)
{
  return Hash64(std::to_string(aNumber), aHash);
}

std::uint64_t
HashOf(const VersionStamp& aStamp, const AcceptedEntries& aEntries)
{
  std::uint64_t hash = Mix(0, aStamp.version);
  hash = Mix(hash, aStamp.storeEpoch);
  hash = Mix(hash, aStamp.floorRevision);
  for (const auto& [name, accepted] : aEntries) {
    hash = Hash64(name, hash);
    hash = Mix(hash, accepted->revision);
    hash = Hash64(accepted->text, hash);
  }
  return hash;
}

} // namespace

std::size_t
Snapshot::TextHash::operator()(std::string_view aText) const
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
  snapshot->Index();
  return SnapshotPtr(snapshot);
}

SnapshotPtr
Snapshot::Empty()
{
  static const SnapshotPtr sEmpty = Build({}, {}).value();
  return sEmpty;
}

void
Snapshot::Index()
{
  for (const auto& [name, accepted] : this->entries) {
    if (accepted->entry.kind == EntryKind::Route) {
      this->IndexRoute(accepted->entry);
    } else if (accepted->entry.kind == EntryKind::Owner) {
      this->ownerLimits.emplace(accepted->entry.owner, &accepted->entry);
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
  const auto ofHost = this->routesByHost.find(aHost);
  if (!aHost.empty() && ofHost != this->routesByHost.end()) {
    if (const Entry* const route = MatchIn(ofHost->second, aMethod, path)) {
      return route;
    }
  }
  const auto ofAny = this->routesByHost.find(std::string_view());
  return ofAny == this->routesByHost.end()
           ? nullptr
           : MatchIn(ofAny->second, aMethod, path);
}

const Entry*
Snapshot::MatchIn(const RouteTable& aTable,
                  HttpMethod aMethod,
                  std::string_view aPath)
{
  std::string_view rest = aPath;
  while (true) {
    if (const Entry* const route = Lookup(aTable.paths, rest, aMethod)) {
      return route;
    }
    const std::size_t slash = rest.rfind('/');
    const std::string_view prefix = rest.substr(0, slash + 1);
    if (const Entry* const route = Lookup(aTable.prefixes, prefix, aMethod)) {
      return route;
    }
    if (rest.size() == 1) {
      return nullptr;
    }
    rest = rest.substr(0, std::max<std::size_t>(slash, 1));
  }
}

const Entry*
Snapshot::Lookup(const ByText<ByMethod>& aRoutes,
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
