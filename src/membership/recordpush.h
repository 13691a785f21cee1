#pragma once

#include "peer_types.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace lacewingwharf {

/** Children of aSelf in the tree over the sorted aHosts with root aRoot. */
std::vector<std::string>
TreeChildren(const std::vector<std::string>& aHosts,
             const std::string& aRoot,
             const std::string& aSelf,
             std::size_t aFanout);

/**
 * Children of aSelf in two trees with root aRoot, one over the hosts in
 * ascending and one in descending order. A lost datagram or a frozen member
 * rarely cuts off the same members in both trees.
 */
std::vector<std::string>
TwoTreeChildren(const std::vector<std::string>& aHosts,
                const std::string& aRoot,
                const std::string& aSelf,
                std::size_t aFanout);

using HostsByRegion = std::map<std::string, std::vector<std::string>>;

/**
 * The daemons to which aSelf forwards a record of aRoot: its children in the
 * two trees of its own region. The root also sends the record to two gateways
 * in each other region, which are the roots of the trees there. So a change
 * crosses the link between two regions twice, whatever their size.
 */
std::vector<std::string>
RegionTreeChildren(const HostsByRegion& aHosts,
                   const std::string& aRootRegion,
                   const std::string& aRoot,
                   const std::string& aSelfRegion,
                   const std::string& aSelf,
                   std::size_t aFanout);

/**
 * Records to be forwarded at once along the trees whose roots are the hosts of
 * the records. With gossip alone, a record needs a number of gossip intervals
 * that grows with the logarithm of the member count. That takes longer than a
 * draining endpoint may still receive calls.
 */
class RecordPush
{
public:
  void Add(const wire::MemberRecord& aRecord);

  /** Removes all pending records and returns them by receiving child. */
  std::map<std::string, std::vector<wire::MemberRecord>> Take(
    const HostsByRegion& aHosts,
    const std::string& aSelfRegion,
    const std::string& aSelf,
    std::size_t aFanout);

private:
  std::map<std::string, wire::MemberRecord> pending;
};

/**
 * Splits records into groups of at most aBytes in encoded form each. Records
 * above kMaxRecordBytes are left out.
 */
std::vector<std::vector<wire::MemberRecord>>
SplitBySize(const std::vector<wire::MemberRecord>& aRecords,
            std::size_t aBytes);

} // namespace lacewingwharf
