#include "usage/usagedivisor.h"

#include "usage/usagetimes.h"

#include <criterion/criterion.h>

#include <fmt/format.h>

#include <algorithm>
#include <vector>

using namespace lacewingwharf;

namespace {

constexpr Millis kStart = 100000;
constexpr Millis kLater = kStart + 60000;

void
Add(std::vector<FleetMember>& aMembers, int aFirst, int aCount)
{
  for (int host = aFirst; host < aFirst + aCount; ++host) {
    aMembers.push_back({ fmt::format("h{}", host), "", host, "", 1, true });
  }
}

void
Kill(std::vector<FleetMember>& aMembers, int aCount)
{
  for (int host = 0; host < aCount; ++host) {
    aMembers[static_cast<std::size_t>(host)].isAlive = false;
  }
}

} // namespace

// Dead members may be cut off and keep their parts.
Test(usagedivisor, dead_members_count)
{
  std::vector<FleetMember> members;
  Add(members, 0, 80);
  UsageDivisor divisor;
  divisor.SetMembers(members, kStart);
  cr_assert_eq(divisor.Value(), 80);
  Kill(members, 30);
  divisor.SetMembers(members, kLater);
  cr_assert_eq(divisor.Value(), 80);
  UsageDivisor started;
  started.SetMembers(members, kLater);
  cr_assert_eq(started.Value(), 80);
}

// Members that are cut off do not know those that join, and go on to use their
// old parts. With the number of members as the divisor, the parts of both sides
// together would be more than the cap.
Test(usagedivisor, members_that_join_get_their_parts_from_the_live_ones)
{
  std::vector<FleetMember> members;
  Add(members, 0, 10);
  UsageDivisor divisor;
  divisor.SetMembers(members, kStart);
  Kill(members, 5);
  divisor.SetMembers(members, kLater);
  Add(members, 10, 5);
  divisor.SetMembers(members, kLater + 1000);
  cr_assert_eq(divisor.Value(), 20); // Half of the cap among ten.
  std::ranges::for_each(members,
                        [](FleetMember& aMember) { aMember.isAlive = true; });
  divisor.SetMembers(members, kLater + 2000);
  cr_assert_eq(divisor.Value(), 15);
}

// A member that is cut off is declared dead some seconds later. One that joined
// meanwhile is not known to it.
Test(usagedivisor, members_that_join_before_a_death_is_noticed_are_not_known)
{
  std::vector<FleetMember> members;
  Add(members, 0, 4);
  UsageDivisor divisor;
  divisor.SetMembers(members, kStart);
  Add(members, 4, 4);
  divisor.SetMembers(members, kLater);
  Kill(members, 2);
  divisor.SetMembers(members, kLater + 3000);
  cr_assert_eq(divisor.Value(), 12); // Half of the cap among six.
}

// Members that join and fail one after the other must leave something.
Test(usagedivisor, the_divisor_stays_finite)
{
  std::vector<FleetMember> members;
  Add(members, 0, 2);
  UsageDivisor divisor;
  divisor.SetMembers(members, kStart);
  Millis now = kStart;
  for (int round = 1; round < 5; ++round) {
    now += 30000;
    Kill(members, round);
    divisor.SetMembers(members, now);
    now += 30000;
    Add(members, round + 1, 1);
    divisor.SetMembers(members, now);
  }
  cr_assert_gt(divisor.Value(), 6);
  cr_assert_leq(divisor.Value(), kMaxUsageMembers);
}
