#pragma once

#include "peer_types.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace lacewingwharf {

/**
 * Children of aSelf in two trees of degree aFanout rooted at aRoot, one over
 * the sorted hosts upwards and one downwards. A lost message or frozen member
 * in one tree rarely cuts off the same members in the other.
 */
std::vector<std::string>
TreeChildren(const std::vector<std::string>& aHosts,
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
