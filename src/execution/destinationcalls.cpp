#include "execution/destinationcalls.h"

#include "common/log.h"
#include "execution/callrequest.h"
#include "execution/outcome.h"
#include "execution/serveranswer.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr Log kLog("slots");

// A process that crashes closes its connections some time before or after its
// listening socket, so a cut call is not answered until it is known whether its
// backend server was lost.
constexpr Millis kLossCheckTime = 50;

WorkClass
WorkClassOf(const wire::CallRequest& aRequest)
{
  const auto value = static_cast<WorkClass>(aRequest.workClass);
  return kWorkClassNames.NameOf(value) == "?" ? WorkClass::Batch : value;
}

/** The slots that the team of a refused call uses, and its share of them. */
std::string
StandingText(const Refusal& aRefusal)
{
  return aRefusal.team.empty()
           ? std::string()
           : fmt::format(" team={} team_slots={:.3f} team_share={:.3f}",
                         aRefusal.team,
                         aRefusal.teamSlots,
                         aRefusal.teamShare);
}

} // namespace

DestinationCalls::DestinationCalls(DestinationCallsConfig aConfig,
                                   Clock aClock,
                                   DestinationCallsHooks aHooks)
  : config(std::move(aConfig))
  , clock(aClock)
  , hooks(std::move(aHooks))
  , admission(this->config.host,
              std::move(aClock),
              { [this](const std::string& aId) { this->StartCall(aId); },
                [this](const std::string& aId, const Refusal& aRefusal) {
                  this->RefuseCall(aId, aRefusal);
                } })
  , answerPacer(this->config.answerBytesPerMilli)
  , requestPacer(this->config.requestBytesPerMilli)
{
}

DestinationCalls::~DestinationCalls() = default;

void
DestinationCalls::SetConfiguration(SnapshotPtr aSnapshot, EndpointViewPtr aView)
{
  this->snapshot = aSnapshot;
  this->admission.SetConfiguration(std::move(aSnapshot), std::move(aView));
}

void
DestinationCalls::HandleRequest(SessionId aOrigin, wire::CallRequest aRequest)
{
  const std::string id = aRequest.callId;
  if (this->calls.contains(id)) {
    kLog.Info("request dropped: call {} is already known or fenced", id);
    return;
  }
  if (this->isStopping) {
    this->refusedAt = this->clock.Now();
    this->hooks.answer(aOrigin, NotRunAnswer(id, RefusalReason::ShuttingDown));
    return;
  }
  const AcceptedEntry* const accepted =
    this->snapshot ? this->snapshot->Find(aRequest.entry) : nullptr;
  if (accepted == nullptr && !this->config.acceptsUnknownEntries) {
    this->hooks.answer(aOrigin, NotRunAnswer(id, RefusalReason::NoRoute));
    return;
  }
  if (aRequest.__isset.announcement &&
      (aRequest.announcement.bytes <= 0 ||
       aRequest.announcement.bytes > kMaxEntryBodyBytes)) {
    this->hooks.answer(aOrigin, NotRunAnswer(id, RefusalReason::BodyBytes));
    return;
  }
  const auto digest = static_cast<std::uint64_t>(aRequest.digest);
  if (this->hooks.isQuarantined(digest)) {
    this->hooks.answer(aOrigin, NotRunAnswer(id, RefusalReason::Quarantined));
    return;
  }
  Call& call =
    this->calls.emplace(id, this->MakeCall(aOrigin, std::move(aRequest)))
      .first->second;
  call.hasPacedAnswer = this->answerPacer.IsEnabled() && accepted != nullptr &&
                        accepted->entry.hasLargeAnswers;
  ++this->inFlight;
  this->requestBytes += call.heldBytes;
  AdmissionRequest admissionRequest = this->MakeAdmissionRequest(call);
  auto refusal = this->CheckMemory(call);
  if (!refusal) {
    refusal = this->CheckLinkForAnswer(call, admissionRequest);
  }
  if (!refusal && call.stage == Stage::Receiving) {
    refusal = this->CheckLinkForRequest(call);
  }
  if (refusal) {
    this->RefuseCall(id, *refusal);
    return;
  }
  if (call.hasPacedAnswer) {
    this->answerPacer.Reserve(id, call.request.entry);
  }
  if (call.stage == Stage::Receiving) {
    this->ReceiveBody(id, call);
    return;
  }
  this->admission.Offer(std::move(admissionRequest));
}

