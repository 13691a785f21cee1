#include "execution/entrycalls.h"

#include "common/log.h"
#include "execution/callanswer.h"
#include "execution/callrequest.h"
#include "execution/limitmemory.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr Log kLog("calls");

// The destination enforces the deadline as well; its answer says whether the
// call ran, so the entry daemon waits a little longer for it.
constexpr Millis kDeadlineGrace = 150;

// A refusal that costs the destination nothing (draining, no connection) may
// be tried elsewhere this often without taking from the retry budget.
constexpr int kMaxAttempts = 5;

// Told to callers where a refusal says nothing better: about the time of one
// call, after which a slot is free.
constexpr Millis kComeBackTime = 100;

EndpointKey
KeyOf(const EndpointInfo& aEndpoint)
{
  return { aEndpoint.host, aEndpoint.port };
}

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

EntryCalls::EntryCalls(EntryCallsConfig aConfig,
                       Clock aClock,
                       Random aRandom,
                       EntryCallsHooks aHooks)
  : config(std::move(aConfig))
  , clock(aClock)
  , hooks(std::move(aHooks))
  , chooser(aClock, aRandom)
  , splits(std::move(aRandom))
  , queries(aClock,
            this->config.queryWait,
            [this](const EndpointInfo& aTo, wire::Envelope aEnvelope) {
              return this->SendTo(aTo, std::move(aEnvelope));
            })
  , limitMemory(aClock)
  , retryBudget(std::move(aClock), this->config.retryBudget)
{
}

EntryCalls::~EntryCalls() = default;

void
EntryCalls::SetSnapshot(SnapshotPtr aSnapshot)
{
  this->snapshot = std::move(aSnapshot);
}

void
EntryCalls::SetView(EndpointViewPtr aView)
{
  this->view = aView;
  this->chooser.SetView(std::move(aView));
}

void
EntryCalls::Begin(RequestId aRequest, HttpRequest aHttp)
{
  const EntryCallPtr call = this->Admit(aRequest, std::move(aHttp));
  if (!this->PassesChecks(call)) {
    return;
  }
  if (!call->keyHash) {
    this->StartAttempt(call);
    return;
  }
  call->stage = CallStage::Claiming;
  if (!this->hooks.claim(*call->keyHash, call->id)) {
    call->keyHash.reset();
    this->RefuseReason(call, RefusalReason::ClaimUnavailable);
  }
}

EntryCallPtr
EntryCalls::Admit(RequestId aRequest, HttpRequest aHttp)
{
  auto call = std::make_shared<EntryCall>();
  call->id = fmt::format("{}-{:x}-{}",
                         this->config.host,
                         this->config.incarnation,
                         this->nextCall++);
  call->request = aRequest;
  call->http = std::move(aHttp);
  call->snapshot = this->snapshot;
  const auto requestId =
    call->http.headers.find(this->config.dialect.requestIdHeader);
  if (requestId != call->http.headers.end()) {
    call->requestId = requestId->second;
  }
  call->startedAt = this->clock.PreciseNow();
  call->deadlineAt = this->clock.Now();
  this->open.Add(call);
  return call;
}

bool
EntryCalls::PassesChecks(const EntryCallPtr& aCall)
{
  if (this->isStopping) {
    this->RefuseReason(aCall, RefusalReason::ShuttingDown);
    return false;
  }
  const auto refusal =
    CheckRequest(*aCall, this->clock.Now(), this->config.dialect);
  if (refusal) {
    this->Refuse(aCall, *refusal);
    return false;
  }
  if (this->intakeEnd && aCall->deadlineAt > *this->intakeEnd) {
    this->RefuseReason(aCall, RefusalReason::ShuttingDown);
    return false;
  }
  aCall->service = this->splits.Next(*aCall->entry);
  if (this->hooks.isQuarantined(aCall->digest)) {
    this->RefuseReason(aCall, RefusalReason::Quarantined);
    return false;
  }
  return true;
}

void
EntryCalls::HandleClaim(const std::string& aHolder,
                        wire::ClaimResult::type aResult)
{
  const EntryCallPtr call = this->open.Find(aHolder);
  if (!call || call->stage != CallStage::Claiming) {
    return;
  }
  switch (aResult) {
    case wire::ClaimResult::GRANTED:
      if (call->hasCallerLeft) {
        this->RefuseReason(call, RefusalReason::CallerLeft);
        return;
      }
      this->StartAttempt(call);
      return;
    case wire::ClaimResult::DUPLICATE: {
      // The claim belongs to the other call and is not settled from here.
      call->keyHash.reset();
      const Ending ending = DuplicateEnding();
      this->End(call, MakeAnswer(ending, this->config.dialect), ending);
      return;
    }
    default:
      this->RefuseReason(call, RefusalReason::ClaimUnavailable);
  }
}

