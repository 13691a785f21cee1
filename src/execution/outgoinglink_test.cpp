// The order of large requests on the link of their entry daemon.

#include "execution/outgoinglink.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace lacewingwharf;

namespace {

constexpr double kBytesPerMilli = 1000;
constexpr double kTick = 10;

/** Sends what the link has room for until a time, and returns the order. */
std::vector<std::string>
SendUntil(OutgoingLink& aLink, double aFrom, double aTo)
{
  std::vector<std::string> sent;
  for (double now = aFrom; now < aTo; now += kTick) {
    while (const auto part = aLink.Next(now)) {
      sent.push_back(part->attemptId);
      aLink.RecordSent(*part, now);
    }
  }
  return sent;
}

} // namespace

// Bodies of up to a turn must not delay each other by taking parts in turn.
Test(outgoinglink, short_bodies_leave_one_after_the_other)
{
  OutgoingLink link(kBytesPerMilli);
  link.Add("a", 30000);
  link.Add("b", 30000);
  const std::vector<std::string> expected{ "a", "a", "b", "b" };
  cr_expect(SendUntil(link, 0, 100) == expected);
}

// A huge body must let others through.
Test(outgoinglink, a_huge_body_lets_others_through_after_a_turn)
{
  OutgoingLink link(kBytesPerMilli);
  link.Add("huge", 90000);
  link.Add("small", 15000);
  const std::vector<std::string> expected{ "huge",  "huge", "huge", "huge",
                                           "small", "huge", "huge" };
  cr_expect(SendUntil(link, 0, 200) == expected);
}

// What would leave too late must be refused before it is sent, and bodies that
// have ended must not count.
Test(outgoinglink, a_backlog_makes_bodies_late_until_it_is_gone)
{
  constexpr Millis kTarget = 500;
  constexpr Millis kDeadline = 5000;
  constexpr std::size_t kBytes = 100000;
  OutgoingLink link(kBytesPerMilli);
  cr_expect_not(link.LatenessOf(kBytes, kTarget, kDeadline, 0));
  link.Add("a", 100000);
  cr_expect_not(link.LatenessOf(kBytes, kTarget, kDeadline, 0));
  link.Add("b", 100000);
  // 200 ms of backlog and 100 ms of its own exceed half of the target time.
  cr_expect_eq(link.LatenessOf(kBytes, kTarget, kDeadline, 0).value_or(0), 50);
  link.RemoveIf([](const std::string& aId) { return aId == "a"; });
  cr_expect_not(link.LatenessOf(kBytes, kTarget, kDeadline, 0));
}

// A small body passes a huge one, so it must not be refused because of it.
Test(outgoinglink, a_huge_body_delays_a_small_one_by_a_turn)
{
  constexpr Millis kDeadline = 5000;
  OutgoingLink link(kBytesPerMilli);
  link.Add("huge", 4000000);
  cr_expect_not(link.LatenessOf(20000, 200, kDeadline, 0));
  cr_expect_eq(link.LatenessOf(20000, 100, kDeadline, 0).value_or(0), 30);
}

namespace {

/** Expects that a refused body fits after its retry time. */
void
ExpectRoomAfterRetry(const std::vector<std::size_t>& aSizes,
                     Millis aTarget,
                     Millis aLatest)
{
  constexpr Millis kDeadline = 5000;
  constexpr std::size_t kBytes = 20000;
  OutgoingLink link(kBytesPerMilli);
  for (std::size_t i = 0; i < aSizes.size(); ++i) {
    link.Add(std::to_string(i), aSizes[i]);
  }
  const auto lateness = link.LatenessOf(kBytes, aTarget, kDeadline, 0);
  cr_assert(lateness);
  const Millis later = link.RetryAfter(kBytes, *lateness);
  cr_expect_leq(later, aLatest, "%ld", static_cast<long>(later));
  const auto now = static_cast<double>(later);
  SendUntil(link, 0, now);
  cr_expect_not(
    link.LatenessOf(kBytes, later + aTarget, later + kDeadline, now));
}

} // namespace

// The caller of a refused call must not come back too early: a huge body delays
// a small one by the same turn until most of it is sent. Nor too late: the end
// of a shorter one may be enough.
Test(outgoinglink, a_refused_body_fits_after_its_retry_time)
{
  ExpectRoomAfterRetry({ 1000000 }, 100, 1000);
  ExpectRoomAfterRetry({ 1000000, 300000 }, 100, 1300);
  ExpectRoomAfterRetry({ 4000000, 40000, 100000 }, 200, 240);
  ExpectRoomAfterRetry({ 60000, 60000, 60000 }, 100, 180);
}

// Where the rate of the link is not known, nothing may wait or be refused.
Test(outgoinglink, without_a_rate_bodies_leave_at_once)
{
  OutgoingLink link(0);
  link.Add("a", 8000000);
  link.Add("b", 8000000);
  cr_expect_not(link.LatenessOf(8000000, 1, 1, 0));
  cr_expect_eq(SendUntil(link, 0, 1).size(), 2U);
}
