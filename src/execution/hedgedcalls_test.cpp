// Second attempts of slow calls, without a network and servers.

#include "execution/siteharness.h"
#include "rollout/rollouttraffic.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

using namespace lacewingwharf;
using namespace lacewingwharf::testing;

namespace {

constexpr Millis kUsual = 20;
constexpr Millis kSlow = 60;
constexpr double kShare = 0.2;

EntryCallsConfig
HedgedConfig(double aShare)
{
  EntryCallsConfig config = SiteConfig();
  config.hedging.share = aShare;
  return config;
}

/** An entry daemon that has seen 60 answers after the usual time. */
struct HedgedEntry : EntryHarness
{
  explicit HedgedEntry(std::size_t aServers = 3,
                       const EntryCallsConfig& aConfig = HedgedConfig(kShare))
    : EntryHarness(aConfig, aServers, kDeadline)
  {
    Log::SetLevel(LogLevel::Error);
    constexpr RequestId kFirst = 1000;
    for (RequestId request = kFirst; request < kFirst + 60; ++request) {
      this->Begin(request, "GET");
      this->Wait(kUsual);
      this->Reply(this->LastRequest().callId, 1, 0);
    }
    this->sent.clear();
  }

  /** Answers with the load of the server, which has 4 slots. */
  void Reply(const std::string& aAttempt,
             int aRunning,
             int aWaiting,
             int aStatus = 200)
  {
    wire::CallAnswer answer;
    answer.callId = aAttempt;
    answer.outcome = wire::CallOutcome::DONE;
    answer.status = aStatus;
    answer.body = "from " + aAttempt;
    answer.bodyHash = BodyHash(answer.body);
    answer.running = aRunning;
    answer.waiting = aWaiting;
    answer.slots = 4;
    this->calls->HandleAnswer(answer);
  }

  /** Sets a route with these limits, whose answers may be large. */
  void SetRoute(int aRetries, bool aHasLargeAnswers)
  {
    Entry service;
    service.name = kService;
    service.owner = "shop";
    Entry route;
    route.name = "tills";
    route.kind = EntryKind::Route;
    route.owner = "shop";
    route.service = kService;
    route.match.path = "/orders";
    route.limits.deadline = kDeadline;
    route.limits.retries = aRetries;
    route.hasLargeAnswers = aHasLargeAnswers;
    AcceptedEntries entries;
    AddEntry(entries, service);
    AddEntry(entries, route);
    this->calls->SetSnapshot(
      Snapshot::Build({ 2, 0, 0 }, std::move(entries)).value());
  }

  /** The attempts that were sent, without cancellations. */
  std::vector<std::string> Attempts() const
  {
    std::vector<std::string> ids;
    for (const auto& [to, envelope] : this->sent) {
      if (envelope.__isset.callRequest) {
        ids.push_back(envelope.callRequest.callId);
      }
    }
    return ids;
  }

  std::vector<std::string> Cancelled() const
  {
    std::vector<std::string> ids;
    for (const auto& [to, envelope] : this->sent) {
      if (envelope.__isset.callCancel) {
        ids.push_back(envelope.callCancel.callId);
      }
    }
    return ids;
  }

  /** Begins a call and lets it become slow. */
  void BeginSlow(RequestId aRequest, const std::string& aMethod = "GET")
  {
    this->Begin(aRequest, aMethod);
    this->Wait(kSlow);
  }
};

} // namespace

// A call must not wait for a slow server while another one could answer it, and
// it must not occupy a third one.
Test(hedgedcalls, a_slow_call_gets_one_second_attempt_at_another_server)
{
  HedgedEntry entry;
  entry.Begin(1, "GET");
  entry.Wait(kUsual);
  cr_expect_eq(entry.Attempts().size(), 1U);
  entry.Wait(kSlow);
  cr_assert_eq(entry.Attempts().size(), 2U);
  cr_expect_neq(entry.sent[0].first.port, entry.sent[1].first.port);
  for (int i = 0; i < 20; ++i) {
    entry.Wait(kSlow);
  }
  cr_expect_eq(entry.Attempts().size(), 2U);
  cr_expect(entry.hedgeEvents == std::vector<std::string>{ "started" });
}

