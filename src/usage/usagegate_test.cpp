#include "usage/usagegate.h"

#include "common/log.h"
#include "usage/usagemodel.h"

#include <criterion/criterion.h>

#include <cstdio>
#include <map>
#include <string>
#include <utility>
#include <vector>

using namespace lacewingwharf;
using namespace lacewingwharf::testing;

namespace {

constexpr int kRate = 100;

/** A gate whose accountants reply as the test says. */
struct GateDaemon
{
  explicit GateDaemon(int aMembers = 6)
    : snapshot(SnapshotOfTeam("pulo", kRate, kRate))
  {
    auto view = std::make_shared<EndpointView>();
    for (int host = 0; host < aMembers; ++host) {
      view->members.push_back({ fmt::format("h{}", host),
                                "",
                                host,
                                host % 2 == 0 ? "east" : "west",
                                1,
                                true });
    }
    view->isComplete = true;
    this->gate.SetView(view);
  }

  UsageDecision Admit(const std::string& aCall,
                      Millis aRemaining = 1000,
                      Millis aWaited = 0)
  {
    return this->gate.Admit(aCall,
                            *this->snapshot->Teams().front(),
                            WorkClass::Interactive,
                            aRemaining,
                            aWaited);
  }

  /** Answers the newest request as an accountant. */
  void Answer(int aGranted, int aRetryAfter = 0)
  {
    const auto& [host, request] = this->sent.back();
    wire::UsageGrant grant;
    grant.host = host;
    grant.incarnation = 1;
    grant.sequence = request.sequence;
    grant.stamp = this->clock.View().Now();
    wire::UsageAnswer answer;
    answer.team = "pulo";
    answer.granted = aGranted;
    answer.retryAfterMillis = aRetryAfter;
    grant.answers.push_back(answer);
    this->gate.HandleGrant(grant);
  }

  /** Replies to the newest request without an answer for any team. */
  void AnswerNothing()
  {
    wire::UsageGrant grant;
    grant.host = this->sent.back().first;
    grant.incarnation = 1;
    grant.sequence = this->sent.back().second.sequence;
    grant.stamp = this->clock.View().Now();
    this->gate.HandleGrant(grant);
  }

  void Wait(Millis aTime)
  {
    constexpr Millis kTick = 10;
    for (Millis passed = 0; passed < aTime; passed += kTick) {
      this->clock.Advance(kTick);
      this->gate.Tick();
    }
  }

  ManualClock clock{ 100000 };
  SnapshotPtr snapshot;
  std::vector<std::pair<std::string, wire::UsageRequest>> sent;
  std::map<std::string, UsageDecision> decided;
  UsageGate gate{ { "h0", 1, "east", MakeUsageTimes({}) },
                  this->clock.View(),
                  { [this](const FleetMember& aTo,
                           const wire::Envelope& aSent) {
                     this->sent.emplace_back(aTo.host, aSent.usageRequest);
                   },
                    [this](const std::string& aCall, UsageDecision aDecision) {
                      this->decided[aCall] = std::move(aDecision);
                    } } };
};

void
SilenceLogs()
{
  Log::SetLevel(LogLevel::Error);
}

} // namespace

TestSuite(usagegate, .init = SilenceLogs);

// Deployments without caps must not pay for them.
Test(usagegate, WithoutCapsNothingIsSentOrRefused)
{
  GateDaemon daemon;
  daemon.gate.SetSnapshot(SnapshotOfTeam("pulo", 0, 0));
  daemon.Wait(5000);
  const UsageDecision decision = daemon.Admit("a");
  cr_assert_eq(decision.verdict, UsageVerdict::Granted);
  cr_assert_not(decision.token.has_value());
  cr_assert(daemon.sent.empty());
}

