#include "execution/entrycalls.h"

#include "common/hash.h"
#include "common/log.h"
#include "execution/callrequest.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr Log kLog("calls");

// The destination enforces the deadline as well; its answer says whether the
// call ran, so the entry daemon waits a little longer for it.
constexpr Millis kDeadlineGrace = 150;

constexpr Millis kQueryInterval = 250;

// A refusal that costs the destination nothing (draining, no connection) may
// be tried elsewhere this often without taking from the retry budget.
constexpr int kMaxAttempts = 5;

PeerAddress
AddressOfEndpoint(const EndpointInfo& aEndpoint)
{
  return { aEndpoint.address, aEndpoint.peerPort };
}

EndpointKey
KeyOf(const EndpointInfo& aEndpoint)
{
  return { aEndpoint.host, aEndpoint.port };
}

bool
IsFreeToRetry(RefusalReason aReason)
{
  return aReason == RefusalReason::Draining ||
         aReason == RefusalReason::NotConnected ||
         aReason == RefusalReason::Fenced ||
         aReason == RefusalReason::ShuttingDown;
}

bool
IsWorthRetry(RefusalReason aReason)
{
  return aReason != RefusalReason::DeadlinePassed &&
         aReason != RefusalReason::Quarantined &&
         aReason != RefusalReason::OwnerRate &&
         aReason != RefusalReason::EntryRate;
}

} // namespace

EntryCalls::EntryCalls(EntryCallsConfig aConfig,
                       Clock aClock,
                       Random aRandom,
                       EntryCallsHooks aHooks)
  : config(std::move(aConfig))
  , clock(aClock)
  , hooks(std::move(aHooks))
  , chooser(aClock, std::move(aRandom))
  , retryBudget(std::move(aClock))
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
  this->chooser.SetView(std::move(aView));
}

void
EntryCalls::StopIntake()
{
  this->isStopping = true;
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
    this->RefuseReason(call, RefusalReason::ClaimUnavailable, 0, 0);
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
  call->startedAt = this->clock.PreciseNow();
  call->deadlineAt = this->clock.Now();
  this->calls.emplace(call->id, call);
  this->requests.emplace(aRequest, call);
  return call;
}

bool
EntryCalls::PassesChecks(const EntryCallPtr& aCall)
{
  if (this->isStopping) {
    this->RefuseReason(aCall, RefusalReason::ShuttingDown, 0, 0);
    return false;
  }
  if (!aCall->snapshot) {
    this->RefuseReason(aCall, RefusalReason::NoConfiguration, 0, 0);
    return false;
  }
  const auto method = kHttpMethodNames.ValueOf(aCall->http.method);
  aCall->entry =
    method ? aCall->snapshot->MatchRoute(*method, aCall->http.path) : nullptr;
  if (aCall->entry == nullptr) {
    this->RefuseReason(aCall, RefusalReason::NoRoute, 0, 0);
    return false;
  }
  ReadRequest(*aCall, this->clock.Now());
  const auto bodyBytes = static_cast<std::int64_t>(aCall->http.body.size());
  const std::int64_t bodyLimit = aCall->entry->limits.bodyBytes;
  if (bodyLimit > 0 && bodyBytes > bodyLimit) {
    this->RefuseReason(aCall, RefusalReason::BodyBytes, bodyLimit, bodyBytes);
    return false;
  }
  if (aCall->depth >= kMaxDepth) {
    this->RefuseReason(
      aCall, RefusalReason::DepthExceeded, kMaxDepth, aCall->depth);
    return false;
  }
  if (this->Remaining(*aCall) <= 0) {
    this->RefuseReason(aCall, RefusalReason::DeadlinePassed, 0, 0);
    return false;
  }
  if (this->hooks.isQuarantined(aCall->digest)) {
    this->RefuseReason(aCall, RefusalReason::Quarantined, 0, 0);
    return false;
  }
  return true;
}