// The first answer counts. The other server must not work on, and its late
// answer must not reach the caller.
Test(hedgedcalls, the_first_answer_counts_and_the_other_attempt_is_cancelled)
{
  for (const bool isSecondFaster : { true, false }) {
    HedgedEntry entry;
    entry.BeginSlow(1);
    const auto attempts = entry.Attempts();
    cr_assert_eq(attempts.size(), 2U);
    const std::string& faster = attempts[isSecondFaster ? 1 : 0];
    const std::string& slower = attempts[isSecondFaster ? 0 : 1];
    entry.Reply(faster, 1, 0);
    cr_expect_eq(entry.answers.at(1).body, "from " + faster);
    cr_expect(entry.Cancelled() == std::vector<std::string>{ slower });
    entry.Reply(slower, 1, 0);
    cr_expect_eq(entry.answerCounts.at(1), 1);
    const std::vector<std::string> expected =
      isSecondFaster
        ? std::vector<std::string>{ "started", "won", "first-cancelled" }
        : std::vector<std::string>{ "started", "second-cancelled" };
    cr_expect(entry.hedgeEvents == expected);
  }
}

// An attempt that ends without an answer leaves the call to the other one. It
// must neither end the call nor start a third attempt.
Test(hedgedcalls, an_attempt_that_fails_leaves_the_call_to_the_other_one)
{
  using Failure = std::function<void(HedgedEntry&, std::size_t)>;
  const std::vector<Failure> failures{
    [](HedgedEntry& aEntry, std::size_t aAttempt) {
      aEntry.Reply(aEntry.Attempts()[aAttempt], 1, 0, 500);
    },
    [](HedgedEntry& aEntry, std::size_t aAttempt) {
      aEntry.Reply(aEntry.Attempts()[aAttempt], 1, 0, 503);
    },
    [](HedgedEntry& aEntry, std::size_t aAttempt) {
      aEntry.Answer(
        aEntry.Attempts()[aAttempt], wire::CallOutcome::NOT_RUN, "queue-full");
    },
    [](HedgedEntry& aEntry, std::size_t aAttempt) {
      aEntry.Answer(
        aEntry.Attempts()[aAttempt], wire::CallOutcome::UNKNOWN, "cut-answer");
    },
    [](HedgedEntry& aEntry, std::size_t aAttempt) {
      aEntry.calls->HandleSessionLost(aEntry.sent[aAttempt].first, true, {});
    },
    [](HedgedEntry& aEntry, std::size_t aAttempt) {
      aEntry.calls->HandleSessionLost(
        aEntry.sent[aAttempt].first, false, { aEntry.Attempts()[aAttempt] });
    },
  };
  for (const Failure& fail : failures) {
    for (const std::size_t failing : { 0U, 1U }) {
      // The own protocol does not retry after server errors, and retries would
      // be left on a site.
      for (const bool isOwn : { false, true }) {
        EntryCallsConfig config = HedgedConfig(kShare);
        config.retriesServerErrors = !isOwn;
        HedgedEntry entry(3, config);
        entry.SetRoute(4, false);
        entry.BeginSlow(1);
        cr_assert_eq(entry.Attempts().size(), 2U);
        fail(entry, failing);
        cr_assert(entry.answers.count(1) == 0);
        entry.Wait(kSlow);
        cr_expect_eq(entry.Attempts().size(), 2U);
        entry.Reply(entry.Attempts()[1 - failing], 1, 0);
        cr_assert_eq(entry.answers.at(1).status, 200);
        cr_expect(entry.Cancelled().empty());
      }
    }
  }
}

// If both attempts fail, the caller must get an answer that is true for both.
Test(hedgedcalls, the_answer_after_two_failures_covers_both_attempts)
{
  for (const std::size_t first : { 0U, 1U }) {
    HedgedEntry errors(2);
    errors.BeginSlow(1);
    const auto attempts = errors.Attempts();
    errors.Reply(attempts[first], 1, 0, 500);
    errors.Reply(attempts[1 - first], 1, 0, 500);
    cr_expect_eq(errors.answers.at(1).status, 500);
    HedgedEntry refusals(2);
    refusals.BeginSlow(1);
    const auto refused = refusals.Attempts();
    refusals.Answer(refused[first], wire::CallOutcome::NOT_RUN, "queue-full");
    refusals.Answer(
      refused[1 - first], wire::CallOutcome::NOT_RUN, "queue-full");
    cr_expect_eq(refusals.answers.at(1).status, 503);
    // One may have run, so the status must not say that none has.
    HedgedEntry mixed(2);
    mixed.BeginSlow(1);
    const auto both = mixed.Attempts();
    mixed.Answer(both[first], wire::CallOutcome::UNKNOWN, "cut-answer");
    mixed.Answer(both[1 - first], wire::CallOutcome::NOT_RUN, "queue-full");
    cr_expect_eq(mixed.answers.at(1).status, 502);
  }
}

