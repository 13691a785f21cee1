// Calls with large requests between an entry and a destination daemon.

#include "execution/largerequestfleet.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <set>
#include <string>
#include <utility>

using namespace lacewingwharf;
using namespace lacewingwharf::testing;

// The server must get the whole body once, and no request may carry it before
// the link has room.
Test(largerequests, bodies_arrive_whole_when_the_link_has_room)
{
  LargeRequestFleet fleet;
  fleet.Begin(1);
  fleet.Begin(2);
  fleet.Advance(300);
  cr_assert_eq(fleet.runs.size(), 2U);
  const std::set<std::string> bodies{ fleet.runs[0].request.body,
                                      fleet.runs[1].request.body };
  const std::set<std::string> expected{
    LargeRequestFleet::BodyOf(1, kLargeBytes),
    LargeRequestFleet::BodyOf(2, kLargeBytes)
  };
  cr_expect(bodies == expected);
  cr_expect_eq(fleet.longestRequest, 0U);
}

// Small bodies must not need another round trip.
Test(largerequests, small_bodies_are_sent_with_their_request)
{
  LargeRequestFleet fleet;
  fleet.Begin(1, 1000);
  fleet.Deliver();
  cr_assert_eq(fleet.runs.size(), 1U);
  cr_expect_eq(fleet.runs[0].request.body.size(), 1000U);
}

// Where the rate of the link is not known, a body must not wait.
Test(largerequests, hosts_without_a_known_rate_get_bodies_at_once)
{
  LargeRequestFleet fleet(0);
  fleet.Begin(1);
  fleet.Begin(2);
  fleet.Deliver();
  cr_expect_eq(fleet.runs.size(), 2U);
}

// What neither link can deliver in time must be refused at once, as not run and
// with the time at which there is room, and its body must not be sent.
Test(largerequests, what_no_link_can_take_is_refused_at_once)
{
  LargeRequestFleet fleet;
  constexpr RequestId kRequests = 12;
  for (RequestId request = 1; request <= kRequests; ++request) {
    fleet.Begin(request);
    fleet.Deliver();
  }
  const auto refused =
    std::ranges::count_if(fleet.entry.answers, [](const auto& aAnswer) {
      return aAnswer.second.status == 503;
    });
  cr_expect_gt(refused, 4);
  const HttpAnswer& last = fleet.entry.answers.at(kRequests);
  cr_expect(last.headers.contains("Retry-After"));
  cr_expect_eq(fleet.entry.OutcomeOf(kRequests), "not-run");
  fleet.Advance(1000);
  cr_expect_eq(fleet.runs.size(),
               kRequests - static_cast<std::size_t>(refused));
}

// A session that is lost while the body is sent: the call has certainly not run
// there, so it must run at the other daemon, and only there.
Test(largerequests, a_call_whose_session_is_lost_runs_once_elsewhere)
{
  LargeRequestFleet fleet;
  fleet.Begin(1);
  const PeerAddress first = fleet.entry.sent.back().first;
  fleet.Deliver();
  cr_assert(fleet.runs.empty());
  fleet.entry.calls->HandleSessionLost(first, true, {});
  cr_expect_neq(fleet.entry.sent.back().first.port, first.port);
  fleet.Advance(1000);
  cr_expect_eq(fleet.runs.size(), 1U);
  const DestinationCalls& left =
    *fleet.destinations.at(static_cast<std::size_t>(first.port));
  cr_expect_eq(left.WaitingRequestBytes(), 0U);
  cr_expect_eq(left.RequestBytes(), 0U);
  cr_expect_eq(left.InFlight(), 0U);
}

// A daemon that is suspect may be gone. A call that has certainly not run there
// must not wait for it.
Test(largerequests, a_call_leaves_a_suspect_daemon_before_its_body_is_sent)
{
  LargeRequestFleet fleet;
  fleet.Begin(1);
  const PeerAddress first = fleet.entry.sent.back().first;
  fleet.entry.sent.clear(); // The daemon does not answer.
  fleet.entry.SetServers(2, first.port);
  cr_assert_not(fleet.entry.sent.empty());
  cr_expect_neq(fleet.entry.sent.back().first.port, first.port);
  fleet.Advance(1000);
  cr_expect_eq(fleet.runs.size(), 1U);
}

