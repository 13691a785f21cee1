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

// The destination enforces the deadline as well, and its answer shows whether
// the call ran, so the entry daemon waits slightly longer for that answer.
constexpr Millis kDeadlineGrace = 150;

// Retry-After of refusals that give no time: about the duration of one call,
// after which a slot is free.
constexpr Millis kDefaultRetryAfter = 100;

} // namespace

EntryCalls::EntryCalls(EntryCallsConfig aConfig,
                       Clock aClock,
                       Random aRandom,
                       EntryCallsHooks aHooks)
  : config(std::move(aConfig))
  , clock(aClock)
  , hooks(std::move(aHooks))
  , chooser(aClock, aRandom)
  , splits(aRandom)
  , queries(aClock,
            this->config.queryWait,
            [this](const EndpointInfo& aTo, wire::Envelope aEnvelope) {
              return this->SendTo(aTo, std::move(aEnvelope));
            })
  , limitMemory(aClock)
  , retryBudget(aClock, this->config.retryBudget)
  , hedging(this->config.hedging, aClock, std::move(aRandom))
  , outgoingLink(this->config.requestBytesPerMilli)
  , teamKeys(std::move(aClock), this->config.rolloutTime)
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
  if (this->view) {
    this->LeaveSuspectEndpoints();
  }
}

void
EntryCalls::Begin(RequestId aRequest, HttpRequest aHttp)
{
  const EntryCallPtr call = this->CreateCall(aRequest, std::move(aHttp));
  if (this->PassesChecks(call)) {
    this->Admit(call);
  }
}

/** Starts a call that its team's cap allows. */
void
EntryCalls::StartAdmitted(const EntryCallPtr& aCall)
{
  if (!aCall->keyHash) {
    this->StartAttempt(aCall);
    return;
  }
  aCall->stage = CallStage::Claiming;
  aCall->claimedAt = this->clock.Now();
  if (!this->hooks.claim(*aCall->keyHash, aCall->id)) {
    aCall->keyHash.reset();
    this->RefuseWithReason(aCall, RefusalReason::ClaimUnavailable);
  }
}

EntryCallPtr
EntryCalls::CreateCall(RequestId aRequest, HttpRequest aHttp)
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
  call->startedAt =
    this->clock.PreciseNow() - static_cast<double>(call->http.waited);
  call->deadlineAt = this->clock.Now();
  this->openCalls.Add(call);
  return call;
}

bool
EntryCalls::PassesChecks(const EntryCallPtr& aCall)
{
  if (this->isStopping) {
    this->RefuseWithReason(aCall, RefusalReason::ShuttingDown);
    return false;
  }
  const auto refusal = CheckRequest(
    *aCall, this->clock.Now(), this->config.dialect, this->teamKeys);
  if (refusal) {
    this->Refuse(aCall, *refusal);
    return false;
  }
  if (this->intakeEnd && aCall->deadlineAt > *this->intakeEnd) {
    this->RefuseWithReason(aCall, RefusalReason::ShuttingDown);
    return false;
  }
  aCall->service = this->splits.ChooseService(*aCall->entry);
  if (this->hooks.isQuarantined(aCall->digest)) {
    this->RefuseWithReason(aCall, RefusalReason::Quarantined);
    return false;
  }
  return true;
}

void
EntryCalls::HandleClaim(const std::string& aHolder,
                        wire::ClaimResult::type aResult)
{
  const EntryCallPtr call = this->openCalls.Find(aHolder);
  if (!call || call->stage != CallStage::Claiming) {
    return;
  }
  switch (aResult) {
    case wire::ClaimResult::GRANTED:
      if (call->hasCallerLeft) {
        this->RefuseWithReason(call, RefusalReason::CallerLeft);
        return;
      }
      this->StartAttempt(call);
      return;
    case wire::ClaimResult::DUPLICATE: {
      // The claim belongs to the other call, so this call must not settle it.
      call->keyHash.reset();
      const Ending ending = DuplicateEnding();
      this->End(call, MakeAnswer(ending, this->config.dialect), ending);
      return;
    }
    default:
      this->RefuseWithReason(call, RefusalReason::ClaimUnavailable);
  }
}

void
EntryCalls::StartAttempt(const EntryCallPtr& aCall)
{
  const auto choice = this->ChooseServer(*aCall);
  if (!choice) {
    this->Refuse(aCall, this->limitMemory.RefusalFor(*aCall));
    return;
  }
  if (const auto refusal = this->CheckOwnLink(*aCall, choice->endpoint)) {
    this->Refuse(aCall, *refusal);
    return;
  }
  this->StartAttemptAt(aCall, *choice);
}

