#include "execution/entrycalls.h"

#include "common/log.h"
#include "execution/entryharness.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace lacewingwharf;
using namespace lacewingwharf::testing;

namespace {

/** An entry daemon with the product's own dialect. */
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
SilenceLogs()
{
  Log::SetLevel(LogLevel::Error);
}

} // namespace

TestSuite(entrycalls, .init = SilenceLogs);

// An answer that was damaged on the way must not reach the caller.
Test(entrycalls, DamagedAnswerIsRetriedOrUnknown)
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
    const bool isRetried = daemon.sent.size() == 2;
    cr_assert_eq(isRetried, method == std::string("GET"));
    cr_assert_eq(daemon.OutcomeOf(1), isRetried ? "" : "unknown");
  }
}

// A caller must get neither a second answer nor the answer of an older attempt.
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

// A call must not be retried before the status of its first attempt is known.
Test(entrycalls, CallOfALostSessionIsQueriedBeforeARetry)
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

// A failed dial must not affect a later request: the next dial may have
// succeeded after that request was queued.
Test(entrycalls, FailedDialDoesNotAffectALaterRequest)
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

// A server that sheds a call has received it, so the call must not be reported
// as not run.
Test(entrycalls, ShedCallWithoutAnotherServerIsUnknown)
{
  EntryDaemon daemon(1);
  daemon.Begin(1, "GET");
  daemon.Answer(daemon.LastRequest().callId, kDone, "shed", 503);
  cr_assert_eq(daemon.OutcomeOf(1), "unknown");
}

// A destination keeps its record of a call for a limited time, and this daemon
// may have been paused. A not-run that comes later must not be accepted.
Test(entrycalls, CallIsNotQueriedAfterItsAnswerMayHaveExpired)
{
  EntryDaemon daemon(3, 10 * kAnswerRetention);
  daemon.Begin(1, "POST");
  daemon.clock.Advance(kAnswerRetention);
  daemon.LoseSession();
  cr_assert_eq(daemon.OutcomeOf(1), "unknown");
  daemon.Begin(2, "POST");
  const std::string second = daemon.LastRequest().callId;
  daemon.LoseSession();
  daemon.clock.Advance(kAnswerRetention);
  daemon.Answer(second, kNotRun, "fenced");
  cr_assert_eq(daemon.OutcomeOf(2), "unknown");
}

// A call must not run after its caller has left, and its key must not stay
// claimed.
Test(entrycalls, CallIsNotSentIfItsCallerLeavesWhileClaiming)
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

// A call must not settle the claim of another call, and a call with a key must
// not run without a claim.
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

// A key must be released if its call certainly did not run, and must stay
// claimed if the call may have run.
Test(entrycalls, KeyIsReleasedOnlyAfterACertainNotRun)
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

// Retries must not multiply the load on a failing service.
Test(entrycalls, RetriesStayWithinTheBudget)
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

// A request that may have crashed a server must not be retried.
Test(entrycalls, RequestThatLostAServerIsNotRetried)
{
  EntryDaemon daemon;
  daemon.hasLostServer = true;
  daemon.Begin(1, "GET");
  daemon.Answer(daemon.LastRequest().callId, kUnknown, "cut-answer");
  cr_assert_eq(daemon.OutcomeOf(1), "unknown");
  cr_assert_eq(daemon.sent.size(), 1U);
}

// A caller may send the request again before gossip delivers the destination's
// crash report. The loss must be counted at once, or a third server could be
// lost.
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
  cr_assert_eq(daemon.lossHosts, expected);
}

// Chains of calls must end, and no call may be sent after its deadline.
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