// A grant that could not be sent must be sent later, or its call would wait
// until its deadline.
Test(largerequests, a_grant_that_was_not_sent_is_sent_later)
{
  LargeRequestFleet fleet;
  fleet.losesGrants = true;
  fleet.Begin(1);
  fleet.Advance(100);
  cr_assert(fleet.runs.empty());
  fleet.losesGrants = false;
  fleet.Advance(300);
  cr_expect_eq(fleet.runs.size(), 1U);
}

// The last part may be lost after the entry daemon has sent it. Then the status
// is queried, and a part that still arrives must not run the call.
Test(largerequests, a_call_without_its_last_part_is_answered_as_not_run)
{
  LargeRequestFleet fleet;
  fleet.Begin(1, 60000);
  fleet.Deliver();
  wire::BodyPart last;
  PeerAddress first;
  for (int tick = 0; tick < 100 && last.data.empty(); ++tick) {
    fleet.entry.Wait(10);
    for (const auto& destination : fleet.destinations) {
      destination->Tick();
    }
    for (const auto& grant : std::exchange(fleet.grants, {})) {
      fleet.entry.calls->HandleGrant(grant);
    }
    for (const auto& [to, message] : std::exchange(fleet.entry.sent, {})) {
      const wire::BodyPart& part = message.bodyPart;
      if (part.offset + std::ssize(part.data) < 60000) {
        fleet.DeliverTo(to, message);
      } else {
        last = part;
        first = to;
      }
    }
  }
  cr_assert_eq(last.offset + std::ssize(last.data), 60000);
  fleet.entry.calls->HandleSessionLost(first, true, {});
  cr_assert(fleet.entry.sent.back().second.__isset.callQuery);
  fleet.Deliver();
  fleet.destinations.at(static_cast<std::size_t>(first.port))
    ->HandleBodyPart(last);
  fleet.Advance(1000);
  cr_expect_eq(fleet.runs.size(), 1U);
  cr_expect_eq(fleet.runs[0].request.body.size(), 60000U);
}

// A daemon that stops sending grants must not cost its callers the truth: until
// its body is complete, a call has not run.
Test(largerequests, a_call_without_grants_ends_as_not_run)
{
  LargeRequestFleet fleet;
  fleet.Begin(1);
  fleet.entry.sent.clear();
  fleet.entry.Wait(6000);
  cr_expect_eq(fleet.entry.OutcomeOf(1), "not-run");
}

// A caller that leaves must free the link and the memory.
Test(largerequests, a_caller_that_leaves_frees_the_link)
{
  LargeRequestFleet fleet;
  fleet.Begin(1);
  fleet.Deliver();
  fleet.entry.calls->CallerLeft(1);
  fleet.Deliver();
  for (const auto& destination : fleet.destinations) {
    cr_expect_eq(destination->WaitingRequestBytes(), 0U);
    cr_expect_eq(destination->RequestBytes(), 0U);
    cr_expect_eq(destination->InFlight(), 0U);
  }
  fleet.Advance(1000);
  cr_expect(fleet.runs.empty());
}

// The body of a daemon that went away must not be held beyond the deadline.
Test(largerequests, a_body_that_does_not_arrive_is_dropped)
{
  LargeRequestFleet fleet;
  fleet.Begin(1);
  const auto [to, message] = fleet.entry.sent.back();
  fleet.DeliverTo(to, message);
  DestinationCalls& calls =
    *fleet.destinations.at(static_cast<std::size_t>(to.port));
  cr_expect_eq(calls.RequestBytes(), kLargeBytes);
  fleet.entry.clock.Advance(6000);
  calls.Tick();
  cr_expect_eq(calls.RequestBytes(), 0U);
  cr_expect_eq(calls.InFlight(), 0U);
}

// A daemon of an earlier build knows no announcements. It must not run the
// request without its body: the port of the request has no server.
Test(largerequests, an_earlier_build_does_not_run_an_announced_request)
{
  LargeRequestFleet fleet;
  fleet.Begin(1);
  auto [to, message] = fleet.entry.sent.back();
  message.callRequest.__isset.announcement = false;
  fleet.DeliverTo(to, message);
  cr_expect(fleet.runs.empty());
  cr_assert_eq(fleet.answers.size(), 1U);
  cr_expect(fleet.answers[0].outcome == wire::CallOutcome::NOT_RUN);
}
