// Calls at daemons that have become suspect.

#include "execution/siteharness.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

using namespace lacewingwharf;
using namespace lacewingwharf::testing;

// An idempotent call must not wait for a suspect daemon until its deadline, and
// a non-idempotent call must not be sent again.
Test(suspectcalls, idempotent_calls_leave_a_suspect_daemon)
{
  EntryDaemon entry(3);
  entry.Begin(1, "GET");
  const int suspectPort = entry.sent.back().first.port;
  entry.SetServers(3, suspectPort);
  const auto requests = [&entry] {
    return std::ranges::count_if(entry.sent, [](const auto& aSent) {
      return aSent.second.__isset.callRequest;
    });
  };
  cr_assert_eq(requests(), 2);
  cr_expect_neq(entry.sent.back().first.port, suspectPort);
  entry.Begin(2, "POST");
  entry.SetServers(3, entry.sent.back().first.port);
  cr_expect_eq(requests(), 3);
  // With only one server, the call waits for it.
  EntryDaemon alone(1);
  alone.Begin(3, "GET");
  alone.SetServers(1, 0);
  cr_expect_eq(alone.sent.size(), 1U);
}

// A daemon whose link is full is suspect for a while, but its answers arrive. A
// call that cannot be sent elsewhere must not be given up.
Test(suspectcalls, calls_without_retries_stay_at_a_suspect_daemon)
{
  EntryCallsConfig config = SiteConfig();
  config.retryBudget = { 0, 0, 0 };
  EntryHarness entry(config, 3, kDeadline);
  entry.Begin(1, "GET");
  const std::string attempt = entry.LastRequest().callId;
  entry.SetServers(3, entry.sent.back().first.port);
  cr_expect_eq(entry.sent.size(), 1U);
  cr_expect(entry.answers.empty());
  entry.Answer(attempt, wire::CallOutcome::DONE, "whole");
  cr_expect_eq(entry.answers.at(1).status, 200);
}

// Most suspicions are refuted. A call that other servers refuse must not fail
// while the suspect daemon may still answer.
Test(suspectcalls, calls_that_others_refuse_wait_for_the_suspect_daemon)
{
  EntryDaemon entry(3);
  entry.Begin(1, "GET");
  const std::string first = entry.LastRequest().callId;
  const int suspectPort = entry.sent.back().first.port;
  entry.SetServers(3, suspectPort);
  std::string latest = first;
  while (entry.LastRequest().callId != latest) {
    latest = entry.LastRequest().callId;
    entry.Answer(wire::CallOutcome::NOT_RUN, "queue-full");
  }
  cr_assert_neq(latest, first);
  cr_assert(entry.answers.empty());
  entry.EntryHarness::Answer(first, wire::CallOutcome::DONE, "whole");
  cr_expect_eq(entry.answers.at(1).status, 200);
}

// A call that the suspect daemon refuses as well was not run, and its caller
// must be told so.
Test(suspectcalls, calls_that_all_refuse_were_not_run)
{
  EntryDaemon entry(2);
  entry.Begin(1, "GET");
  const std::string first = entry.LastRequest().callId;
  entry.SetServers(2, entry.sent.back().first.port);
  entry.Answer(wire::CallOutcome::NOT_RUN, "queue-full");
  cr_assert(entry.answers.empty());
  entry.EntryHarness::Answer(first, wire::CallOutcome::NOT_RUN, "queue-full");
  cr_expect_eq(entry.answers.at(1).status, 503);
}

// The first answer counts. The other attempt is cancelled, and its late answer
// must not reach the caller.
Test(suspectcalls, the_first_answer_of_two_attempts_counts)
{
  for (const bool isFirstFaster : { true, false }) {
    EntryDaemon entry(3);
    entry.Begin(1, "GET");
    const std::string first = entry.LastRequest().callId;
    entry.SetServers(3, entry.sent.back().first.port);
    const std::string second = entry.LastRequest().callId;
    cr_assert_neq(first, second);
    const std::string& faster = isFirstFaster ? first : second;
    const std::string& slower = isFirstFaster ? second : first;
    entry.EntryHarness::Answer(faster, wire::CallOutcome::DONE, "fast");
    cr_assert_eq(entry.answers.at(1).body, "fast");
    cr_assert(entry.sent.back().second.__isset.callCancel);
    cr_expect_eq(entry.sent.back().second.callCancel.callId, slower);
    entry.EntryHarness::Answer(slower, wire::CallOutcome::DONE, "slow");
    cr_expect_eq(entry.answers.at(1).body, "fast");
  }
}

// An error of one server must not end a call that another server still runs.
Test(suspectcalls, a_server_error_leaves_the_call_to_the_other_attempt)
{
  for (const bool isFirstFailing : { true, false }) {
    EntryDaemon entry(2);
    entry.Begin(1, "GET");
    const std::string first = entry.LastRequest().callId;
    entry.SetServers(2, entry.sent.back().first.port);
    const std::string second = entry.LastRequest().callId;
    entry.EntryHarness::Answer(
      isFirstFailing ? first : second, wire::CallOutcome::DONE, "error", 500);
    cr_assert(entry.answers.empty());
    entry.EntryHarness::Answer(
      isFirstFailing ? second : first, wire::CallOutcome::DONE, "whole");
    cr_expect_eq(entry.answers.at(1).status, 200);
  }
}

