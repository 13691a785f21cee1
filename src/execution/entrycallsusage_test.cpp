#include "execution/entrycalls.h"

#include "common/log.h"
#include "execution/entryharness.h"

#include <criterion/criterion.h>

using namespace lacewingwharf;
using namespace lacewingwharf::testing;

namespace {

const UsageDecision kWaiting{ UsageVerdict::Waiting, {}, {} };
const UsageDecision kGranted{ UsageVerdict::Granted,
                              UsageToken{ "x", 17, 1000000, 1 },
                              {} };

UsageDecision
Refusing(RefusalReason aReason, Millis aRetryAfter)
{
  UsageDecision decision;
  decision.verdict = UsageVerdict::Refused;
  decision.refusal.reason = aReason;
  decision.refusal.retryAfter = aRetryAfter;
  return decision;
}

void
SilenceLogs()
{
  Log::SetLevel(LogLevel::Error);
}

struct EntryDaemon : EntryHarness
{
  EntryDaemon()
    : EntryHarness({ "host-a", 1 }, 3, kDeadline)
  {
  }
};

} // namespace

TestSuite(entrycallsusage, .init = SilenceLogs);

// A call must not reach a server before its team's cap allows it.
Test(entrycallsusage, ACallIsSentWhenItHasItsToken)
{
  EntryDaemon daemon;
  daemon.decision = kWaiting;
  daemon.Begin(1, "GET");
  daemon.Wait(100);
  cr_assert(daemon.sent.empty());
  daemon.calls->HandleUsageDecision(daemon.admitted.at(0), kGranted);
  cr_assert_eq(daemon.sent.size(), 1U);
  // A second decision must not send the call again.
  daemon.calls->HandleUsageDecision(daemon.admitted.at(0), kGranted);
  cr_assert_eq(daemon.sent.size(), 1U);
}

// Retries inside the system must not use up the cap of the team.
Test(entrycallsusage, ACallThatIsTriedAgainTakesOneToken)
{
  EntryDaemon daemon;
  daemon.decision = kGranted;
  daemon.Begin(1, "GET");
  daemon.Answer(
    daemon.LastRequest().callId,
    wire::CallOutcome::NOT_RUN,
    std::string(kRefusalReasonNames.NameOf(RefusalReason::Draining)));
  cr_assert_eq(daemon.sent.size(), 2U);
  cr_assert_eq(daemon.admitted.size(), 1U);
  cr_assert(daemon.returnedTokens.empty());
  daemon.Answer(daemon.LastRequest().callId, wire::CallOutcome::DONE, "done");
  cr_assert(daemon.returnedTokens.empty());
}

// The token of a call that did not run must serve another call, and that of a
// call that may have run must not.
Test(entrycallsusage, OnlyACallThatDidNotRunReturnsItsToken)
{
  EntryDaemon daemon;
  daemon.decision = kGranted;
  daemon.SetServers(0, {});
  daemon.Begin(1, "POST");
  cr_assert_eq(daemon.OutcomeOf(1), "not-run");
  cr_assert_eq(daemon.returnedTokens.size(), 1U);
  cr_assert_eq(daemon.returnedTokens.front(), 17);
  daemon.SetServers(1, {});
  daemon.Begin(2, "POST");
  daemon.Answer(
    daemon.LastRequest().callId, wire::CallOutcome::UNKNOWN, "lost");
  cr_assert_eq(daemon.OutcomeOf(2), "unknown");
  cr_assert_eq(daemon.returnedTokens.size(), 1U);
}

// Callers distinguish their cap from a fault, and wait for the stated time.
Test(entrycallsusage, RefusalsHaveTheirStatusAndTime)
{
  EntryDaemon daemon;
  daemon.decision = Refusing(RefusalReason::TeamRate, 1700);
  daemon.Begin(1, "POST");
  cr_assert_eq(daemon.answers.at(1).status, 429);
  cr_assert_eq(daemon.answers.at(1).headers.at("Retry-After"), "2");
  cr_assert_eq(daemon.OutcomeOf(1), "not-run");
  daemon.decision = Refusing(RefusalReason::TeamUnavailable, 500);
  daemon.Begin(2, "POST");
  cr_assert_eq(daemon.answers.at(2).status, 503);
  cr_assert(daemon.sent.empty());
}

// A token must not be spent for a caller that has left.
Test(entrycallsusage, ACallerThatLeavesEndsItsWait)
{
  EntryDaemon daemon;
  daemon.decision = kWaiting;
  daemon.Begin(1, "POST");
  daemon.calls->CallerLeft(1);
  cr_assert_eq(daemon.cancelled, daemon.admitted);
  cr_assert_eq(daemon.answerCounts.at(1), 1);
  daemon.calls->HandleUsageDecision(daemon.admitted.at(0), kGranted);
  cr_assert(daemon.sent.empty());
}
