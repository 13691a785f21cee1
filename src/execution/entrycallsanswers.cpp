// The part of EntryCalls that handles the answers to attempts.

#include "common/log.h"
#include "execution/callanswer.h"
#include "execution/callrequest.h"
#include "execution/entrycalls.h"

#include <utility>

namespace lacewingwharf {

namespace {

constexpr Log kLog("calls");

} // namespace

void
EntryCalls::RecordObservation(const EntryCall& aCall,
                              CallEnd aEnd,
                              const wire::CallAnswer& aAnswer)
{
  const Observation observation =
    ObservationOf(aCall, aEnd, aAnswer, this->clock.PreciseNow());
  this->chooser.RecordAttemptEnd(KeyOfEndpoint(aCall.attempt.endpoint),
                                 observation);
  if (this->rollouts != nullptr) {
    this->RecordForRollout(aCall, aEnd, aAnswer);
  }
  if (this->hedging.IsEnabled()) {
    this->RecordForHedging(aCall, aEnd, aAnswer);
  }
}

void
EntryCalls::HandleAnswer(wire::CallAnswer aAnswer)
{
  const EntryCallPtr call = this->openCalls.TakeAttempt(aAnswer.callId);
  if (!call) {
    kLog.Decision("late-answer-dropped", "call={}", aAnswer.callId);
    return;
  }
  if (call->otherAttempt && !call->hedge.attemptId.empty()) {
    this->HandleHedgedAnswer(call, std::move(aAnswer));
    return;
  }
  if (call->otherAttempt && call->otherAttempt->id == aAnswer.callId) {
    this->HandleOtherAnswer(call, std::move(aAnswer));
    return;
  }
  switch (aAnswer.outcome) {
    case wire::CallOutcome::DONE:
      this->HandleDone(call, std::move(aAnswer));
      return;
    case wire::CallOutcome::NOT_RUN:
      this->HandleNotRun(call, aAnswer);
      return;
    default:
      if (aAnswer.serverLost) {
        // Counts the loss at once: gossip is too slow for a caller that
        // immediately sends the request again.
        this->hooks.serverLost(call->digest, call->attempt.endpoint.host);
      }
      this->RecordObservation(
        *call, aAnswer.serverLost ? CallEnd::Lost : CallEnd::Failed, aAnswer);
      this->HandleUnknown(call, aAnswer.reason);
  }
}

void
EntryCalls::HandleDone(const EntryCallPtr& aCall, wire::CallAnswer aAnswer)
{
  if (BodyHash(aAnswer.body) != aAnswer.bodyHash) {
    this->RecordObservation(*aCall, CallEnd::Failed, aAnswer);
    this->HandleUnknown(aCall, "damaged-answer");
    return;
  }
  constexpr int kServerError = 500;
  constexpr int kUnavailable = 503;
  const bool isFailure = aAnswer.status >= kServerError;
  this->RecordObservation(
    *aCall, isFailure ? CallEnd::Failed : CallEnd::Succeeded, aAnswer);
  if (aAnswer.status == kUnavailable && aCall->isIdempotent &&
      this->MayRetry(*aCall, false)) {
    // The backend server received the request, whether or not it ran it.
    aCall->mayHaveRun = true;
    this->StartAttempt(aCall);
    return;
  }
  if (isFailure && this->RetryFailure(aCall, aAnswer)) {
    return;
  }
  if (!isFailure) {
    this->retryBudget.RecordSuccess(aCall->service);
  }
  const Ending ending{ Outcome::Done, aAnswer.status, "answered", {}, false };
  this->End(
    aCall, DoneAnswer(std::move(aAnswer), this->config.dialect), ending);
}

/**
 * Retries an idempotent call after a server error, if that is allowed, or waits
 * for its other attempt. Keeps the error answer, which the caller gets if no
 * later attempt is answered.
 */
bool
EntryCalls::RetryFailure(const EntryCallPtr& aCall, wire::CallAnswer& aAnswer)
{
  if (!this->config.retriesServerErrors || !aCall->isIdempotent) {
    return false;
  }
  const bool mayRetry = this->MayRetry(*aCall, false);
  if (!mayRetry && !aCall->otherAttempt) {
    return false;
  }
  aCall->mayHaveRun = true;
  aCall->failure = std::move(aAnswer);
  if (mayRetry) {
    this->StartAttempt(aCall);
  } else if (!this->ReturnToOtherAttempt(aCall)) {
    this->DeliverFailure(aCall);
  }
  return true;
}

void
EntryCalls::DeliverFailure(const EntryCallPtr& aCall)
{
  wire::CallAnswer answer = std::move(*aCall->failure);
  const Ending ending{ Outcome::Done, answer.status, "answered", {}, false };
  this->End(aCall, DoneAnswer(std::move(answer), this->config.dialect), ending);
}

void
EntryCalls::HandleNotRun(const EntryCallPtr& aCall,
                         const wire::CallAnswer& aAnswer)
{
  if (aCall->stage == CallStage::Querying && this->queries.IsOver(*aCall)) {
    // After a pause, this daemon may read the answer late: the destination may
    // have dropped its record of the call before it answered.
    this->RecordObservation(*aCall, CallEnd::Lost, {});
    this->HandleUnknown(aCall, "session-lost");
    return;
  }
  const Refusal refusal = RefusalOf(aAnswer);
  if (!ReachedServer(refusal.reason)) {
    --aCall->deliveries;
  }
  this->RecordObservation(*aCall, CallEndOf(refusal.reason), aAnswer);
  this->limitMemory.RecordRefusal(*aCall, refusal);
  if (IsRetryable(refusal.reason) &&
      this->MayRetry(*aCall, this->IsFreeRetry(refusal.reason))) {
    aCall->lastRefusal = refusal;
    this->StartAttempt(aCall);
    return;
  }
  this->Refuse(aCall, refusal);
}

void
EntryCalls::HandleUnknown(const EntryCallPtr& aCall, const std::string& aReason)
{
  aCall->mayHaveRun = true;
  if (!aCall->hedge.attemptId.empty() && this->ReturnToOtherAttempt(aCall)) {
    return;
  }
  const bool mayRunAgain =
    aCall->isIdempotent && !this->hooks.hasLostServer(aCall->digest);
  if (mayRunAgain && this->MayRetry(*aCall, false)) {
    this->StartAttempt(aCall);
    return;
  }
  if (this->ReturnToOtherAttempt(aCall)) {
    return;
  }
  if (aCall->failure) {
    this->DeliverFailure(aCall);
    return;
  }
  const Ending ending = UnknownEnding(aReason, this->Remaining(*aCall) <= 0);
  this->End(aCall, MakeAnswer(ending, this->config.dialect), ending);
}

bool
EntryCalls::IsFreeRetry(RefusalReason aReason) const
{
  const bool isCapacityRefusal =
    IsCapacityRefusal(aReason) || aReason == RefusalReason::NoEndpoint;
  return IsFreeToRetry(aReason) ||
         (this->config.retriesCapacityRefusals && isCapacityRefusal);
}

bool
EntryCalls::MayRetry(EntryCall& aCall, bool aIsFree)
{
  if (aCall.hasCallerLeft || this->Remaining(aCall) <= 0 ||
      aCall.attempts >= kMaxCallAttempts) {
    return false;
  }
  if (aIsFree) {
    return true;
  }
  return aCall.deliveries <= aCall.entry->limits.retries &&
         this->retryBudget.TryTakeRetry(aCall.service);
}

} // namespace lacewingwharf