DestinationCalls::Call
DestinationCalls::MakeCall(SessionId aOrigin, wire::CallRequest aRequest) const
{
  Call call;
  call.origin = aOrigin;
  call.receivedAt = this->clock.PreciseNow();
  call.deadlineAt = this->clock.Now() + aRequest.remainingMillis;
  if (aRequest.targetMillis != 0) {
    call.targetAt = this->clock.Now() + aRequest.targetMillis;
  }
  call.team = this->TeamOf(aRequest);
  call.bodyBytes = aRequest.body.size();
  if (aRequest.__isset.announcement) {
    call.stage = Stage::Receiving;
    call.bodyBytes = static_cast<std::size_t>(aRequest.announcement.bytes);
    aRequest.port = aRequest.announcement.port;
  }
  call.heldBytes = aOrigin == 0 ? 0 : call.bodyBytes;
  call.request = std::move(aRequest);
  return call;
}

/**
 * The fields come from the request, because the entry daemon may have a newer
 * or older catalogue version than this one.
 */
AdmissionRequest
DestinationCalls::MakeAdmissionRequest(const Call& aCall) const
{
  AdmissionRequest request;
  request.callId = aCall.request.callId;
  request.entry = aCall.request.entry;
  request.owner = aCall.request.owner;
  request.team = aCall.team;
  request.workClass = WorkClassOf(aCall.request);
  request.service = aCall.request.serviceName;
  request.port = aCall.request.port;
  request.deadlineAt = aCall.deadlineAt;
  request.queueWait = aCall.request.queueMillis;
  request.targetAt = aCall.targetAt;
  return request;
}

/**
 * The team that the entry daemon has put into the headers. A name that the
 * catalogue does not have is ignored: the entry daemon may hold a version
 * without teams, in which the header is the caller's own.
 */
std::string
DestinationCalls::TeamOf(const wire::CallRequest& aRequest) const
{
  if (!this->snapshot || !this->snapshot->RequiresKeys()) {
    return {};
  }
  // A caller that sends the header in another spelling determines that of the
  // entry daemon's header, so names are compared without regard to case.
  const HeaderLess isLess;
  const std::string& name = this->config.dialect.teamHeader;
  const auto header =
    std::ranges::find_if(aRequest.headers, [&](const auto& aHeader) {
      return !isLess(aHeader.first, name) && !isLess(name, aHeader.first);
    });
  if (header == aRequest.headers.end()) {
    return {};
  }
  const bool isKnown =
    std::ranges::any_of(this->snapshot->Teams(), [&header](const Entry* aTeam) {
      return aTeam->owner == header->second;
    });
  return isKnown ? header->second : std::string();
}

void
DestinationCalls::StartCall(const std::string& aCallId)
{
  Call& call = this->calls.at(aCallId);
  call.stage = Stage::Running;
  call.startedAt = this->clock.PreciseNow();
  kLog.Decision("call-runs",
                "request={} call={} entry={} service={} port={} left_ms={}",
                this->RequestIdOf(call),
                aCallId,
                call.request.entry,
                call.request.serviceName,
                call.request.port,
                call.deadlineAt - this->clock.Now());
  if (this->hooks.submit(this->MakeExchange(call))) {
    return;
  }
  ExchangeResult result;
  result.id = aCallId;
  result.end = ExchangeEnd::NotConnected;
  result.detail = "the queue to the HTTP client is full";
  this->HandleExchange(std::move(result));
}

