#include "execution/entrycalls.h"

#include "common/log.h"
#include "execution/entryharness.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace lacewingwharf;
using namespace lacewingwharf::testing;

namespace {

/** An entry daemon of the product's own protocol. */
struct EntryDaemon : EntryHarness
{
  explicit EntryDaemon(std::size_t aServers = 3, Millis aDeadline = kDeadline)
    : EntryHarness({ "host-a", 1 }, aServers, aDeadline)
  {
  }
};

constexpr auto kDone = wire::CallOutcome::DONE;
constexpr auto kNotRun = wire::CallOutcome::NOT_RUN;
constexpr auto kUnknown = wire::CallOutcome::UNKNOWN;

const HttpHeaders kKeyed{ { kKeyHeader, "order-1" } };

void
Quiet()
{
  Log::SetLevel(LogLevel::Error);
}

} // namespace

TestSuite(entrycalls, .init = Quiet);

// Guards against bytes that were damaged on the way being passed on.
Test(entrycalls, DamagedAnswerIsRepeatedOrUnknown)
{
  for (const char* const method : { "POST", "GET" }) {
    EntryDaemon daemon;
    daemon.Begin(1, method);
    wire::CallAnswer answer;
    answer.callId = daemon.LastRequest().callId;
    answer.outcome = kDone;
    answer.status = 200;
    answer.body = "damaged";
    answer.bodyHash = BodyHash("whole");
    daemon.calls->HandleAnswer(answer);
    const bool isRepeated = daemon.sent.size() == 2;
    cr_assert_eq(isRepeated, method == std::string("GET"));
    cr_assert_eq(daemon.OutcomeOf(1), isRepeated ? "" : "unknown");
  }
}

// Guards against a second answer to a caller, and one of an older attempt.
Test(entrycalls, LateAnswerIsDropped)
{
  EntryDaemon daemon;
  daemon.Begin(1, "GET");
  const std::string first = daemon.LastRequest().callId;
  daemon.LoseSession();
  daemon.Answer(first, kDone, "late");
  cr_assert_eq(daemon.OutcomeOf(1), "");
  daemon.Answer(daemon.LastRequest().callId, kDone, "second");
  cr_assert_eq(daemon.answers[1].body, "second");
  daemon.Begin(2, "POST");
  daemon.Wait(kDeadline + 200);
  cr_assert_eq(daemon.OutcomeOf(2), "unknown");
  daemon.Answer(daemon.sent[2].second.callRequest.callId, kDone, "late");
  cr_assert_eq(daemon.answerCounts[2], 1);
  cr_assert_eq(daemon.calls->InFlight(), 0U);
}

// Guards against a repeat before the fate of the first attempt is known.
Test(entrycalls, LostSessionIsAskedAboutBeforeARepeat)
{
  EntryDaemon daemon;
  daemon.Begin(1, "POST");
  const std::string first = daemon.LastRequest().callId;
  daemon.LoseSession();
  cr_assert(daemon.sent.back().second.__isset.callQuery);
  cr_assert_eq(daemon.sent.back().second.callQuery.callId, first);
  daemon.Answer(first, kNotRun, "fenced");
  cr_assert(daemon.sent.back().second.__isset.callRequest);
  daemon.LoseSession();
  daemon.Answer(
    daemon.sent[2].second.callRequest.callId, kUnknown, "daemon-restarted");
  cr_assert_eq(daemon.OutcomeOf(1), "unknown");
}

// Guards against a request being taken for unsent because an earlier one was:
// the dial may have failed before, and succeeded after, the request was queued.
Test(entrycalls, FailedDialSaysNothingOfALaterRequest)
{
  EntryDaemon daemon(1);
  daemon.Begin(1, "POST");
  const std::string first = daemon.LastRequest().callId;
  daemon.Begin(2, "POST");
  const std::string second = daemon.LastRequest().callId;
  daemon.calls->HandleSessionLost(daemon.sent.back().first, false, { first });
  cr_assert_eq(daemon.OutcomeOf(1), "not-run");
  cr_assert_eq(daemon.OutcomeOf(2), "");
  daemon.Answer(second, kDone, "ran");
  cr_assert_eq(daemon.OutcomeOf(2), "done");
}

// Guards against not-run for a request that a shedding server has seen.
Test(entrycalls, ShedCallWithoutAnotherServerIsNotCalledNotRun)
{
  EntryDaemon daemon(1);
  daemon.Begin(1, "GET");
  daemon.Answer(daemon.LastRequest().callId, kDone, "shed", 503);
  cr_assert_eq(daemon.OutcomeOf(1), "unknown");
}

// Guards against not-run from a destination that has forgotten the call: its
// answer is kept for a bounded time, and this daemon may have been paused.
Test(entrycalls, FateIsNotAskedForAfterTheAnswerMayBeGone)
{
  EntryDaemon daemon(3, 10 * kKeepAnswers);
  daemon.Begin(1, "POST");
  daemon.clock.Advance(kKeepAnswers);
  daemon.LoseSession();
  cr_assert_eq(daemon.OutcomeOf(1), "unknown");
  daemon.Begin(2, "POST");
  const std::string second = daemon.LastRequest().callId;
  daemon.LoseSession();
  daemon.clock.Advance(kKeepAnswers);
  daemon.Answer(second, kNotRun, "fenced");
  cr_assert_eq(daemon.OutcomeOf(2), "unknown");
}

