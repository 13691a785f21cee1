#pragma once

#include "common/clock.h"
#include "membership/endpointview.h"

#include <deque>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lacewingwharf {

/**
 * The number by which a daemon divides a cap among its members. Dead members
 * may be cut off and keep the part of the cap that they had; the rest is
 * divided among the live ones. Without members that joined since, this is the
 * number of members. Designed for 300 members.
 */
class UsageDivisor
{
public:
  /** aMembers must contain all members of the group. */
  void SetMembers(const std::vector<FleetMember>& aMembers, Millis aNow);

  int Value() const;

private:
  struct Member
  {
    Millis seenAt = 0; // First time in the list, or alive again.
    double part = 0;   // Of the cap; 0 while alive.
    bool isListed = false;
  };

  double LowestSince(Millis aTime) const;

  std::unordered_map<std::string, Member> members; // By host.
  std::deque<std::pair<Millis, double>> values;    // By time of change.
};

} // namespace lacewingwharf