void
DestinationCalls::RefuseCall(const std::string& aCallId,
                             const Refusal& aRefusal)
{
  Call& call = this->calls.at(aCallId);
  kLog.Decision("call-refused",
                "request={} call={} entry={} owner={} reason={} bound={} "
                "seen={}{}",
                this->RequestIdOf(call),
                aCallId,
                call.request.entry,
                aRefusal.owner,
                kRefusalReasonNames.NameOf(aRefusal.reason),
                aRefusal.bound,
                aRefusal.seen,
                StandingText(aRefusal));
  if (!call.team.empty() && this->hooks.teamRefused) {
    this->hooks.teamRefused(call.team, aRefusal.reason);
  }
  wire::CallAnswer answer = NotRunAnswer(aCallId, aRefusal);
  this->AddLoad(call, answer);
  this->Finish(aCallId, call, std::move(answer));
}

HttpExchange
DestinationCalls::MakeExchange(Call& aCall) const
{
  wire::CallRequest& request = aCall.request;
  const Millis remaining = aCall.deadlineAt - this->clock.Now();
  HttpExchange exchange;
  exchange.id = request.callId;
  exchange.url = fmt::format(
    "http://{}:{}{}", this->config.address, request.port, request.target);
  exchange.request.method = request.method;
  exchange.request.target = request.target;
  exchange.request.headers =
    HttpHeaders(request.headers.begin(), request.headers.end());
  const CallDialect& dialect = this->config.dialect;
  exchange.request.headers[dialect.deadlineHeader] =
    fmt::format("{}", std::max<Millis>(remaining, 1));
  if (!dialect.serverIdHeader.empty()) {
    const auto server = this->serverIds.find(request.port);
    const bool isKnown =
      server != this->serverIds.end() && !server->second.empty();
    exchange.request.headers.erase(dialect.serverIdHeader);
    if (isKnown) {
      exchange.request.headers[dialect.serverIdHeader] = server->second;
    }
  }
  exchange.echoedHeader = dialect.requestIdHeader;
  exchange.unframedBody = dialect.unframedBody;
  // A call runs at most once here, so its body is not needed again.
  exchange.request.body = std::move(request.body);
  exchange.timeout = std::max<Millis>(remaining, 1);
  exchange.needsNewConnection =
    !request.idempotent ||
    this->refusedRequests.Contains(this->RequestIdOf(aCall));
  return exchange;
}

void
DestinationCalls::HandleExchange(ExchangeResult aResult)
{
  const auto found = this->calls.find(aResult.id);
  if (found == this->calls.end() || found->second.stage != Stage::Running) {
    return;
  }
  const int port = found->second.request.port;
  if (aResult.end == ExchangeEnd::Incomplete && this->hooks.isListening(port)) {
    const Millis checkUntil = this->clock.Now() + kLossCheckTime;
    this->cutExchanges.push_back({ std::move(aResult), checkUntil });
    return;
  }
  this->EndExchange(std::move(aResult));
}

void
DestinationCalls::CheckCutExchanges()
{
  const Millis now = this->clock.Now();
  auto checked = std::exchange(this->cutExchanges, {});
  std::ranges::for_each(checked, [this, now](CutExchange& aCut) {
    const auto call = this->calls.find(aCut.result.id);
    if (call == this->calls.end() || call->second.stage != Stage::Running) {
      return; // Cancelled in the meantime.
    }
    const int port = call->second.request.port;
    if (now < aCut.checkUntil && this->hooks.isListening(port)) {
      this->cutExchanges.push_back(std::move(aCut));
      return;
    }
    this->EndExchange(std::move(aCut.result));
  });
}