void
EntryCalls::HandleClaim(const std::string& aHolder,
                        wire::ClaimResult::type aResult)
{
  const auto found = this->calls.find(aHolder);
  if (found == this->calls.end() ||
      found->second->stage != CallStage::Claiming) {
    return;
  }
  const EntryCallPtr call = found->second;
  switch (aResult) {
    case wire::ClaimResult::GRANTED:
      if (call->hasCallerLeft) {
        this->RefuseReason(call, RefusalReason::CallerLeft, 0, 0);
        return;
      }
      this->StartAttempt(call);
      return;
    case wire::ClaimResult::DUPLICATE: {
      // The first call may have run, so this is not `not-run`. The claim
      // belongs to the other call and must not be settled from here.
      call->keyHash.reset();
      Ending ending{ Outcome::Unknown, 409, "duplicate-key", {}, false };
      this->End(call, MakeAnswer(ending), ending);
      return;
    }
    default:
      this->RefuseReason(call, RefusalReason::ClaimUnavailable, 0, 0);
  }
}

void
EntryCalls::StartAttempt(const EntryCallPtr& aCall)
{
  const auto choice = this->chooser.Choose(aCall->entry->service, aCall->tried);
  if (!choice) {
    this->RefuseReason(aCall, RefusalReason::NoEndpoint, 0, 0);
    return;
  }
  ++aCall->attempts;
  aCall->stage = CallStage::Attempting;
  aCall->attempt.id = fmt::format("{}.{}", aCall->id, aCall->attempts);
  aCall->attempt.endpoint = choice->endpoint;
  aCall->attempt.startedAt = this->clock.PreciseNow();
  aCall->tried.insert(KeyOf(choice->endpoint));
  kLog.Info("call {} entry={} owner={} chose {}:{} in {} ({}), attempt {}",
            aCall->id,
            aCall->entry->name,
            aCall->entry->owner,
            choice->endpoint.host,
            choice->endpoint.port,
            choice->endpoint.domain,
            kChoiceReasonNames.NameOf(choice->reason),
            aCall->attempts);
  this->attempts.emplace(aCall->attempt.id, aCall);
  this->chooser.Started(KeyOf(choice->endpoint));
  if (this->Dispatch(*aCall)) {
    return;
  }
  // Nothing was sent: the ring to the peer thread is full.
  this->attempts.erase(aCall->attempt.id);
  this->Observe(*aCall, CallEnd::Refused, {});
  this->RefuseReason(aCall, RefusalReason::Overload, 0, 0);
}

bool
EntryCalls::Dispatch(const EntryCall& aCall)
{
  wire::Envelope envelope;
  envelope.__set_callRequest(
    RequestMessage(aCall, this->config.host, this->Remaining(aCall)));
  const EndpointInfo& endpoint = aCall.attempt.endpoint;
  if (endpoint.host == this->config.host) {
    return this->hooks.sendLocal(std::move(envelope));
  }
  return this->hooks.send(AddressOfEndpoint(endpoint), std::move(envelope));
}

void
EntryCalls::Observe(const EntryCall& aCall,
                    CallEnd aEnd,
                    const wire::CallAnswer& aAnswer)
{
  Observation observation;
  observation.end = aEnd;
  observation.latencyMillis =
    this->clock.PreciseNow() - aCall.attempt.startedAt;
  if (aAnswer.slots > 0) {
    observation.running = aAnswer.running;
    observation.waiting = aAnswer.waiting;
    observation.slots = aAnswer.slots;
  }
  this->chooser.Finished(KeyOf(aCall.attempt.endpoint), observation);
}

void
EntryCalls::HandleAnswer(wire::CallAnswer aAnswer)
{
  const auto found = this->attempts.find(aAnswer.callId);
  if (found == this->attempts.end()) {
    kLog.Info("answer to {} came too late and was dropped", aAnswer.callId);
    return;
  }
  const EntryCallPtr call = found->second;
  this->attempts.erase(found);
  switch (aAnswer.outcome) {
    case wire::CallOutcome::DONE:
      this->HandleDone(call, std::move(aAnswer));
      return;
    case wire::CallOutcome::NOT_RUN:
      this->HandleNotRun(call, aAnswer);
      return;
    default:
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
    this->StartAttempt(aCall);
    return;
  }
  if (!isFailure) {
    this->retryBudget.CountSuccess(aCall->entry->service);
  }
  HttpAnswer answer;
  answer.status = aAnswer.status;
  const HttpHeaders headers(aAnswer.headers.begin(), aAnswer.headers.end());
  answer.headers = EndToEndHeaders(headers);
  answer.headers[kOutcomeHeader] = kOutcomeNames.NameOf(Outcome::Done);
  answer.body = std::move(aAnswer.body);
  const Ending ending{ Outcome::Done, aAnswer.status, "answered", {}, false };
  this->End(aCall, std::move(answer), ending);
}

