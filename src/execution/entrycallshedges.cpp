// The part of EntryCalls for second attempts of slow calls; see
// docs/design/hedged-requests.md.

#include "common/log.h"
#include "execution/callanswer.h"
#include "execution/callrequest.h"
#include "execution/entrycalls.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr Log kLog("calls");
constexpr int kServerError = 500;

/** The inputs of a decision as fields of a log line. */
std::string
DescribeInputs(const HedgeDecision& aDecision)
{
  return fmt::format(
    "slow_after_ms={:.0f} median_ms={:.0f} answers={} answers_age_ms={:.0f} "
    "busy={} slots={} reports={} report_age_ms={:.0f} window_calls={} "
    "window_second_attempts={}",
    aDecision.times.high,
    aDecision.times.median,
    aDecision.times.answers,
    aDecision.times.age,
    aDecision.load.calls,
    aDecision.load.slots,
    aDecision.load.servers,
    aDecision.load.age,
    aDecision.counts.calls,
    aDecision.counts.secondAttempts);
}

/** Whether the refusal of an attempt is a sign that capacity is short. */
bool
IsLackOfCapacity(CallEnd aEnd, const wire::CallAnswer& aAnswer)
{
  if (aAnswer.outcome != wire::CallOutcome::NOT_RUN) {
    return aEnd == CallEnd::Refused; // The queue of this daemon is full.
  }
  const RefusalReason reason = RefusalOf(aAnswer).reason;
  return IsCapacityRefusal(reason) || IsLimitRefusal(reason) ||
         reason == RefusalReason::Overload ||
         reason == RefusalReason::ServerRefused;
}

} // namespace

void
EntryCalls::StartSecondAttempts()
{
  if (!this->hedging.IsEnabled()) {
    return;
  }
  const double now = this->clock.PreciseNow();
  auto calls = this->openCalls.All();
  std::erase_if(calls, [this, now](const EntryCallPtr& aCall) {
    return !this->MayBecomeSlow(*aCall, now);
  });
  std::ranges::for_each(calls, [this, now](const EntryCallPtr& aCall) {
    const auto slowAfter = this->hedging.SlowAfter(aCall->entry->name);
    if (slowAfter && now - aCall->attempt.startedAt > *slowAfter) {
      this->DecideSecondAttempt(aCall, *slowAfter);
    }
  });
}

/** Whether the call is at its first attempt and could get a second one. */
bool
EntryCalls::MayBecomeSlow(const EntryCall& aCall, double aNow) const
{
  return aCall.stage == CallStage::Attempting && aCall.attempts == 1 &&
         aCall.isIdempotent && !aCall.entry->hasLargeAnswers &&
         !aCall.attempt.isAnnounced && !aCall.hasCallerLeft &&
         aNow >= aCall.hedge.decideAgainAt &&
         this->openCalls.HasOpenAttempt(aCall);
}

void
EntryCalls::DecideSecondAttempt(const EntryCallPtr& aCall, double aSlowAfter)
{
  const HedgeDecision decision =
    this->hedging.Decide({ aCall->entry->name,
                           aCall->service,
                           KeyOfEndpoint(aCall->attempt.endpoint),
                           this->OtherAttemptsAtServer(*aCall),
                           aCall->attempt.endpoint.slots,
                           static_cast<double>(this->Remaining(*aCall)) });
  auto reason = this->FindObstacle(*aCall);
  reason = reason ? reason : decision.withheld;
  std::optional<Choice> choice;
  if (!reason) {
    choice =
      this->ChooseServer(*aCall, this->hedging.BusyServers(aCall->service));
    if (!choice || choice->reason == ChoiceReason::AllEjected) {
      reason = WithheldReason::NoServer;
    }
  }
  if (!reason && !this->MayRetry(*aCall, false)) {
    reason = WithheldReason::Budget;
  }
  if (reason) {
    aCall->hedge.decideAgainAt =
      this->clock.PreciseNow() + this->hedging.NextDecisionIn(aSlowAfter);
    this->Withhold(*aCall, *reason, decision);
    return;
  }
  this->StartSecondAttempt(aCall, *choice, decision);
}