// Second attempts that nobody waits for, that may repeat a change, or that add
// to a shortage must not be made.
Test(hedgedcalls, second_attempts_are_withheld)
{
  struct Case
  {
    const char* reason;
    std::function<void(HedgedEntry&)> prepare;
  };
  const auto loadOfAll = [](HedgedEntry& aEntry, int aRunning, int aWaiting) {
    for (RequestId request = 100; request < 160; ++request) {
      aEntry.Begin(request, "GET");
      aEntry.Wait(kUsual);
      aEntry.Reply(aEntry.LastRequest().callId, aRunning, aWaiting);
    }
    aEntry.sent.clear();
  };
  const std::vector<Case> cases{
    { "retries", [](HedgedEntry& aEntry) { aEntry.SetRoute(0, false); } },
    { "quarantine", [](HedgedEntry& aEntry) { aEntry.hasLostServer = true; } },
    { "stopping", [](HedgedEntry& aEntry) { aEntry.calls->BeginStop(); } },
    { "overload", [&](HedgedEntry& aEntry) { loadOfAll(aEntry, 4, 0); } },
    { "overload", [&](HedgedEntry& aEntry) { loadOfAll(aEntry, 2, 3); } },
    { "first-queued", [&](HedgedEntry& aEntry) { loadOfAll(aEntry, 2, 1); } },
    { "refusals",
      [](HedgedEntry& aEntry) {
        aEntry.Begin(2, "POST");
        aEntry.Answer(aEntry.LastRequest().callId,
                      wire::CallOutcome::NOT_RUN,
                      "queue-wait");
        aEntry.sent.clear();
      } },
    { "no-server", [](HedgedEntry& aEntry) { aEntry.SetServers(1, {}); } },
  };
  for (const Case& withheld : cases) {
    HedgedEntry entry;
    withheld.prepare(entry);
    const std::size_t before = entry.sent.size();
    entry.BeginSlow(1);
    for (int i = 0; i < 5; ++i) {
      entry.Wait(kSlow);
    }
    cr_expect_eq(entry.sent.size(), before + 1, "%s", withheld.reason);
    // The call is counted once.
    cr_expect(entry.hedgeEvents == std::vector<std::string>{ withheld.reason },
              "%s %zu",
              withheld.reason,
              entry.hedgeEvents.size());
  }
}

// Such calls must not even be considered.
Test(hedgedcalls, some_calls_never_get_second_attempts)
{
  HedgedEntry changes;
  changes.BeginSlow(1, "POST");
  cr_expect_eq(changes.sent.size(), 1U);
  HedgedEntry large;
  large.SetRoute(1, true);
  large.BeginSlow(1);
  cr_expect_eq(large.sent.size(), 1U);
  HedgedEntry off(3, HedgedConfig(0));
  off.BeginSlow(1);
  cr_expect_eq(off.sent.size(), 1U);
  for (const HedgedEntry* const entry : { &changes, &large, &off }) {
    cr_expect(entry->hedgeEvents.empty());
  }
}

// A second attempt that cannot be answered in time is work for nothing.
Test(hedgedcalls, a_call_near_its_deadline_gets_no_second_attempt)
{
  HedgedEntry entry;
  entry.Begin(1, "GET", { { "Deadline", "50" } });
  entry.Wait(kUsual + 15);
  cr_expect_eq(entry.sent.size(), 1U);
  cr_expect(entry.hedgeEvents == std::vector<std::string>{ "little-time" });
}

// The attempt of a call that several others precede at its server waits there.
Test(hedgedcalls, a_call_behind_others_of_this_daemon_gets_no_second_attempt)
{
  HedgedEntry entry(2);
  entry.SetServers(1, {});
  for (RequestId request = 1; request <= 5; ++request) {
    entry.Begin(request, "GET");
  }
  entry.SetServers(2, {});
  entry.Wait(kSlow);
  cr_expect_eq(entry.Attempts().size(), 5U);
  cr_expect(entry.hedgeEvents == std::vector<std::string>(5, "first-queued"));
}