// If both servers fail, the caller gets the error of one of them.
Test(suspectcalls, errors_of_both_servers_are_delivered)
{
  EntryDaemon entry(2);
  entry.Begin(1, "GET");
  const std::string first = entry.LastRequest().callId;
  entry.SetServers(2, entry.sent.back().first.port);
  const std::string second = entry.LastRequest().callId;
  entry.EntryHarness::Answer(first, wire::CallOutcome::DONE, "error", 500);
  entry.EntryHarness::Answer(second, wire::CallOutcome::DONE, "error", 500);
  cr_expect_eq(entry.answers.at(1).status, 500);
}

// No server may work on for a caller that has left.
Test(suspectcalls, a_caller_that_leaves_ends_both_attempts)
{
  EntryDaemon entry(3);
  entry.Begin(1, "GET");
  const std::string first = entry.LastRequest().callId;
  entry.SetServers(3, entry.sent.back().first.port);
  const std::string second = entry.LastRequest().callId;
  entry.calls->CallerLeft(1);
  std::vector<std::string> cancelled;
  for (const auto& [to, envelope] : entry.sent) {
    if (envelope.__isset.callCancel) {
      cancelled.push_back(envelope.callCancel.callId);
    }
  }
  std::ranges::sort(cancelled);
  cr_expect(cancelled == std::vector<std::string>({ first, second }));
}

// Overload: daemons that answer late are taken for failed now and then, and the
// other servers are full. No call may lose its answer by that.
Test(suspectcalls, suspicions_beside_full_servers_cost_no_answer)
{
  constexpr int kCalls = 200;
  const Random random = SeededRandom(3);
  int refused = 0;
  for (int call = 0; call < kCalls; ++call) {
    EntryDaemon entry(3);
    entry.Begin(1, "GET");
    const std::string first = entry.LastRequest().callId;
    entry.SetServers(3, entry.sent.back().first.port);
    for (std::string latest = first; entry.LastRequest().callId != latest;) {
      latest = entry.LastRequest().callId;
      if (RandomBelow(random, 10) < 8) {
        ++refused;
        entry.Answer(wire::CallOutcome::NOT_RUN, "queue-full");
      }
    }
    entry.SetServers(3, std::nullopt); // The suspicion is refuted.
    entry.EntryHarness::Answer(first, wire::CallOutcome::DONE, "late");
    cr_expect_eq(entry.answers.at(1).status, 200, "call %d", call);
  }
  cr_expect_gt(refused, kCalls);
}

// A suspect daemon that was lost or refused leaves the call to the other
// attempt.
Test(suspectcalls, the_other_attempt_goes_on_when_the_suspect_daemon_fails)
{
  for (const bool isSessionLost : { true, false }) {
    EntryDaemon entry(3);
    entry.Begin(1, "GET");
    const std::string first = entry.LastRequest().callId;
    const PeerAddress suspect = entry.sent.back().first;
    entry.SetServers(3, suspect.port);
    const std::string second = entry.LastRequest().callId;
    if (isSessionLost) {
      entry.calls->HandleSessionLost(suspect, true, {});
    } else {
      entry.EntryHarness::Answer(
        first, wire::CallOutcome::NOT_RUN, "queue-full");
    }
    cr_assert(entry.answers.empty());
    cr_assert_eq(entry.LastRequest().callId, second);
    entry.EntryHarness::Answer(second, wire::CallOutcome::DONE, "whole");
    cr_expect_eq(entry.answers.at(1).status, 200);
  }
}

// After SIGTERM, a call at which a server may be at work must not be broken
// off. The view changes as soon as the daemon leaves the fleet, before the
// other steps of the stop, and a daemon with the product's own protocol has no
// time limit for its calls.
Test(suspectcalls, a_stopping_daemon_leaves_no_suspect_daemon)
{
  for (const bool hasCallsEnd : { false, true }) {
    EntryDaemon entry(3);
    entry.Begin(1, "GET");
    entry.calls->BeginStop();
    if (hasCallsEnd) {
      entry.calls->SetCallsEnd(entry.clock.View().Now() + kDeadline);
    }
    const std::string attempt = entry.LastRequest().callId;
    entry.SetServers(3, entry.sent.back().first.port);
    cr_expect_eq(entry.sent.size(), 1U);
    cr_expect(entry.answers.empty());
    entry.EntryHarness::Answer(attempt, wire::CallOutcome::DONE, "whole");
    cr_expect_eq(entry.answers[1].status, 200);
  }
}

// Large answers fill the link of a host, whose pings are lost then. Sending the
// calls again would add to it.
Test(suspectcalls, calls_with_large_answers_stay_at_a_suspect_daemon)
{
  EntryDaemon entry(3);
  Entry service;
  service.name = kService;
  service.owner = "shop";
  Entry route;
  route.name = "extracts";
  route.kind = EntryKind::Route;
  route.owner = "shop";
  route.service = kService;
  route.match.path = "/orders";
  route.hasLargeAnswers = true;
  AcceptedEntries entries;
  AddEntry(entries, service);
  AddEntry(entries, route);
  entry.calls->SetSnapshot(
    Snapshot::Build({ 1, 0, 0 }, std::move(entries)).value());
  entry.Begin(1, "GET");
  entry.SetServers(3, entry.sent.back().first.port);
  cr_expect_eq(entry.sent.size(), 1U);
  cr_expect(entry.answers.empty());
}
