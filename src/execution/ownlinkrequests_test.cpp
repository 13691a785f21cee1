// Large requests that leave a host with a slow link.

#include "execution/largerequestfleet.h"

#include <criterion/criterion.h>

using namespace lacewingwharf;
using namespace lacewingwharf::testing;

// The link of the entry daemon's host may be the slow one. Bodies that several
// destinations have granted must not fill it together.
Test(ownlinkrequests, parts_leave_at_the_rate_of_the_entry_daemons_link)
{
  constexpr RequestId kRequests = 3;
  LargeRequestFleet fleet(0, kBytesPerMilli);
  for (RequestId request = 1; request <= kRequests; ++request) {
    fleet.Begin(request);
  }
  fleet.Deliver();
  constexpr std::size_t kTwoParts = 30000;
  cr_expect_leq(fleet.partBytes, kTwoParts, "%zu", fleet.partBytes);
  fleet.Advance(150);
  const auto rate = static_cast<std::size_t>(kBytesPerMilli);
  cr_expect_leq(fleet.partBytes, 150 * rate + kTwoParts);
  cr_expect_geq(fleet.partBytes, 130 * rate);
  fleet.Advance(250);
  cr_expect_eq(fleet.runs.size(), kRequests);
}

// A call must not be overtaken by all that come after it, or it would end at
// its deadline although the link carries others.
Test(ownlinkrequests, bodies_leave_in_the_order_of_their_grants)
{
  constexpr RequestId kRequests = 5;
  constexpr std::size_t kBytes = 40000; // Less than a turn.
  LargeRequestFleet fleet(0, kBytesPerMilli);
  for (RequestId request = 1; request <= kRequests; ++request) {
    fleet.Begin(request, kBytes);
    fleet.Deliver();
  }
  fleet.Advance(300);
  cr_assert_eq(fleet.runs.size(), kRequests);
  for (RequestId request = 1; request <= kRequests; ++request) {
    cr_expect(fleet.runs[request - 1].request.body ==
                LargeRequestFleet::BodyOf(request, kBytes),
              "%lu",
              request);
  }
}

// A small body must not wait for all of a huge one that came before it.
Test(ownlinkrequests, a_small_body_does_not_wait_for_a_huge_one)
{
  LargeRequestFleet fleet(0, kBytesPerMilli);
  fleet.Begin(1, 1000000);
  fleet.Deliver();
  fleet.Advance(50);
  fleet.Begin(2, 20000);
  fleet.Advance(120);
  cr_assert_eq(fleet.runs.size(), 1U);
  cr_expect_eq(fleet.runs[0].request.body.size(), 20000U);
  fleet.Advance(1000);
  cr_expect_eq(fleet.runs.size(), 2U);
}

// What the own link cannot send in time must be refused at once, as not run.
Test(ownlinkrequests, what_the_own_link_cannot_send_is_refused_at_once)
{
  LargeRequestFleet fleet(0, kBytesPerMilli);
  constexpr RequestId kRequests = 12;
  for (RequestId request = 1; request <= kRequests; ++request) {
    fleet.Begin(request);
    fleet.Deliver();
  }
  const HttpAnswer& last = fleet.entry.answers.at(kRequests);
  cr_expect_eq(last.status, 503);
  cr_expect_eq(last.headers.find("Lacewingwharf-Reason")->second, "link-full");
  cr_expect(last.headers.contains("Retry-After"));
  cr_expect_eq(fleet.entry.OutcomeOf(kRequests), "not-run");
  const std::size_t refused = fleet.entry.answers.size();
  fleet.Advance(500);
  cr_expect_eq(fleet.runs.size(), kRequests - refused);
}

// What an attempt has left unsent must not keep its call from another daemon.
Test(ownlinkrequests, a_lost_session_frees_the_own_link)
{
  LargeRequestFleet fleet(0, kBytesPerMilli);
  fleet.Begin(1, 2 * kLargeBytes);
  const PeerAddress first = fleet.entry.sent.back().first;
  fleet.Deliver();
  fleet.entry.calls->HandleSessionLost(first, true, {});
  cr_assert_not(fleet.entry.sent.empty());
  cr_expect_neq(fleet.entry.sent.back().first.port, first.port);
  fleet.Advance(1000);
  cr_expect_eq(fleet.runs.size(), 1U);
}

// A body of a caller that has left must not keep others from the link, even if
// its destination does not answer the cancel.
Test(ownlinkrequests, a_caller_that_leaves_frees_the_own_link)
{
  LargeRequestFleet fleet(0, kBytesPerMilli);
  fleet.Begin(1, 2 * kLargeBytes);
  fleet.Deliver();
  fleet.entry.calls->CallerLeft(1);
  fleet.entry.sent.clear();
  fleet.Begin(2, 2 * kLargeBytes);
  fleet.Advance(1000);
  cr_assert_eq(fleet.runs.size(), 1U);
  cr_expect(fleet.runs[0].request.body ==
            LargeRequestFleet::BodyOf(2, 2 * kLargeBytes));
}