void
EntryCalls::HandleNotRun(const EntryCallPtr& aCall,
                         const wire::CallAnswer& aAnswer)
{
  const auto reason = kRefusalReasonNames.ValueOf(aAnswer.reason)
                        .value_or(RefusalReason::Overload);
  const bool isLost = reason == RefusalReason::NotConnected;
  this->Observe(*aCall, isLost ? CallEnd::Lost : CallEnd::Refused, aAnswer);
  if (IsWorthRetry(reason) && this->MayRetry(*aCall, IsFreeToRetry(reason))) {
    this->StartAttempt(aCall);
    return;
  }
  Refusal refusal;
  refusal.reason = reason;
  refusal.owner = aAnswer.owner;
  refusal.bound = aAnswer.bound;
  refusal.seen = aAnswer.seen;
  refusal.retryAfter = aAnswer.retryAfterMillis;
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
  constexpr int kGatewayTimeout = 504;
  constexpr int kBadGateway = 502;
  const bool isLate = this->Remaining(*aCall) <= 0;
  const Ending ending{
    Outcome::Unknown, isLate ? kGatewayTimeout : kBadGateway, aReason, {}, false
  };
  this->End(aCall, MakeAnswer(ending), ending);
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
  return aCall.attempts <= aCall.entry->limits.retries &&
         this->retryBudget.TryRetry(aCall.entry->service);
}

void
EntryCalls::HandleSessionLost(const PeerAddress& aRemote, bool aNeverOpened)
{
  std::vector<EntryCallPtr> lost;
  std::ranges::for_each(this->calls, [&](const auto& aPair) {
    const EntryCallPtr& call = aPair.second;
    if (call->stage == CallStage::Attempting &&
        AddressOfEndpoint(call->attempt.endpoint) == aRemote &&
        this->attempts.contains(call->attempt.id)) {
      lost.push_back(call);
    }
  });
  std::ranges::for_each(lost, [this, aNeverOpened](const EntryCallPtr& aCall) {
    this->LoseAttempt(aCall, aNeverOpened);
  });
}

void
EntryCalls::LoseAttempt(const EntryCallPtr& aCall, bool aNeverOpened)
{
  if (aNeverOpened) {
    wire::CallAnswer answer;
    answer.callId = aCall->attempt.id;
    answer.outcome = wire::CallOutcome::NOT_RUN;
    answer.reason = kRefusalReasonNames.NameOf(RefusalReason::NotConnected);
    this->HandleAnswer(std::move(answer));
    return;
  }
  if (aCall->isIdempotent) {
    this->attempts.erase(aCall->attempt.id);
    this->Observe(*aCall, CallEnd::Lost, {});
    this->HandleUnknown(aCall, "session-lost");
    return;
  }
  kLog.Info("call {} lost its session to {}, asking for its fate",
            aCall->id,
            aCall->attempt.endpoint.host);
  aCall->stage = CallStage::Querying;
  aCall->queryUntil = this->clock.Now() + this->config.queryWait;
  this->SendQuery(*aCall);
}

void
EntryCalls::SendQuery(EntryCall& aCall)
{
  wire::CallQuery query;
  query.callId = aCall.attempt.id;
  query.incarnation = aCall.attempt.endpoint.incarnation;
  wire::Envelope envelope;
  envelope.__set_callQuery(query);
  aCall.nextQueryAt = this->clock.Now() + kQueryInterval;
  this->hooks.send(AddressOfEndpoint(aCall.attempt.endpoint),
                   std::move(envelope));
}

void
EntryCalls::SendCancel(const EntryCall& aCall)
{
  wire::CallCancel cancel;
  cancel.callId = aCall.attempt.id;
  wire::Envelope envelope;
  envelope.__set_callCancel(cancel);
  if (aCall.attempt.endpoint.host == this->config.host) {
    this->hooks.sendLocal(std::move(envelope));
    return;
  }
  this->hooks.send(AddressOfEndpoint(aCall.attempt.endpoint),
                   std::move(envelope));
}