/** Why the call or the state of this daemon allows no second attempt. */
std::optional<WithheldReason>
EntryCalls::FindObstacle(const EntryCall& aCall) const
{
  if (this->hasStopBegun || this->isStopping) {
    return WithheldReason::Stopping;
  }
  if (this->hooks.hasLostServer(aCall.digest)) {
    return WithheldReason::Quarantine;
  }
  if (aCall.deliveries > aCall.entry->limits.retries) {
    return WithheldReason::Retries;
  }
  if (this->rollouts != nullptr &&
      this->rollouts->IsOrderRunning(aCall.service)) {
    return WithheldReason::Rollout;
  }
  return std::nullopt;
}

/** The open attempts of other calls of this daemon at the call's server. */
int
EntryCalls::OtherAttemptsAtServer(const EntryCall& aCall) const
{
  const EndpointKey server = KeyOfEndpoint(aCall.attempt.endpoint);
  const auto calls =
    this->openCalls.AttemptsAt(AddressOfEndpoint(aCall.attempt.endpoint));
  return static_cast<int>(
    std::ranges::count_if(calls, [&aCall, &server](const EntryCallPtr& aOther) {
      return aOther.get() != &aCall &&
             KeyOfEndpoint(aOther->attempt.endpoint) == server;
    }));
}

void
EntryCalls::StartSecondAttempt(const EntryCallPtr& aCall,
                               const Choice& aChoice,
                               const HedgeDecision& aDecision)
{
  kLog.Decision("second-attempt",
                "request={} call={} entry={} service={} first={} second={} "
                "elapsed_ms={:.0f} left_ms={} {}",
                aCall->requestId,
                aCall->id,
                aCall->entry->name,
                aCall->service,
                aCall->attempt.endpoint.host,
                aChoice.endpoint.host,
                this->clock.PreciseNow() - aCall->attempt.startedAt,
                this->Remaining(*aCall),
                DescribeInputs(aDecision));
  this->hedging.RecordSecondAttempt(aCall->service);
  this->CountHedge(*aCall, HedgeEvent::Started);
  aCall->otherAttempt = aCall->attempt;
  aCall->hedge.attemptId = NextAttemptId(*aCall);
  this->StartAttemptAt(aCall, aChoice);
}

/** Counts and logs a call without a second attempt once, for its first reason.
 */
void
EntryCalls::Withhold(EntryCall& aCall,
                     WithheldReason aReason,
                     const HedgeDecision& aDecision)
{
  if (std::exchange(aCall.hedge.isWithheld, true)) {
    return;
  }
  kLog.Decision("second-attempt-withheld",
                "request={} call={} entry={} service={} first={} reason={} "
                "elapsed_ms={:.0f} left_ms={} {}",
                aCall.requestId,
                aCall.id,
                aCall.entry->name,
                aCall.service,
                aCall.attempt.endpoint.host,
                kWithheldReasonNames.NameOf(aReason),
                this->clock.PreciseNow() - aCall.attempt.startedAt,
                this->Remaining(aCall),
                DescribeInputs(aDecision));
  this->CountHedge(aCall, HedgeEvent::Withheld, aReason);
}

/**
 * Handles the answer to one of the two attempts of a slow call. The first
 * answer of a server ends the call. A refusal, a loss or a server error leaves
 * it to the other attempt.
 */
