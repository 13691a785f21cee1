#pragma once

#include "peer_types.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace lacewingwharf {

/** Children of aSelf in the tree over the sorted hosts that aRoot starts. */
std::vector<std::string>
TreeChildren(const std::vector<std::string>& aHosts,
             const std::string& aRoot,
             const std::string& aSelf,
             std::size_t aFanout);

/**
 * Children in two trees, over the hosts upwards and downwards. A lost datagram
 * or frozen member in one rarely cuts off the same members in the other.
 */
std::vector<std::string>
TwoTreeChildren(const std::vector<std::string>& aHosts,
                const std::string& aRoot,
                const std::string& aSelf,
                std::size_t aFanout);

/**
 * Records to be sent on at once along the trees rooted at their own hosts.
 * Gossip alone takes the logarithm of the member count in intervals, longer
 * than a draining endpoint may stay in use.
 */
class RecordPush
{
public:
  void Add(const wire::MemberRecord& aRecord);

  /** Takes what is pending, by the child that it goes to. */
  std::map<std::string, std::vector<wire::MemberRecord>> Take(
    const std::vector<std::string>& aHosts,
    const std::string& aSelf,
    std::size_t aFanout);

private:
  std::map<std::string, wire::MemberRecord> pending;
};

/** Splits records into groups of at most aBytes encoded each. */
std::vector<std::vector<wire::MemberRecord>>
SplitBySize(const std::vector<wire::MemberRecord>& aRecords,
            std::size_t aBytes);

} // namespace lacewingwharf