// Views are frequent in large fleets; without caps they must cost nothing.
Test(usagegate, WithoutCapsAViewIsNotEvaluated)
{
  std::FILE* const log = std::tmpfile();
  Log::SetOutput(fileno(log));
  Log::SetLevel(LogLevel::Info);
  GateDaemon daemon(1);
  Log::Flush();
  std::fseek(log, 0, SEEK_END);
  cr_assert_eq(std::ftell(log), 0);
  // The view counts once there are caps, and the wait before the first loan
  // counts from the start of the process.
  daemon.clock.Advance(static_cast<double>(MakeUsageTimes({}).relendTime + 1));
  daemon.gate.SetSnapshot(daemon.snapshot);
  for (int exchange = 0; exchange < 2; ++exchange) {
    daemon.Wait(10);
    const wire::UsageRequest request = daemon.sent.back().second;
    daemon.gate.HandleGrant(daemon.gate.HandleRequest(request));
  }
  cr_assert_eq(daemon.gate.Accountant().LoansOf(0), kUsageHalves);
}

// A call without a token must ask at once, because its caller waits.
Test(usagegate, AWaitingCallAsksTheNearAccountantFirst)
{
  GateDaemon daemon;
  daemon.gate.SetSnapshot(daemon.snapshot);
  cr_assert_eq(daemon.Admit("a").verdict, UsageVerdict::Waiting);
  cr_assert_eq(daemon.sent.size(), 1U);
  cr_assert_eq((daemon.sent.front().first.back() - '0') % 2, 0); // East.
  daemon.Answer(1);
  cr_assert_eq(daemon.decided.at("a").verdict, UsageVerdict::Granted);
}

// The other half of the cap must be used before a call is refused, and the
// refusal must not be delayed.
Test(usagegate, ACallIsRefusedWhenBothPoolsAreEmpty)
{
  GateDaemon daemon;
  daemon.gate.SetSnapshot(daemon.snapshot);
  daemon.Admit("a");
  daemon.Answer(0, 300);
  cr_assert_eq(daemon.sent.size(), 2U);
  cr_assert_neq(daemon.sent[0].first, daemon.sent[1].first);
  cr_assert(daemon.decided.empty());
  daemon.Answer(0, 300);
  const UsageDecision& decision = daemon.decided.at("a");
  cr_assert_eq(decision.verdict, UsageVerdict::Refused);
  cr_assert_eq(decision.refusal.reason, RefusalReason::TeamRate);
  cr_assert_leq(std::abs(decision.refusal.retryAfter - 150), 2);
  // The next calls are refused without messages for a short time.
  cr_assert_eq(daemon.Admit("b").refusal.reason, RefusalReason::TeamRate);
  cr_assert_eq(daemon.sent.size(), 2U);
  daemon.clock.Advance(60);
  cr_assert_eq(daemon.Admit("c").verdict, UsageVerdict::Waiting);
  // They count for the time at which callers are told to come back.
  cr_assert_eq(daemon.sent.back().second.needs.front().waiting, 2);
  cr_assert_eq(daemon.sent.back().second.needs.front().wanted, 1);
}

// Callers that come back before the daemon lends its share would be refused
// again: after a restart of all daemons, there may be no tokens until then.
Test(usagegate, ARefusalAfterAStartNamesTheTimeOfTheFirstLoan)
{
  const UsageTimes times = MakeUsageTimes({});
  GateDaemon daemon(1);
  daemon.gate.SetSnapshot(daemon.snapshot);
  daemon.clock.Advance(300);
  daemon.Admit("a");
  daemon.gate.HandleGrant(daemon.gate.HandleRequest(daemon.sent.back().second));
  const Refusal& refusal = daemon.decided.at("a").refusal;
  cr_assert_eq(refusal.reason, RefusalReason::TeamUnavailable);
  cr_assert_eq(refusal.retryAfter, times.relendTime - 300);
}

// After a start, the pools are empty because nothing is lent to them yet. A
// refusal that names the cap and its Retry-After would be untrue.
Test(usagegate, PoolsWithoutLoansAreUnavailable)
{
  GateDaemon daemon(1);
  daemon.gate.SetSnapshot(daemon.snapshot);
  daemon.Admit("a");
  daemon.gate.HandleGrant(daemon.gate.HandleRequest(daemon.sent.back().second));
  cr_assert_eq(daemon.decided.at("a").refusal.reason,
               RefusalReason::TeamUnavailable);
  // The accountant is not asked again at once.
  cr_assert_eq(daemon.Admit("b").refusal.reason,
               RefusalReason::TeamUnavailable);
  cr_assert_eq(daemon.sent.size(), 1U);
}