void
EntryCalls::CallerLeft(RequestId aRequest)
{
  const auto found = this->requests.find(aRequest);
  if (found == this->requests.end()) {
    return;
  }
  const EntryCallPtr call = found->second;
  call->hasCallerLeft = true;
  kLog.Info("call {} was left by its caller", call->id);
  if (this->attempts.contains(call->attempt.id)) {
    this->SendCancel(*call);
  }
}

void
EntryCalls::Tick()
{
  std::vector<EntryCallPtr> open;
  open.reserve(this->calls.size());
  std::ranges::transform(this->calls,
                         std::back_inserter(open),
                         [](const auto& aPair) { return aPair.second; });
  std::ranges::for_each(
    open, [this](const EntryCallPtr& aCall) { this->CheckTime(aCall); });
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
      this->RefuseReason(aCall, RefusalReason::ClaimUnavailable, 0, 0);
    }
    return;
  }
  const bool isQuerying = aCall->stage == CallStage::Querying;
  const Millis limit =
    isQuerying ? aCall->queryUntil : aCall->deadlineAt + kDeadlineGrace;
  if (now < limit) {
    if (isQuerying && now >= aCall->nextQueryAt) {
      this->SendQuery(*aCall);
    }
    return;
  }
  this->attempts.erase(aCall->attempt.id);
  this->Observe(*aCall, CallEnd::Lost, {});
  if (!isQuerying) {
    this->SendCancel(*aCall);
  }
  this->HandleUnknown(aCall, isQuerying ? "session-lost" : "no-answer");
}

void
EntryCalls::RefuseReason(const EntryCallPtr& aCall,
                         RefusalReason aReason,
                         std::int64_t aBound,
                         std::int64_t aSeen)
{
  Refusal refusal;
  refusal.reason = aReason;
  refusal.bound = aBound;
  refusal.seen = aSeen;
  this->Refuse(aCall, refusal);
}

void
EntryCalls::Refuse(const EntryCallPtr& aCall, const Refusal& aRefusal)
{
  Ending ending;
  ending.outcome = aCall->mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
  ending.status = StatusOf(aRefusal.reason);
  ending.reason = kRefusalReasonNames.NameOf(aRefusal.reason);
  ending.isRefusal = true;
  ending.refusal = aRefusal;
  if (aCall->entry != nullptr) {
    ending.refusal.entry = aCall->entry->name;
    if (ending.refusal.owner.empty()) {
      ending.refusal.owner = aCall->entry->owner;
    }
  }
  this->End(aCall, MakeAnswer(ending), ending);
}

void
EntryCalls::End(const EntryCallPtr& aCall,
                HttpAnswer aAnswer,
                const Ending& aEnding)
{
  const std::string entry = aCall->entry != nullptr ? aCall->entry->name : "-";
  const std::string owner = aCall->entry != nullptr ? aCall->entry->owner : "-";
  kLog.Info("call {} entry={} owner={} ended {} status={} reason={} {}",
            aCall->id,
            entry,
            owner,
            kOutcomeNames.NameOf(aEnding.outcome),
            aEnding.status,
            aEnding.reason,
            aEnding.isRefusal ? DescribeLimit(aEnding.refusal) : "");
  if (aCall->keyHash) {
    this->hooks.settleClaim(*aCall->keyHash, aCall->id, aEnding.outcome);
  }
  if (aCall->entry != nullptr) {
    aAnswer.headers[kEntryHeader] = entry;
    aAnswer.headers[kOwnerHeader] = owner;
  }
  if (aCall->snapshot) {
    aAnswer.headers[kVersionHeader] =
      fmt::format("{}", aCall->snapshot->Version());
  }
  aAnswer.headers[kCallIdHeader] = aCall->id;
  this->hooks.ended(*aCall, aEnding);
  this->hooks.answer(aCall->request, std::move(aAnswer));
  this->requests.erase(aCall->request);
  this->calls.erase(aCall->id);
}

Millis
EntryCalls::Remaining(const EntryCall& aCall) const
{
  return aCall.deadlineAt - this->clock.Now();
}

} // namespace lacewingwharf
