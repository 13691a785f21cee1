#include "membership/recordpush.h"

#include "common/hash.h"
#include "membership/wiresize.h"

#include <algorithm>
#include <set>
#include <utility>

namespace lacewingwharf {

namespace {

std::size_t
PositionOf(const std::vector<std::string>& aHosts, const std::string& aHost)
{
  const auto position = std::ranges::lower_bound(aHosts, aHost);
  const auto index = static_cast<std::size_t>(position - aHosts.begin());
  return index % aHosts.size();
}

/**
 * Adds the root to the live hosts. A member that leaves is the root of the tree
 * for its own record, but its receivers no longer count it as live.
 */
std::vector<std::string>
WithRoot(std::vector<std::string> aHosts, const std::string& aRoot)
{
  aHosts.insert(std::ranges::lower_bound(aHosts, aRoot), aRoot);
  return aHosts;
}

bool
Contains(const std::vector<std::string>& aHosts, const std::string& aHost)
{
  return std::ranges::binary_search(aHosts, aHost);
}

enum class Direction
{
  Ascending,
  Descending
};

void
AddChildren(std::set<std::string>& aChildren,
            const std::vector<std::string>& aHosts,
            const std::string& aRoot,
            const std::string& aSelf,
            std::size_t aFanout,
            Direction aDirection)
{
  const std::size_t count = aHosts.size();
  const std::size_t root = PositionOf(aHosts, aRoot);
  const std::size_t self = PositionOf(aHosts, aSelf);
  const bool isAscending = aDirection == Direction::Ascending;
  const std::size_t treeIndex =
    (isAscending ? self + count - root : root + count - self) % count;
  for (std::size_t branch = 1; branch <= aFanout; ++branch) {
    const std::size_t child = treeIndex * aFanout + branch;
    if (child >= count) {
      return;
    }
    const std::size_t index = isAscending ? root + child : root + count - child;
    const std::string& host = aHosts[index % count];
    if (host != aSelf && host != aRoot) {
      aChildren.insert(host);
    }
  }
}

/** The two hosts of a region that receive a record from another region. */
struct Gateways
{
  std::string first;
  std::string second;
};

/** Daemons that agree on the hosts of a region choose the same gateways. */
Gateways
GatewaysFor(const std::vector<std::string>& aHosts, const std::string& aRoot)
{
  const std::size_t count = aHosts.size();
  const std::size_t first = Hash64(aRoot) % count;
  return { aHosts[first], aHosts[(first + count / 2) % count] };
}

} // namespace

std::vector<std::string>
TreeChildren(const std::vector<std::string>& aHosts,
             const std::string& aRoot,
             const std::string& aSelf,
             std::size_t aFanout)
{
  if (!Contains(aHosts, aRoot)) {
    return TreeChildren(WithRoot(aHosts, aRoot), aRoot, aSelf, aFanout);
  }
  std::set<std::string> children;
  AddChildren(children, aHosts, aRoot, aSelf, aFanout, Direction::Ascending);
  return { children.begin(), children.end() };
}

std::vector<std::string>
TwoTreeChildren(const std::vector<std::string>& aHosts,
                const std::string& aRoot,
                const std::string& aSelf,
                std::size_t aFanout)
{
  if (!Contains(aHosts, aRoot)) {
    return TwoTreeChildren(WithRoot(aHosts, aRoot), aRoot, aSelf, aFanout);
  }
  std::set<std::string> children;
  AddChildren(children, aHosts, aRoot, aSelf, aFanout, Direction::Ascending);
  AddChildren(children, aHosts, aRoot, aSelf, aFanout, Direction::Descending);
  return { children.begin(), children.end() };
}

std::vector<std::string>
RegionTreeChildren(const HostsByRegion& aHosts,
                   const std::string& aRootRegion,
                   const std::string& aRoot,
                   const std::string& aSelfRegion,
                   const std::string& aSelf,
                   std::size_t aFanout)
{
  const auto own = aHosts.find(aSelfRegion);
  if (own == aHosts.end()) {
    return {};
  }
  if (aSelfRegion != aRootRegion) {
    const Gateways gateways = GatewaysFor(own->second, aRoot);
    std::set<std::string> children;
    AddChildren(children,
                own->second,
                gateways.first,
                aSelf,
                aFanout,
                Direction::Ascending);
    AddChildren(children,
                own->second,
                gateways.second,
                aSelf,
                aFanout,
                Direction::Descending);
    return { children.begin(), children.end() };
  }
  std::vector<std::string> children =
    TwoTreeChildren(own->second, aRoot, aSelf, aFanout);
  if (aSelf != aRoot) {
    return children;
  }
  for (const auto& [region, hosts] : aHosts) {
    if (region != aRootRegion) {
      const Gateways gateways = GatewaysFor(hosts, aRoot);
      children.push_back(gateways.first);
      if (gateways.second != gateways.first) {
        children.push_back(gateways.second);
      }
    }
  }
  return children;
}

void
RecordPush::Add(const wire::MemberRecord& aRecord)
{
  this->pending[aRecord.host] = aRecord;
}

std::map<std::string, std::vector<wire::MemberRecord>>
RecordPush::Take(const HostsByRegion& aHosts,
                 const std::string& aSelfRegion,
                 const std::string& aSelf,
                 std::size_t aFanout)
{
  std::map<std::string, std::vector<wire::MemberRecord>> byChild;
  for (const auto& [host, record] : this->pending) {
    for (const std::string& child : RegionTreeChildren(
           aHosts, record.region, host, aSelfRegion, aSelf, aFanout)) {
      byChild[child].push_back(record);
    }
  }
  this->pending.clear();
  return byChild;
}

std::vector<std::vector<wire::MemberRecord>>
SplitBySize(const std::vector<wire::MemberRecord>& aRecords, std::size_t aBytes)
{
  std::vector<std::vector<wire::MemberRecord>> groups;
  std::size_t used = aBytes;
  for (const wire::MemberRecord& record : aRecords) {
    const std::size_t bytes = EncodedSize(record);
    if (bytes > kMaxRecordBytes) {
      continue;
    }
    if (used + bytes > aBytes) {
      groups.emplace_back();
      used = 0;
    }
    groups.back().push_back(record);
    used += bytes;
  }
  return groups;
}

} // namespace lacewingwharf
