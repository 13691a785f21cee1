// The part of EntryCalls that handles the answers to attempts.

#include "common/log.h"
#include "execution/callanswer.h"
#include "execution/callrequest.h"
#include "execution/entrycalls.h"

#include <utility>

namespace lacewingwharf {

namespace {

constexpr Log kLog("calls");

// Maximum number of attempts for a call. Retries after a refusal that costs the
// destination nothing (draining, no connection) take nothing from the retry
// budget, so they need a separate limit.
constexpr int kMaxAttempts = 5;

/** How the chooser counts an attempt that was refused. */
CallEnd
CallEndOf(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::NotConnected:
      return CallEnd::Lost;
    case RefusalReason::ServerRefused:
      return CallEnd::Failed; // The daemon had a slot; the server refused.
    default:
      return CallEnd::Refused;
  }
}

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
}

void
EntryCalls::HandleAnswer(wire::CallAnswer aAnswer)
{
  const EntryCallPtr call = this->openCalls.TakeAttempt(aAnswer.callId);
  if (!call) {
    kLog.Decision("late-answer-dropped", "call={}", aAnswer.callId);
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
 * Retries an idempotent call after a server error, if that is allowed. Keeps
 * the error answer, which the caller gets if no later attempt is answered.
 */
bool
EntryCalls::RetryFailure(const EntryCallPtr& aCall, wire::CallAnswer& aAnswer)
{
  if (!this->config.retriesServerErrors || !aCall->isIdempotent ||
      !this->MayRetry(*aCall, false)) {
    return false;
  }
  aCall->mayHaveRun = true;
  aCall->failure = std::move(aAnswer);
  this->StartAttempt(aCall);
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
  const bool mayRunAgain =
    aCall->isIdempotent && !this->hooks.hasLostServer(aCall->digest);
  if (mayRunAgain && this->MayRetry(*aCall, false)) {
    this->StartAttempt(aCall);
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
      aCall.attempts >= kMaxAttempts) {
    return false;
  }
  if (aIsFree) {
    return true;
  }
  return aCall.deliveries <= aCall.entry->limits.retries &&
         this->retryBudget.TryTakeRetry(aCall.service);
}

} // namespace lacewingwharf