// A refusal because of a silent accountant is no evidence of the cap.
Test(usagegate, WithoutAnyReplyACallIsRefusedAfterTheWait)
{
  GateDaemon daemon;
  daemon.gate.SetSnapshot(daemon.snapshot);
  daemon.Admit("a");
  daemon.Wait(60);
  cr_assert_eq(daemon.sent.back().first.empty(), false);
  cr_assert(daemon.decided.empty());
  daemon.Wait(100);
  cr_assert_eq(daemon.decided.at("a").refusal.reason,
               RefusalReason::TeamUnavailable);
  // Once the accountants count as silent, calls do not wait for them.
  daemon.Wait(1000);
  cr_assert_eq(daemon.Admit("b").verdict, UsageVerdict::Refused);
}

// An accountant that does not know the team yet has no answer for it; the call
// must not wait for one.
Test(usagegate, AReplyWithoutTheTeamAsksTheOtherAccountant)
{
  GateDaemon daemon;
  daemon.gate.SetSnapshot(daemon.snapshot);
  daemon.Admit("a");
  daemon.AnswerNothing();
  cr_assert_eq(daemon.sent.size(), 2U);
  cr_assert_neq(daemon.sent[0].first, daemon.sent[1].first);
  daemon.AnswerNothing();
  cr_assert_eq(daemon.decided.at("a").refusal.reason,
               RefusalReason::TeamUnavailable);
  daemon.clock.Advance(60);
  cr_assert_eq(daemon.Admit("b").verdict, UsageVerdict::Waiting);
}

// Accountants learn of a version at different times. The first call of a team
// must not be refused because they do not have it yet, and later ones must not
// wait for accountants that remain behind.
Test(usagegate, ACallOfANewTeamWaitsForAccountantsToLearnOfIt)
{
  for (const Millis age : { 10, 4000 }) {
    GateDaemon daemon;
    daemon.gate.SetSnapshot(SnapshotOfTeam("press", kRate, kRate));
    daemon.gate.SetSnapshot(daemon.snapshot);
    daemon.Wait(age);
    for (const auto& [host, request] : std::vector(daemon.sent)) {
      wire::UsageGrant grant;
      grant.host = host;
      grant.incarnation = 1;
      grant.sequence = request.sequence;
      grant.stamp = daemon.clock.View().Now();
      daemon.gate.HandleGrant(grant);
    }
    cr_assert_eq(daemon.Admit("a").verdict, UsageVerdict::Waiting);
    daemon.AnswerNothing();
    daemon.AnswerNothing();
    cr_assert_eq(daemon.decided.contains("a"), age > 3000);
    if (daemon.decided.contains("a")) {
      cr_assert_eq(daemon.decided["a"].verdict, UsageVerdict::Refused);
      continue;
    }
    daemon.Wait(60);
    std::erase_if(daemon.sent,
                  [](const auto& aSent) { return aSent.second.needs.empty(); });
    daemon.Answer(1);
    cr_assert_eq(daemon.decided["a"].verdict, UsageVerdict::Granted);
  }
}

// A malformed reply must not grant more than was asked for.
Test(usagegate, AReplyGrantsNoMoreThanWasAsked)
{
  GateDaemon daemon;
  daemon.gate.SetSnapshot(daemon.snapshot);
  daemon.Admit("a");
  daemon.Answer(1000000);
  cr_assert_eq(daemon.decided.at("a").verdict, UsageVerdict::Granted);
  cr_assert_eq(daemon.Admit("b").verdict, UsageVerdict::Waiting);
  daemon.Answer(-1000000);
  cr_assert_eq(daemon.gate.States().front().counts.granted, 1);
}