void
EntryCalls::StartAttemptAt(const EntryCallPtr& aCall, const Choice& aChoice)
{
  aCall->stage = CallStage::Attempting;
  aCall->attempt.id = NextAttemptId(*aCall);
  ++aCall->attempts;
  aCall->attempt.endpoint = aChoice.endpoint;
  aCall->attempt.startedAt = this->clock.PreciseNow();
  aCall->attempt.isAnnounced = this->MustAnnounce(*aCall, aChoice.endpoint);
  aCall->attempt.grantedBytes = 0;
  aCall->attempt.sentBytes = 0;
  aCall->triedEndpoints.insert(KeyOfEndpoint(aChoice.endpoint));
  ++aCall->deliveries; // Undone when the request did not reach a server.
  kLog.Decision("server-chosen",
                "request={} call={} entry={} owner={} class={} version={} "
                "service={} host={} domain={} reason={} attempt={} left_ms={}",
                aCall->requestId,
                aCall->id,
                aCall->entry->name,
                aCall->entry->owner,
                kWorkClassNames.NameOf(ClassOf(*aCall)),
                aCall->snapshot->Version(),
                aCall->service,
                aChoice.endpoint.host,
                aChoice.endpoint.domain,
                kChoiceReasonNames.NameOf(aChoice.reason),
                aCall->attempts,
                this->Remaining(*aCall));
  this->openCalls.OpenAttempt(aCall);
  if (aCall->attempts == 1 && this->hedging.IsEnabled()) {
    this->hedging.RecordCall(aCall->service);
  }
  this->chooser.RecordAttemptStart(KeyOfEndpoint(aChoice.endpoint));
  if (this->rollouts != nullptr) {
    aCall->attempt.rolloutOrder =
      this->rollouts->RecordStart(aCall->service, aChoice.endpoint);
  }
  if (this->Dispatch(*aCall)) {
    return;
  }
  // Nothing was sent: the ring buffer to the peer thread is full.
  --aCall->deliveries;
  this->openCalls.CloseAttempt(aCall->attempt);
  this->RecordObservation(*aCall, CallEnd::Refused, {});
  this->RefuseWithReason(aCall, RefusalReason::Overload);
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
EntryCalls::HandleSessionLost(const PeerAddress& aRemote,
                              bool aWasConnected,
                              const std::vector<std::string>& aUnsent)
{
  std::ranges::for_each(
    aUnsent, [this](const std::string& aId) { this->HandleUnsent(aId); });
  if (!aWasConnected) {
    return;
  }
  std::ranges::for_each(this->openCalls.OtherAttemptsAt(aRemote),
                        [this](const EntryCallPtr& aCall) {
                          this->CloseOtherAttempt(*aCall, CallEnd::Lost);
                        });
  std::ranges::for_each(
    this->openCalls.AttemptsAt(aRemote),
    [this](const EntryCallPtr& aCall) { this->HandleLostAttempt(aCall); });
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
EntryCalls::HandleLostAttempt(const EntryCallPtr& aCall)
{
  if (IsBodyIncomplete(*aCall)) {
    this->GiveUpAnnounced(*aCall);
    return;
  }
  if (aCall->isIdempotent || !this->queries.MayQuery(*aCall)) {
    this->openCalls.CloseAttempt(aCall->attempt);
    this->RecordObservation(*aCall, CallEnd::Lost, {});
    this->HandleUnknown(aCall, "session-lost");
    return;
  }
  this->queries.Begin(*aCall);
}

void
EntryCalls::CallerLeft(RequestId aRequest)
{
  const EntryCallPtr call = this->openCalls.FindRequest(aRequest);
  if (!call) {
    return;
  }
  call->hasCallerLeft = true;
  kLog.Decision("caller-left", "request={} call={}", call->requestId, call->id);
  if (call->stage == CallStage::AwaitingToken) {
    this->LeaveAdmission(call);
    return;
  }
  if (call->otherAttempt) {
    this->CancelOtherAttempt(*call);
  }
  if (this->openCalls.HasOpenAttempt(*call)) {
    this->queries.Cancel(call->attempt);
  }
}

void
EntryCalls::Tick()
{
  std::ranges::for_each(
    this->openCalls.All(),
    [this](const EntryCallPtr& aCall) { this->CheckTimeLimits(aCall); });
  this->SendParts();
  this->StartSecondAttempts();
}

void
EntryCalls::CheckTimeLimits(const EntryCallPtr& aCall)
{
  if (aCall->stage == CallStage::AwaitingToken) {
    return; // Bounded by the wait for a token.
  }
  const Millis now = this->clock.Now();
  if (aCall->stage == CallStage::Claiming) {
    const Millis claimLimit = std::min(
      this->EndOf(*aCall), aCall->claimedAt + 2 * this->config.claimWait);
    if (now >= claimLimit) {
      this->RefuseWithReason(aCall, RefusalReason::ClaimUnavailable);
    }
    return;
  }
  const bool isQuerying = aCall->stage == CallStage::Querying;
  const bool hasEnded = now >= this->EndOf(*aCall) + kDeadlineGrace;
  const bool isStopped = this->callsEnd && hasEnded;
  const bool isOver =
    isQuerying ? this->queries.IsOver(*aCall) || isStopped : hasEnded;
  if (!isOver) {
    if (isQuerying) {
      this->queries.Repeat(*aCall);
    }
    return;
  }
  if (IsBodyIncomplete(*aCall)) {
    this->EndAnnounced(aCall);
    return;
  }
  this->openCalls.CloseAttempt(aCall->attempt);
  this->RecordObservation(*aCall, CallEnd::Lost, {});
  if (!isQuerying) {
    this->queries.Cancel(aCall->attempt);
  }
  this->HandleUnknown(aCall, isQuerying ? "session-lost" : "no-answer");
}

void
EntryCalls::RefuseWithReason(const EntryCallPtr& aCall, RefusalReason aReason)
{
  Refusal refusal;
  refusal.reason = aReason;
  this->Refuse(aCall, refusal);
}

void
EntryCalls::Refuse(const EntryCallPtr& aCall, const Refusal& aRefusal)
{
  if (this->ReturnToOtherAttempt(aCall)) {
    return;
  }
  if (aCall->otherAttempt) {
    aCall->mayHaveRun = true;
  }
  if (aCall->failure) {
    this->DeliverFailure(aCall);
    return;
  }
  const bool isCapacityRefusal =
    IsCapacityRefusal(aRefusal.reason) ||
    aRefusal.reason == RefusalReason::ServerRefused;
  if (isCapacityRefusal && aCall->entry != nullptr && !aCall->mayHaveRun) {
    this->splits.RecordRefusal(*aCall->entry, aCall->service);
  }
  Refusal refusal = aRefusal;
  if (this->config.dialect.statusGuaranteesNotRun && refusal.retryAfter == 0 &&
      refusal.reason != RefusalReason::UnknownKey) { // Repeating is useless.
    refusal.retryAfter = kDefaultRetryAfter;
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
  const std::string team = aCall->team != nullptr ? aCall->team->owner : "-";
  kLog.Decision(
    "call-ended",
    "request={} call={} entry={} owner={} team={} version={} outcome={} "
    "status={} reason={} bound={} seen={} retry_after_ms={} attempts={} "
    "took_ms={:.1f}",
    aCall->requestId,
    aCall->id,
    entry,
    owner,
    team,
    aCall->snapshot ? aCall->snapshot->Version() : 0,
    kOutcomeNames.NameOf(aEnding.outcome),
    aEnding.status,
    aEnding.reason,
    aEnding.refusal.bound,
    aEnding.refusal.seen,
    aEnding.refusal.retryAfter,
    aCall->attempts,
    this->clock.PreciseNow() - aCall->startedAt);
  if (!aCall->hedge.attemptId.empty()) {
    this->RecordHedgeEnd(*aCall, aEnding);
  }
  if (aCall->otherAttempt) {
    this->CancelOtherAttempt(*aCall);
  }
  if (aCall->keyHash) {
    this->hooks.settleClaim(*aCall->keyHash, aCall->id, aEnding.outcome);
  }
  if (this->config.dialect.addsOwnHeaders) {
    AddCallHeaders(*aCall, aAnswer);
  }
  this->ReturnUnusedToken(*aCall, aEnding);
  this->hooks.ended(*aCall, aEnding);
  this->hooks.answer(aCall->request, std::move(aAnswer));
  this->openCalls.Remove(*aCall);
}

} // namespace lacewingwharf