// Guards against work for a caller that is gone, and a key that stays taken.
Test(entrycalls, CallerThatLeavesWhileClaimingCausesNoRun)
{
  EntryDaemon daemon;
  daemon.Begin(1, "POST", kKeyed);
  daemon.calls->CallerLeft(1);
  daemon.calls->HandleClaim(daemon.holder, wire::ClaimResult::GRANTED);
  cr_assert(daemon.sent.empty());
  cr_assert_eq(daemon.settled, std::vector<std::string>{ "not-run" });
  daemon.Begin(2, "POST");
  daemon.calls->CallerLeft(2);
  cr_assert(daemon.sent.back().second.__isset.callCancel);
}

// Guards against the key of one call being settled by another, and against a
// run without a claim.
Test(entrycalls, ClaimDecidesWhetherAKeyedCallIsSent)
{
  EntryDaemon daemon;
  daemon.Begin(1, "POST", kKeyed);
  daemon.calls->HandleClaim(daemon.holder, wire::ClaimResult::DUPLICATE);
  cr_assert_eq(daemon.OutcomeOf(1), "unknown");
  cr_assert_eq(daemon.answers[1].headers[kReasonHeader], "duplicate-key");
  cr_assert(daemon.settled.empty());
  daemon.Begin(2, "POST", kKeyed);
  daemon.calls->HandleClaim(daemon.holder, wire::ClaimResult::UNAVAILABLE);
  cr_assert_eq(daemon.OutcomeOf(2), "not-run");
  cr_assert(daemon.sent.empty());
  daemon.Begin(3, "POST", kKeyed);
  daemon.Wait(kDeadline);
  daemon.calls->HandleClaim(daemon.holder, wire::ClaimResult::GRANTED);
  cr_assert_eq(daemon.OutcomeOf(3), "not-run");
  cr_assert(daemon.sent.empty());
}

// Guards against a key that stays taken by a call that was proven not run, and
// one that is freed by a call that may have run.
Test(entrycalls, KeyIsReleasedOnlyAfterAProvenNotRun)
{
  EntryDaemon daemon;
  daemon.Begin(1, "POST", kKeyed);
  daemon.calls->HandleClaim(daemon.holder, wire::ClaimResult::GRANTED);
  daemon.Answer(daemon.LastRequest().callId, kNotRun, "deadline-passed");
  daemon.Begin(2, "POST", kKeyed);
  daemon.calls->HandleClaim(daemon.holder, wire::ClaimResult::GRANTED);
  daemon.Answer(daemon.LastRequest().callId, kUnknown, "cut-answer");
  const std::vector<std::string> expected{ "not-run", "unknown" };
  cr_assert_eq(daemon.settled, expected);
}

// Guards against repeats that multiply the load on a failing service.
Test(entrycalls, RepeatsStayWithinTheBudget)
{
  EntryDaemon daemon;
  constexpr RequestId kCalls = 40;
  for (RequestId request = 1; request <= kCalls; ++request) {
    daemon.Begin(request, "GET");
    while (daemon.OutcomeOf(request).empty()) {
      daemon.Answer(daemon.LastRequest().callId, kUnknown, "cut-answer");
    }
  }
  cr_assert_gt(daemon.sent.size(), kCalls);
  cr_assert_leq(daemon.sent.size(), kCalls + 6);
}

// Guards against a repeat of a request that may have crashed a server.
Test(entrycalls, RequestThatLostAServerIsNotRepeated)
{
  EntryDaemon daemon;
  daemon.hasLostServer = true;
  daemon.Begin(1, "GET");
  daemon.Answer(daemon.LastRequest().callId, kUnknown, "cut-answer");
  cr_assert_eq(daemon.OutcomeOf(1), "unknown");
  cr_assert_eq(daemon.sent.size(), 1U);
}

// Guards against a third lost server when a caller sends the request again at
// once: gossip brings the mark of the destination later.
Test(entrycalls, LostServerIsCountedAtOnce)
{
  EntryDaemon daemon;
  daemon.Begin(1, "POST");
  wire::CallAnswer answer;
  answer.callId = daemon.LastRequest().callId;
  answer.outcome = kUnknown;
  answer.serverLost = true;
  const int port = daemon.sent.back().first.port;
  daemon.calls->HandleAnswer(answer);
  const std::vector<std::string> expected{ fmt::format("host-{}", port) };
  cr_assert_eq(daemon.lostAt, expected);
}

// Guards against chains of calls without end and work after its deadline.
Test(entrycalls, DepthAndDeadlineAreBounded)
{
  EntryDaemon daemon;
  daemon.Begin(1, "GET", { { kDepthHeader, "20" } });
  cr_assert_eq(daemon.answers[1].headers[kReasonHeader], "depth-exceeded");
  daemon.Begin(2, "GET", { { kDeadlineHeader, "0" } });
  cr_assert_eq(daemon.answers[2].headers[kReasonHeader], "deadline-passed");
  cr_assert(daemon.sent.empty());
  daemon.Begin(
    3, "GET", { { kDepthHeader, "19" }, { kDeadlineHeader, "500" } });
  cr_assert_eq(daemon.LastRequest().remainingMillis, 500);
  cr_assert_eq(daemon.LastRequest().headers.at(kDepthHeader), "20");
  daemon.Wait(700);
  cr_assert_eq(daemon.OutcomeOf(3), "unknown");
}