void
EntryCalls::HandleHedgedAnswer(const EntryCallPtr& aCall,
                               wire::CallAnswer aAnswer)
{
  if (aCall->otherAttempt->id == aAnswer.callId) {
    std::swap(aCall->attempt, *aCall->otherAttempt);
  }
  const bool isAnswer = aAnswer.outcome == wire::CallOutcome::DONE &&
                        aAnswer.status < kServerError &&
                        BodyHash(aAnswer.body) == aAnswer.bodyHash;
  if (isAnswer) {
    this->HandleDone(aCall, std::move(aAnswer));
    return;
  }
  this->RecordFailedAttempt(*aCall, std::move(aAnswer));
  aCall->attempt = *std::exchange(aCall->otherAttempt, std::nullopt);
  kLog.Decision("other-attempt-awaited",
                "request={} call={} host={} attempts={}",
                aCall->requestId,
                aCall->id,
                aCall->attempt.endpoint.host,
                aCall->attempts);
}

/** Records an attempt without a usable answer, while another one is open. */
void
EntryCalls::RecordFailedAttempt(EntryCall& aCall, wire::CallAnswer aAnswer)
{
  if (aAnswer.outcome == wire::CallOutcome::NOT_RUN) {
    const Refusal refusal = RefusalOf(aAnswer);
    if (!ReachedServer(refusal.reason)) {
      --aCall.deliveries;
    }
    this->RecordObservation(aCall, CallEndOf(refusal.reason), aAnswer);
    this->limitMemory.RecordRefusal(aCall, refusal);
    aCall.lastRefusal = refusal;
    return;
  }
  aCall.mayHaveRun = true;
  if (aAnswer.serverLost) {
    this->hooks.serverLost(aCall.digest, aCall.attempt.endpoint.host);
  }
  this->RecordObservation(
    aCall, aAnswer.serverLost ? CallEnd::Lost : CallEnd::Failed, aAnswer);
  if (aAnswer.outcome == wire::CallOutcome::DONE &&
      BodyHash(aAnswer.body) == aAnswer.bodyHash) {
    aCall.failure = std::move(aAnswer);
  }
}

void
EntryCalls::RecordHedgeEnd(const EntryCall& aCall, const Ending& aEnding) const
{
  const bool isAnswered =
    aEnding.outcome == Outcome::Done && aEnding.status < kServerError;
  const bool isSecond = aCall.attempt.id == aCall.hedge.attemptId;
  const char* const winner = isSecond ? "second" : "first";
  kLog.Decision("second-attempt-ended",
                "request={} call={} winner={} status={} both_open={} "
                "took_ms={:.0f}",
                aCall.requestId,
                aCall.id,
                isAnswered ? winner : "none",
                aEnding.status,
                aCall.otherAttempt.has_value(),
                this->clock.PreciseNow() - aCall.startedAt);
  if (isAnswered && isSecond) {
    this->CountHedge(aCall, HedgeEvent::Won);
  }
}

/** Learns from the end of an attempt, whether or not it was hedged. */
void
EntryCalls::RecordForHedging(const EntryCall& aCall,
                             CallEnd aEnd,
                             const wire::CallAnswer& aAnswer)
{
  if (aAnswer.slots > 0) {
    // The load of an answer includes its own call, that of a refusal does not.
    const bool isRefusal = aAnswer.outcome == wire::CallOutcome::NOT_RUN;
    const int running = std::max(0, aAnswer.running - (isRefusal ? 0 : 1));
    this->hedging.RecordLoad(aCall.service,
                             KeyOfEndpoint(aCall.attempt.endpoint),
                             { running, aAnswer.waiting, aAnswer.slots, 0 });
  }
  if (IsLackOfCapacity(aEnd, aAnswer)) {
    this->hedging.RecordRefusal(aCall.service);
  }
  const bool isFirst = aCall.attempt.id != aCall.hedge.attemptId;
  if (isFirst && (aEnd == CallEnd::Succeeded || aEnd == CallEnd::Slow)) {
    this->hedging.RecordResponse(
      aCall.entry->name, this->clock.PreciseNow() - aCall.attempt.startedAt);
  }
}

void
EntryCalls::CountHedge(const EntryCall& aCall,
                       HedgeEvent aEvent,
                       std::optional<WithheldReason> aReason) const
{
  if (this->hooks.hedged) {
    this->hooks.hedged(aCall, aEvent, aReason);
  }
}

} // namespace lacewingwharf
