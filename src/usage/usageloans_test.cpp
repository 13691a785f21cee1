// What a daemon lends of its share, to whom and when.

#include "usage/usageloans.h"

#include "common/log.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

using namespace lacewingwharf;

namespace {

constexpr Millis kStart = 100000;

std::vector<FleetMember>
Members(int aCount)
{
  std::vector<FleetMember> members;
  members.reserve(static_cast<std::size_t>(aCount));
  for (int host = 0; host < aCount; ++host) {
    members.push_back({ fmt::format("h{}", host),
                        "",
                        host,
                        host % 2 == 0 ? "east" : "west",
                        1,
                        true });
  }
  return members;
}

EndpointView
ViewOf(std::vector<FleetMember> aMembers, int aGroups = 1)
{
  EndpointView view;
  view.members = std::move(aMembers);
  view.groups = aGroups;
  return view;
}

void
SilenceLogs()
{
  Log::SetLevel(LogLevel::Error);
}

} // namespace

TestSuite(usageloans, .init = SilenceLogs);

// Two accountants must never count the same half.
Test(usageloans, AHalfMovesAfterItsLoanHasEnded)
{
  const UsageTimes times = MakeUsageTimes({});
  UsageLoans loans("h0", times, kStart);
  loans.SetComplete(kStart);
  std::vector<FleetMember> members = Members(6);
  loans.SetView(ViewOf(members), kStart);
  loans.Advance(kStart + times.relendTime);
  const std::string first = loans.AccountantOf(0, 0);
  cr_assert_eq(loans.LendTo(first, kStart), 0); // Of an earlier process.
  Millis now = kStart + times.relendTime + 1;
  loans.Advance(now);
  cr_assert_neq(loans.LendTo(first, now), 0);
  std::ranges::find(members, first, &FleetMember::host)->isAlive = false;
  loans.SetView(ViewOf(members), now);
  const std::string second = loans.AccountantOf(0, 0);
  cr_assert_neq(first, second);
  loans.Advance(now + times.relendTime);
  cr_assert_eq(loans.LendTo(second, now) & 1, 0);
  loans.Advance(now + times.relendTime + 1);
  cr_assert_eq(loans.LendTo(second, now) & 1, 1);
}

// After a loss of power everywhere, callers must not wait longer than for the
// loans of the earlier process, which has ended before this one started, and
// for the others to hear of this daemon, which they do from its contact on.
Test(usageloans, ADaemonLendsAfterEarlierLoansAndOnceItIsKnown)
{
  const UsageTimes times = MakeUsageTimes({});
  for (const Millis contact : { 100, 300, 600, 2000 }) {
    UsageLoans loans("h0", times, kStart);
    loans.SetContact(kStart + contact);
    loans.SetComplete(kStart + contact);
    loans.SetView(ViewOf(Members(6)), kStart + contact);
    const Millis waitsUntil =
      kStart + std::max(times.relendTime, contact + times.spreadTime);
    loans.Advance(waitsUntil);
    cr_expect_eq(loans.LendTo(loans.AccountantOf(0, 0), waitsUntil), 0);
    loans.Advance(waitsUntil + 1);
    cr_expect_neq(loans.LendTo(loans.AccountantOf(0, 0), waitsUntil + 1), 0);
  }
}

// A contact before the list is complete counts, and a list that is complete
// without one counts as the contact.
Test(usageloans, TheTimeOfTheContactCountsNotThatOfTheCompleteList)
{
  const UsageTimes times = MakeUsageTimes({});
  const Millis lendsAt = kStart + times.relendTime + 1;
  for (const bool hasContact : { true, false }) {
    UsageLoans loans("h0", times, kStart);
    if (hasContact) {
      loans.SetContact(kStart + 300);
    }
    loans.SetView(ViewOf(Members(6)), kStart + 300);
    loans.Advance(lendsAt);
    cr_expect_eq(loans.LendTo(loans.AccountantOf(0, 0), lendsAt), 0);
    loans.SetComplete(lendsAt);
    loans.SetView(ViewOf(Members(6)), lendsAt);
    loans.Advance(lendsAt);
    const bool isLent = loans.LendTo(loans.AccountantOf(0, 0), lendsAt) != 0;
    cr_expect_eq(isLent, hasContact);
  }
}

// The loss of a region must leave half of each cap.
Test(usageloans, HalvesHaveAccountantsInDifferentRegions)
{
  UsageLoans loans("h0", MakeUsageTimes({}), kStart);
  loans.SetComplete(kStart);
  const std::vector<FleetMember> members = Members(8);
  loans.SetView(ViewOf(members), kStart);
  const auto regionOf = [&members](const std::string& aHost) {
    return std::ranges::find(members, aHost, &FleetMember::host)->region;
  };
  for (int group = 0; group < kUsageGroups; ++group) {
    cr_assert_neq(regionOf(loans.AccountantOf(group, 0)),
                  regionOf(loans.AccountantOf(group, 1)));
  }
}

// A daemon that has left, or is not known as a member, has no share.
Test(usageloans, OnlyAMemberLends)
{
  const UsageTimes times = MakeUsageTimes({});
  UsageLoans loans("h9", times, kStart);
  loans.SetComplete(kStart);
  loans.SetView(ViewOf(Members(4)), kStart);
  const Millis now = kStart + times.relendTime + 1;
  loans.Advance(now);
  cr_assert_eq(loans.LendTo(loans.AccountantOf(0, 0), now), 0);
}

// Members that leave may have lent their shares just before.
Test(usageloans, FewerMembersCountOnlyAfterTheirLoansHaveEnded)
{
  const UsageTimes times = MakeUsageTimes({});
  UsageLoans loans("h0", times, kStart);
  loans.SetComplete(kStart);
  loans.SetView(ViewOf(Members(6), 2), kStart);
  cr_assert_eq(loans.Members(), 12);
  loans.SetView(ViewOf(Members(2), 2), kStart);
  loans.Advance(kStart + times.relendTime);
  cr_assert_eq(loans.Members(), 12);
  loans.Advance(kStart + times.relendTime + 1);
  cr_assert_eq(loans.Members(), 4);
}