void
EntryCalls::StartAttempt(const EntryCallPtr& aCall)
{
  const auto choice = this->chooser.Choose(
    aCall->service, this->limitMemory.LeftOut(*this->view, *aCall));
  if (!choice && aCall->failure) {
    this->DeliverFailure(aCall);
    return;
  }
  if (!choice) {
    this->Refuse(aCall, this->limitMemory.RefusalFor(*aCall));
    return;
  }
  ++aCall->attempts;
  aCall->stage = CallStage::Attempting;
  aCall->attempt.id = fmt::format("{}.{}", aCall->id, aCall->attempts);
  aCall->attempt.endpoint = choice->endpoint;
  aCall->attempt.startedAt = this->clock.PreciseNow();
  aCall->tried.insert(KeyOf(choice->endpoint));
  ++aCall->arrivals; // Taken back when the request did not reach a server.
  kLog.Decision("server-chosen",
                "request={} call={} entry={} owner={} class={} version={} "
                "service={} host={} domain={} reason={} attempt={} left_ms={}",
                aCall->requestId,
                aCall->id,
                aCall->entry->name,
                aCall->entry->owner,
                kWorkClassNames.NameOf(aCall->entry->workClass),
                aCall->snapshot->Version(),
                aCall->service,
                choice->endpoint.host,
                choice->endpoint.domain,
                kChoiceReasonNames.NameOf(choice->reason),
                aCall->attempts,
                this->Remaining(*aCall));
  this->open.OpenAttempt(aCall);
  this->chooser.Started(KeyOf(choice->endpoint));
  if (this->Dispatch(*aCall)) {
    return;
  }
  // Nothing was sent: the ring to the peer thread is full.
  --aCall->arrivals;
  this->open.CloseAttempt(*aCall);
  this->Observe(*aCall, CallEnd::Refused, {});
  this->RefuseReason(aCall, RefusalReason::Overload);
}

bool
EntryCalls::Dispatch(const EntryCall& aCall)
{
  wire::Envelope envelope;
  envelope.__set_callRequest(
    RequestMessage(aCall,
                   { this->config.host, this->config.service },
                   this->Remaining(aCall),
                   this->config.dialect));
  return this->SendTo(aCall.attempt.endpoint, std::move(envelope));
}

bool
EntryCalls::SendTo(const EndpointInfo& aEndpoint, wire::Envelope aEnvelope)
{
  if (aEndpoint.host == this->config.host) {
    return this->hooks.sendLocal(std::move(aEnvelope));
  }
  return this->hooks.send(AddressOfEndpoint(aEndpoint), std::move(aEnvelope));
}

void
EntryCalls::Observe(const EntryCall& aCall,
                    CallEnd aEnd,
                    const wire::CallAnswer& aAnswer)
{
  const Observation observation =
    ObservationOf(aCall, aEnd, aAnswer, this->clock.PreciseNow());
  this->chooser.Finished(KeyOf(aCall.attempt.endpoint), observation);
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
    this->retryBudget.CountSuccess(aCall->service);
  }
  const Ending ending{ Outcome::Done, aAnswer.status, "answered", {}, false };
  this->End(
    aCall, DoneAnswer(std::move(aAnswer), this->config.dialect), ending);
}

