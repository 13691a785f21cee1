#include "membership/recordpush.h"

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

} // namespace

std::vector<std::string>
TreeChildren(const std::vector<std::string>& aHosts,
             const std::string& aRoot,
             const std::string& aSelf,
             std::size_t aFanout)
{
  if (!std::ranges::binary_search(aHosts, aRoot)) {
    // A member that leaves is no longer live where its record arrived.
    std::vector<std::string> hosts = aHosts;
    hosts.insert(std::ranges::lower_bound(hosts, aRoot), aRoot);
    return TreeChildren(hosts, aRoot, aSelf, aFanout);
  }
  const std::size_t count = aHosts.size();
  const std::size_t root = PositionOf(aHosts, aRoot);
  const std::size_t self = PositionOf(aHosts, aSelf);
  const std::size_t up = (self + count - root) % count;
  const std::size_t down = (root + count - self) % count;
  std::set<std::string> children;
  for (std::size_t branch = 1; branch <= aFanout; ++branch) {
    const std::size_t upChild = up * aFanout + branch;
    const std::size_t downChild = down * aFanout + branch;
    if (upChild < count) {
      children.insert(aHosts[(root + upChild) % count]);
    }
    if (downChild < count) {
      children.insert(aHosts[(root + count - downChild) % count]);
    }
  }
  children.erase(aSelf);
  children.erase(aRoot);
  return { children.begin(), children.end() };
}

void
RecordPush::Add(const wire::MemberRecord& aRecord)
{
  this->pending[aRecord.host] = aRecord;
}

std::map<std::string, std::vector<wire::MemberRecord>>
RecordPush::Take(const std::vector<std::string>& aHosts,
                 const std::string& aSelf,
                 std::size_t aFanout)
{
  std::map<std::string, std::vector<wire::MemberRecord>> byChild;
  for (const auto& [host, record] : this->pending) {
    for (const std::string& child :
         TreeChildren(aHosts, host, aSelf, aFanout)) {
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