// The bound counts calls from their arrival, so a pipelined request that waited
// behind others must not wait the full time for a token again.
Test(usagegate, TheWaitCountsFromTheArrival)
{
  GateDaemon daemon;
  daemon.gate.SetSnapshot(daemon.snapshot);
  cr_assert_eq(daemon.Admit("a", 1000, 100).verdict, UsageVerdict::Waiting);
  daemon.Wait(40);
  cr_assert(daemon.decided.empty());
  daemon.Wait(10);
  cr_assert_eq(daemon.decided.at("a").verdict, UsageVerdict::Refused);
  // Without time left, a call is refused at once unless a token is held.
  cr_assert_eq(daemon.Admit("b", 1000, 150).verdict, UsageVerdict::Refused);
  daemon.Admit("c");
  daemon.Answer(1);
  daemon.gate.GiveBack("pulo", *daemon.decided.at("c").token);
  cr_assert_eq(daemon.Admit("d", 1000, 150).verdict, UsageVerdict::Granted);
}

// A repeated reply must not double the tokens.
Test(usagegate, AReplyCountsOnce)
{
  GateDaemon daemon;
  daemon.gate.SetSnapshot(daemon.snapshot);
  daemon.Admit("a");
  daemon.Answer(1);
  daemon.Answer(1);
  cr_assert_eq(daemon.Admit("b").verdict, UsageVerdict::Waiting);
}

// Tokens of a reply that is too late are no longer counted by the accountant.
Test(usagegate, ALateReplyGrantsNothing)
{
  GateDaemon daemon;
  daemon.gate.SetSnapshot(daemon.snapshot);
  daemon.Admit("a");
  daemon.clock.Advance(static_cast<double>(MakeUsageTimes({}).tokenTime));
  daemon.Answer(5);
  cr_assert_eq(daemon.Admit("b").verdict, UsageVerdict::Waiting);
}

// A call that did not run must not cost its team a token.
Test(usagegate, AReturnedTokenServesAnotherCall)
{
  GateDaemon daemon;
  daemon.gate.SetSnapshot(daemon.snapshot);
  daemon.Admit("a");
  daemon.Answer(1);
  daemon.gate.GiveBack("pulo", *daemon.decided.at("a").token);
  cr_assert_eq(daemon.Admit("b").verdict, UsageVerdict::Granted);
}

// A half that may be lent must not stay unused until the next idle request.
Test(usagegate, LoansStartWhenTheyMay)
{
  GateDaemon daemon(1);
  daemon.gate.SetSnapshot(daemon.snapshot);
  Millis passed = 0;
  for (; daemon.gate.Accountant().LoansOf(0) == 0; passed += 10) {
    daemon.Wait(10);
    for (const auto& [host, request] : std::exchange(daemon.sent, {})) {
      daemon.gate.HandleGrant(daemon.gate.HandleRequest(request));
    }
  }
  cr_assert_leq(passed, MakeUsageTimes({}).relendTime + 20);
}

// A daemon that is cut off alone must still serve its share of the cap.
Test(usagegate, AnIsolatedDaemonUsesItsOwnShare)
{
  GateDaemon daemon(4);
  daemon.gate.SetSnapshot(daemon.snapshot);
  const auto serveItself = [&daemon] {
    std::vector<std::pair<std::string, wire::UsageRequest>> own;
    std::swap(own, daemon.sent);
    for (const auto& [host, request] : own) {
      if (host == "h0") {
        daemon.gate.HandleGrant(daemon.gate.HandleRequest(request));
      }
    }
  };
  constexpr int kTicks = 800;
  int granted = 0;
  for (int tick = 0; tick < kTicks; ++tick) {
    daemon.Wait(10);
    serveItself();
    const std::string call = fmt::format("{}", tick);
    granted += daemon.Admit(call).verdict == UsageVerdict::Granted ? 1 : 0;
    serveItself();
  }
  for (const auto& [call, decision] : daemon.decided) {
    granted += decision.verdict == UsageVerdict::Granted ? 1 : 0;
  }
  // A quarter of 100/s, after about 5 of 8 s in which loans had to end.
  cr_assert_geq(granted, 50);
  cr_assert_leq(granted, 8 * kRate / 4);
}

// A cap that is removed must not leave its calls waiting.
Test(usagegate, CallsOfATeamWithoutCapStopWaiting)
{
  GateDaemon daemon;
  daemon.gate.SetSnapshot(daemon.snapshot);
  daemon.Admit("a");
  daemon.gate.SetSnapshot(SnapshotOfTeam("pulo", 0, 0));
  cr_assert_eq(daemon.decided.at("a").verdict, UsageVerdict::Granted);
}