// Busy servers must not get second attempts while others are free.
Test(hedgedcalls, second_attempts_go_to_servers_with_free_slots)
{
  HedgedEntry entry(4);
  std::vector<int> busyPorts;
  for (RequestId request = 1; busyPorts.size() < 2; ++request) {
    entry.Begin(request, "POST");
    const int port = entry.sent.back().first.port;
    const bool isNew = std::ranges::find(busyPorts, port) == busyPorts.end();
    entry.Wait(kUsual);
    entry.Reply(entry.LastRequest().callId, isNew && port < 2 ? 4 : 1, 0);
    if (isNew && port < 2) {
      busyPorts.push_back(port);
    }
  }
  entry.sent.clear();
  for (RequestId request = 100; request < 110; ++request) {
    entry.sent.clear();
    entry.BeginSlow(request);
    const int first = entry.sent.front().first.port;
    if (first < 2) {
      cr_expect_eq(entry.Attempts().size(), 1U);
    } else if (entry.Attempts().size() > 1) {
      cr_expect_geq(entry.sent[1].first.port, 2);
    }
    entry.calls->CallerLeft(request);
  }
  cr_expect_neq(std::ranges::count(entry.hedgeEvents, "started"), 0);
}

// A first attempt may go to a suspect or ejected server if there is no other.
// A second one would be work for nothing.
Test(hedgedcalls, second_attempts_do_not_go_to_suspect_servers)
{
  HedgedEntry entry(2);
  entry.Begin(1, "GET");
  entry.SetServers(2, 1 - entry.sent.back().first.port);
  entry.Wait(kSlow);
  cr_expect_eq(entry.Attempts().size(), 1U);
  cr_expect(entry.hedgeEvents == std::vector<std::string>{ "no-server" });
}

// No server may work on for a caller that has left.
Test(hedgedcalls, a_caller_that_leaves_ends_both_attempts)
{
  HedgedEntry entry;
  entry.BeginSlow(1);
  auto attempts = entry.Attempts();
  cr_assert_eq(attempts.size(), 2U);
  entry.calls->CallerLeft(1);
  auto cancelled = entry.Cancelled();
  std::ranges::sort(attempts);
  std::ranges::sort(cancelled);
  cr_expect(cancelled == attempts);
}

// While servers of a new version are judged by their answers, cancelled
// attempts would hide slow ones. After the order, second attempts are made
// again.
Test(hedgedcalls, there_are_none_while_an_order_of_a_rollout_runs)
{
  HedgedEntry entry;
  RolloutTraffic rollouts(
    "host-a", 1, entry.clock.View(), [](const std::string&, const auto&) {});
  entry.calls->SetRollouts(&rollouts);
  wire::RolloutShare share;
  share.decider = "decider";
  share.serviceName = kService;
  share.order = 7;
  share.targetVersion = "v2";
  share.baseVersion = "v1";
  share.sequence = 1;
  share.state = wire::RolloutState::RUNNING;
  rollouts.HandleShare(share);
  entry.BeginSlow(1);
  cr_expect_eq(entry.Attempts().size(), 1U);
  cr_expect(entry.hedgeEvents == std::vector<std::string>{ "rollout" });
  entry.Reply(entry.Attempts().back(), 1, 0);
  share.sequence = 2;
  share.state = wire::RolloutState::SUCCEEDED;
  rollouts.HandleShare(share);
  entry.sent.clear();
  entry.BeginSlow(2);
  cr_expect_eq(entry.Attempts().size(), 2U);
}

// Second attempts must not use retries that the budget does not have.
Test(hedgedcalls, second_attempts_are_within_the_retry_budget)
{
  EntryCallsConfig config = HedgedConfig(kShare);
  config.retryBudget = { 0, 0, 2 };
  HedgedEntry entry(3, config);
  for (RequestId request = 1; request <= 5; ++request) {
    entry.BeginSlow(request);
    entry.calls->CallerLeft(request);
  }
  cr_expect_eq(std::ranges::count(entry.hedgeEvents, "started"), 2);
  cr_expect_eq(std::ranges::count(entry.hedgeEvents, "budget"), 3);
}

// The share is exhausted by calls that are all slow.
Test(hedgedcalls, second_attempts_are_within_the_share)
{
  HedgedEntry entry(3, HedgedConfig(0.05));
  for (RequestId request = 1; request <= 10; ++request) {
    entry.BeginSlow(request);
    entry.calls->CallerLeft(request);
  }
  cr_expect_eq(std::ranges::count(entry.hedgeEvents, "started"), 3);
  cr_expect_eq(std::ranges::count(entry.hedgeEvents, "share"), 7);
}