void
DestinationCalls::EndExchange(ExchangeResult aResult)
{
  const std::string id = aResult.id;
  Call& call = this->calls.at(id);
  const double serviceMillis = this->clock.PreciseNow() - call.startedAt;
  wire::CallAnswer answer = this->MakeCallAnswer(call, std::move(aResult));
  constexpr double kMicrosPerMilli = 1000;
  answer.serviceMicros =
    static_cast<std::int32_t>(serviceMillis * kMicrosPerMilli);
  if (!call.team.empty() && this->hooks.teamSlotUsed) {
    this->hooks.teamSlotUsed(call.team, serviceMillis);
  }
  this->AddLoad(call, answer);
  this->Finish(id, call, std::move(answer));
  this->admission.Finish(id, serviceMillis);
}

void
DestinationCalls::HandleCancel(const std::string& aCallId)
{
  const auto found = this->calls.find(aCallId);
  if (found == this->calls.end()) {
    return;
  }
  Call& call = found->second;
  if (call.stage == Stage::Running) {
    this->hooks.cancel(aCallId);
    return;
  }
  const bool isWaiting =
    call.stage == Stage::Receiving ||
    (call.stage == Stage::Waiting && this->admission.CancelWaiting(aCallId));
  if (isWaiting) {
    this->Finish(
      aCallId, call, NotRunAnswer(aCallId, RefusalReason::CallerLeft));
    return;
  }
  if (call.stage == Stage::Sending && call.request.idempotent) {
    this->answerPacer.Remove(aCallId);
    this->Deliver(
      aCallId, call, UnknownAnswer(aCallId, "cancelled-while-sending"));
  }
}

void
DestinationCalls::HandleQuery(SessionId aOrigin, const wire::CallQuery& aQuery)
{
  if (aQuery.incarnation != this->config.incarnation) {
    this->hooks.answer(aOrigin,
                       UnknownAnswer(aQuery.callId, "daemon-restarted"));
    return;
  }
  const auto found = this->calls.find(aQuery.callId);
  if (found == this->calls.end()) {
    Call fence;
    fence.stage = Stage::Fenced;
    this->calls.emplace(aQuery.callId, std::move(fence));
    this->fenceQueue.emplace_back(
      this->clock.Now() + this->config.fenceRetention, aQuery.callId);
    kLog.Info("call {} has not arrived and is now fenced", aQuery.callId);
    this->hooks.answer(aOrigin,
                       NotRunAnswer(aQuery.callId, RefusalReason::Fenced));
    return;
  }
  Call& call = found->second;
  if (call.stage == Stage::Finished) {
    this->hooks.answer(aOrigin, call.answer);
    return;
  }
  if (call.stage == Stage::Fenced) {
    this->hooks.answer(aOrigin,
                       NotRunAnswer(aQuery.callId, RefusalReason::Fenced));
    return;
  }
  if (call.stage == Stage::Receiving) {
    // The rest of the body was to come on the session that was lost. The call
    // ends here, so that a part that still arrives does not complete it.
    call.origin = aOrigin;
    this->Finish(aQuery.callId,
                 call,
                 NotRunAnswer(aQuery.callId, RefusalReason::NotConnected));
    return;
  }
  call.origin = aOrigin;
}

void
DestinationCalls::Tick()
{
  this->admission.Tick();
  this->RefuseLateBodies();
  this->SendGrants();
  this->SendPacedAnswers();
  this->CheckCutExchanges();
  this->RemoveExpired();
}

void
DestinationCalls::RemoveExpired()
{
  const Millis now = this->clock.Now();
  while (!this->finishedQueue.empty() &&
         this->finishedQueue.front().first <= now) {
    const std::string& id = this->finishedQueue.front().second;
    this->keptBytes -= this->calls.at(id).answer.body.size();
    if (!this->keptAnswers.empty() && this->keptAnswers.front() == id) {
      this->keptAnswers.pop_front();
    }
    this->calls.erase(id);
    this->finishedQueue.pop_front();
  }
  while (!this->fenceQueue.empty() && this->fenceQueue.front().first <= now) {
    this->calls.erase(this->fenceQueue.front().second);
    this->fenceQueue.pop_front();
  }
}

} // namespace lacewingwharf
