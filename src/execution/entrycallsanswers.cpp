// The part of EntryCalls that decides what follows the answer to an attempt.

#include "common/log.h"
#include "execution/callanswer.h"
#include "execution/callrequest.h"
#include "execution/entrycalls.h"

#include <utility>

namespace lacewingwharf {

namespace {

constexpr Log kLog("calls");

// A refusal that costs the destination nothing (draining, no connection) may
// be tried elsewhere this often without taking from the retry budget.
constexpr int kMaxAttempts = 5;

/** What a refusal tells of its server. */
CallEnd
EndOf(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::NotConnected:
      return CallEnd::Lost;
    case RefusalReason::ServerRefused:
      return CallEnd::Failed; // Its daemon had a slot for the call.
    default:
      return CallEnd::Refused;
  }
}

} // namespace

void
EntryCalls::Observe(const EntryCall& aCall,
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
  const EntryCallPtr call = this->open.TakeAttempt(aAnswer.callId);
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
        // Gossip is too slow for a caller that sends the request again at once.
        this->hooks.serverLost(call->digest, call->attempt.endpoint.host);
      }
      this->Observe(
        *call, aAnswer.serverLost ? CallEnd::Lost : CallEnd::Failed, aAnswer);
      this->HandleUnknown(call, aAnswer.reason);
  }
}

void
EntryCalls::HandleDone(const EntryCallPtr& aCall, wire::CallAnswer aAnswer)
{
  if (BodyHash(aAnswer.body) != aAnswer.bodyHash) {
    this->Observe(*aCall, CallEnd::Failed, aAnswer);
    this->HandleUnknown(aCall, "damaged-answer");
    return;
  }
  constexpr int kServerError = 500;
  constexpr int kShedding = 503;
  const bool isFailure = aAnswer.status >= kServerError;
  this->Observe(
    *aCall, isFailure ? CallEnd::Failed : CallEnd::Succeeded, aAnswer);
  if (aAnswer.status == kShedding && aCall->isIdempotent &&
      this->MayRetry(*aCall, false)) {
    // The backend server was handed the request, whatever it did with it.
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

/** The failure is kept, so that the caller gets it if nothing better comes. */
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
    // A daemon that was paused reads this late: the destination may have
    // forgotten the call before it answered.
    this->Observe(*aCall, CallEnd::Lost, {});
    this->HandleUnknown(aCall, "session-lost");
    return;
  }
  const Refusal refusal = RefusalOf(aAnswer);
  if (!HasArrived(refusal.reason)) {
    --aCall->arrivals;
  }
  this->Observe(*aCall, EndOf(refusal.reason), aAnswer);
  this->limitMemory.Note(*aCall, refusal);
  if (IsWorthRetry(refusal.reason) &&
      this->MayRetry(*aCall, this->IsFree(refusal.reason))) {
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
  const bool mayRepeat =
    aCall->isIdempotent && !this->hooks.hasLostServer(aCall->digest);
  if (mayRepeat && this->MayRetry(*aCall, false)) {
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
EntryCalls::IsFree(RefusalReason aReason) const
{
  const bool isElsewhere =
    IsCapacityRefusal(aReason) || aReason == RefusalReason::NoEndpoint;
  return IsFreeToRetry(aReason) ||
         (this->config.retriesCapacityRefusals && isElsewhere);
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
  return aCall.arrivals <= aCall.entry->limits.retries &&
         this->retryBudget.TryTakeRetry(aCall.service);
}

} // namespace lacewingwharf