/** The failure is kept, so that the caller gets it if nothing better comes. */
bool
EntryCalls::RetryFailure(const EntryCallPtr& aCall, wire::CallAnswer& aAnswer)
{
  if (!this->config.retriesFailures || !aCall->isIdempotent ||
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
  const bool isForRoom = aReason == RefusalReason::QueueFull ||
                         aReason == RefusalReason::QueueWait ||
                         aReason == RefusalReason::Displaced ||
                         aReason == RefusalReason::NoEndpoint;
  return IsFreeToRetry(aReason) || (this->config.triesElsewhere && isForRoom);
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
         this->retryBudget.TryRetry(aCall.service);
}

void
EntryCalls::HandleSessionLost(const PeerAddress& aRemote,
                              bool aWasConnected,
                              const std::vector<std::string>& aUnsent)
{
  std::ranges::for_each(
    aUnsent, [this](const std::string& aId) { this->HandleUnsent(aId); });
  if (!aWasConnected) {
    return;
  }
  std::ranges::for_each(
    this->open.AttemptsAt(aRemote),
    [this](const EntryCallPtr& aCall) { this->LoseAttempt(aCall); });
}

void
EntryCalls::HandleUnsent(const std::string& aAttemptId)
{
  wire::CallAnswer answer;
  answer.callId = aAttemptId;
  answer.outcome = wire::CallOutcome::NOT_RUN;
  answer.reason = kRefusalReasonNames.NameOf(RefusalReason::NotConnected);
  this->HandleAnswer(std::move(answer));
}

void
EntryCalls::LoseAttempt(const EntryCallPtr& aCall)
{
  if (aCall->isIdempotent || !this->queries.MayAsk(*aCall)) {
    this->open.CloseAttempt(*aCall);
    this->Observe(*aCall, CallEnd::Lost, {});
    this->HandleUnknown(aCall, "session-lost");
    return;
  }
  this->queries.Begin(*aCall);
}

void
EntryCalls::CallerLeft(RequestId aRequest)
{
  const EntryCallPtr call = this->open.FindRequest(aRequest);
  if (!call) {
    return;
  }
  call->hasCallerLeft = true;
  kLog.Decision("caller-left", "request={} call={}", call->requestId, call->id);
  if (this->open.HasOpenAttempt(*call)) {
    this->queries.Cancel(*call);
  }
}

void
EntryCalls::Tick()
{
  std::ranges::for_each(this->open.All(), [this](const EntryCallPtr& aCall) {
    this->CheckTime(aCall);
  });
}

void
EntryCalls::CheckTime(const EntryCallPtr& aCall)
{
  const Millis now = this->clock.Now();
  if (aCall->stage == CallStage::Claiming) {
    const Millis claimLimit = std::min(aCall->deadlineAt,
                                       static_cast<Millis>(aCall->startedAt) +
                                         2 * this->config.claimWait);
    if (now >= claimLimit) {
      this->RefuseReason(aCall, RefusalReason::ClaimUnavailable);
    }
    return;
  }
  const bool isQuerying = aCall->stage == CallStage::Querying;
  const bool isOver = isQuerying ? this->queries.IsOver(*aCall)
                                 : now >= aCall->deadlineAt + kDeadlineGrace;
  if (!isOver) {
    if (isQuerying) {
      this->queries.Repeat(*aCall);
    }
    return;
  }
  this->open.CloseAttempt(*aCall);
  this->Observe(*aCall, CallEnd::Lost, {});
  if (!isQuerying) {
    this->queries.Cancel(*aCall);
  }
  this->HandleUnknown(aCall, isQuerying ? "session-lost" : "no-answer");
}

void
EntryCalls::RefuseReason(const EntryCallPtr& aCall, RefusalReason aReason)
{
  Refusal refusal;
  refusal.reason = aReason;
  this->Refuse(aCall, refusal);
}

void
EntryCalls::Refuse(const EntryCallPtr& aCall, const Refusal& aRefusal)
{
  if (aCall->failure) {
    this->DeliverFailure(aCall);
    return;
  }
  Refusal refusal = aRefusal;
  if (this->config.dialect.statusIsPromise && refusal.retryAfter == 0) {
    refusal.retryAfter = kComeBackTime;
  }
  const Ending ending = RefusalEnding(*aCall, refusal, this->config.dialect);
  this->End(aCall, MakeAnswer(ending, this->config.dialect), ending);
}

void
EntryCalls::End(const EntryCallPtr& aCall,
                HttpAnswer aAnswer,
                const Ending& aEnding)
{
  const std::string entry = aCall->entry != nullptr ? aCall->entry->name : "-";
  const std::string owner = aCall->entry != nullptr ? aCall->entry->owner : "-";
  kLog.Decision(
    "call-ended",
    "request={} call={} entry={} owner={} version={} outcome={} status={} "
    "reason={} bound={} seen={} retry_after_ms={} attempts={} took_ms={:.1f}",
    aCall->requestId,
    aCall->id,
    entry,
    owner,
    aCall->snapshot ? aCall->snapshot->Version() : 0,
    kOutcomeNames.NameOf(aEnding.outcome),
    aEnding.status,
    aEnding.reason,
    aEnding.refusal.bound,
    aEnding.refusal.seen,
    aEnding.refusal.retryAfter,
    aCall->attempts,
    this->clock.PreciseNow() - aCall->startedAt);
  if (aCall->keyHash) {
    this->hooks.settleClaim(*aCall->keyHash, aCall->id, aEnding.outcome);
  }
  if (this->config.dialect.addsOwnHeaders) {
    AddCallHeaders(*aCall, aAnswer);
  }
  this->hooks.ended(*aCall, aEnding);
  this->hooks.answer(aCall->request, std::move(aAnswer));
  this->open.Remove(*aCall);
}

} // namespace lacewingwharf
