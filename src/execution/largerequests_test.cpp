// Calls with large requests between an entry and a destination daemon.

#include "execution/destinationcalls.h"

#include "common/log.h"
#include "execution/entryharness.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace lacewingwharf;
using namespace lacewingwharf::testing;

namespace {

constexpr std::size_t kLargeBytes = 100000;
constexpr double kBytesPerMilli = 1000;
constexpr SessionId kSession = 1;

SnapshotPtr
UploadCatalogue()
{
  Entry service;
  service.name = kService;
  service.owner = "depot";
  Entry route;
  route.name = "logs";
  route.kind = EntryKind::Route;
  route.owner = "depot";
  route.service = kService;
  route.match.path = "/logs";
  route.idempotent = false;
  route.hasLargeRequests = true;
  route.limits.deadline = 5000;
  route.limits.target = 500;
  AcceptedEntries entries;
  AddEntry(entries, service);
  AddEntry(entries, route);
  return Snapshot::Build({ 1, 0, 0 }, std::move(entries)).value();
}

/**
 * One entry daemon and two destination daemons with links of 8 Mbit/s. Messages
 * are delivered by Deliver(), in order, unless the test takes them away.
 */
struct LargeRequestFleet
{
  explicit LargeRequestFleet(double aBytesPerMilli = kBytesPerMilli,
                             double aEntryBytesPerMilli = 0)
    : entry(EntryConfiguration(aEntryBytesPerMilli), 2, 5000)
  {
    Log::SetLevel(LogLevel::Error);
    this->entry.calls->SetSnapshot(UploadCatalogue());
    for (int host = 0; host < 2; ++host) {
      this->destinations.push_back(this->MakeDestination(host, aBytesPerMilli));
    }
  }

  static EntryCallsConfig EntryConfiguration(double aBytesPerMilli)
  {
    EntryCallsConfig config;
    config.host = "entry";
    config.requestBytesPerMilli = aBytesPerMilli;
    config.retriesCapacityRefusals = true;
    return config;
  }

  std::unique_ptr<DestinationCalls> MakeDestination(int aHost,
                                                    double aBytesPerMilli)
  {
    DestinationCallsConfig config;
    config.host = fmt::format("host-{}", aHost);
    config.requestBytesPerMilli = aBytesPerMilli;
    DestinationCallsHooks hooks;
    hooks.answer = [this](SessionId, const wire::CallAnswer& aAnswer) {
      this->answers.push_back(aAnswer);
    };
    hooks.grant = [this](SessionId, const wire::BodyGrant& aGrant) {
      if (this->losesGrants) {
        return false;
      }
      this->grants.push_back(aGrant);
      return true;
    };
    hooks.submit = [this](const HttpExchange& aExchange) {
      this->runs.push_back(aExchange);
      return true;
    };
    hooks.isQuarantined = [](std::uint64_t) { return false; };
    hooks.isListening = [](int) { return true; };
    auto calls = std::make_unique<DestinationCalls>(
      config, this->entry.clock.View(), std::move(hooks));
    calls->SetConfiguration(UploadCatalogue(), ViewOf({ { config.host, 1 } }));
    constexpr int kSlots = 50;
    calls->GetAdmission().SetEndpoint(
      kService, kPort, kSlots, kSlots, EndpointState::Ready);
    return calls;
  }

  void Begin(RequestId aRequest, std::size_t aBytes = kLargeBytes)
  {
    HttpRequest http;
    http.method = "POST";
    http.path = "/logs";
    http.target = http.path;
    http.body = BodyOf(aRequest, aBytes);
    this->entry.calls->Begin(aRequest, http);
  }

  static std::string BodyOf(RequestId aRequest, std::size_t aBytes)
  {
    std::string body(aBytes, 'x');
    for (std::size_t i = 0; i < body.size(); ++i) {
      body[i] = static_cast<char>('a' + (i * 7 + aRequest) % 26);
    }
    return body;
  }

  /** Delivers all messages until none is left. */
  void Deliver()
  {
    while (!this->entry.sent.empty() || !this->grants.empty() ||
           !this->answers.empty()) {
      for (const auto& [to, message] : std::exchange(this->entry.sent, {})) {
        this->DeliverTo(to, message);
      }
      for (const auto& grant : std::exchange(this->grants, {})) {
        this->entry.calls->HandleGrant(grant);
      }
      for (auto& answer : std::exchange(this->answers, {})) {
        this->entry.calls->HandleAnswer(std::move(answer));
      }
    }
  }

  void DeliverTo(const PeerAddress& aTo, const wire::Envelope& aMessage)
  {
    DestinationCalls& calls =
      *this->destinations.at(static_cast<std::size_t>(aTo.port));
    if (aMessage.__isset.callRequest) {
      this->longestRequest =
        std::max(this->longestRequest, aMessage.callRequest.body.size());
      calls.HandleRequest(kSession, aMessage.callRequest);
    } else if (aMessage.__isset.bodyPart) {
      this->partBytes += aMessage.bodyPart.data.size();
      calls.HandleBodyPart(aMessage.bodyPart);
    } else if (aMessage.__isset.callCancel) {
      calls.HandleCancel(aMessage.callCancel.callId);
    } else if (aMessage.__isset.callQuery) {
      calls.HandleQuery(kSession + 1, aMessage.callQuery);
    }
  }

  void Advance(Millis aTime)
  {
    constexpr Millis kTick = 10;
    for (Millis time = 0; time < aTime; time += kTick) {
      this->entry.Wait(kTick);
      for (const auto& destination : this->destinations) {
        destination->Tick();
      }
      this->Deliver();
    }
  }

  EntryHarness entry;
  std::vector<std::unique_ptr<DestinationCalls>> destinations;
  std::vector<wire::CallAnswer> answers;
  std::vector<wire::BodyGrant> grants;
  std::vector<HttpExchange> runs;
  std::size_t longestRequest = 0;
  std::size_t partBytes = 0; // That reached a destination.
  bool losesGrants = false;  // The ring buffer to the peer thread is full.
};

} // namespace

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

// The link of the entry daemon's host may be the slow one. Bodies that several
// destinations have granted must not fill it together.
Test(largerequests, parts_leave_at_the_rate_of_the_entry_daemons_link)
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
Test(largerequests, bodies_leave_in_the_order_of_their_grants)
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
Test(largerequests, a_small_body_does_not_wait_for_a_huge_one)
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
Test(largerequests, what_the_own_link_cannot_send_is_refused_at_once)
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
Test(largerequests, a_lost_session_frees_the_own_link)
{
  LargeRequestFleet fleet(0, kBytesPerMilli);
  fleet.Begin(1, 2 * kLargeBytes);
  const PeerAddress first = fleet.entry.sent.back().first;
  fleet.Deliver();
  fleet.entry.calls->HandleSessionLost(first, true, {});
  fleet.Advance(1000);
  cr_expect_eq(fleet.runs.size(), 1U);
}
