#include "daemon/callsservice.h"

#include "daemon/serverprobe.h"
#include "execution/callrequest.h"

#include <utility>

namespace lacewingwharf {

EntryCallsHooks
CallsService::EntryHooks()
{
  EntryCallsHooks entryHooks;
  entryHooks.answer = [this](RequestId aRequest, HttpAnswer aAnswer) {
    this->server.Answer(aRequest, std::move(aAnswer));
  };
  entryHooks.send = this->hooks.send;
  // Posts the message instead of handling it here, because a refusal by this
  // daemon would re-enter the call that is being sent.
  entryHooks.sendLocal = [this](wire::Envelope aEnvelope) {
    return this->loop.Post([this, envelope = std::move(aEnvelope)]() mutable {
      this->HandleMessage(0, std::move(envelope));
    });
  };
  entryHooks.claim = this->hooks.claim;
  entryHooks.settleClaim = this->hooks.settleClaim;
  entryHooks.isQuarantined = [this](std::uint64_t aDigest) {
    return this->CheckQuarantine(aDigest) == QuarantineDecision::Refused;
  };
  entryHooks.hasLostServer = [this](std::uint64_t aDigest) {
    return this->CheckQuarantine(aDigest) != QuarantineDecision::Free;
  };
  entryHooks.serverLost = [this](std::uint64_t aDigest,
                                 const std::string& aHost) {
    this->quarantine.CountRemoteLoss(static_cast<std::int64_t>(aDigest), aHost);
  };
  entryHooks.ended = [this](const EntryCall& aCall, const Ending& aEnding) {
    this->RecordCallEnd(aCall, aEnding);
  };
  entryHooks.hedged = [this](const EntryCall& aCall,
                             HedgeEvent aEvent,
                             std::optional<WithheldReason> aReason) {
    this->RecordHedge(aCall.service, aEvent, aReason);
  };
  this->SetUsageHooks(entryHooks);
  return entryHooks;
}

DestinationCallsHooks
CallsService::DestinationHooks()
{
  DestinationCallsHooks destinationHooks;
  destinationHooks.answer = [this](SessionId aOrigin,
                                   wire::CallAnswer aAnswer) {
    this->AnswerOrigin(aOrigin, std::move(aAnswer));
  };
  destinationHooks.grant = [this](SessionId aOrigin,
                                  const wire::BodyGrant& aGrant) {
    wire::Envelope envelope;
    envelope.__set_bodyGrant(aGrant);
    return this->hooks.reply(aOrigin, std::move(envelope));
  };
  destinationHooks.submit = [this](HttpExchange aExchange) {
    return this->client.Submit(std::move(aExchange));
  };
  destinationHooks.cancel = [this](const std::string& aCallId) {
    this->client.Cancel(aCallId);
  };
  destinationHooks.isQuarantined = [this](std::uint64_t aDigest) {
    return this->CheckQuarantine(aDigest) == QuarantineDecision::Refused;
  };
  destinationHooks.serverLost = [this](std::uint64_t aDigest) {
    this->quarantine.CountLoss(static_cast<std::int64_t>(aDigest));
    this->crashReportsDueAt = 0;
  };
  const std::string address = this->settings.site.protocol == ProtocolKind::Own
                                ? this->settings.address
                                : this->settings.site.server.address;
  destinationHooks.isListening = [address](int aPort) {
    return IsListening(address, aPort);
  };
  destinationHooks.serverGone = this->hooks.serverGone;
  destinationHooks.teamSlotUsed = [this](const std::string& aTeam,
                                         double aMillis) {
    this->teamSlots.AddSlotTime(aTeam, aMillis);
  };
  destinationHooks.teamRefused = [this](const std::string& aTeam,
                                        RefusalReason aReason) {
    this->teamSlots.AddRefusal(aTeam, aReason);
  };
  return destinationHooks;
}

bool
CallsService::MayRunBeside(const HttpRequest& aRequest)
{
  SnapshotPtr current;
  {
    const std::lock_guard lock(this->routesMutex);
    current = this->routes;
  }
  return current && lacewingwharf::MayRunBeside(*current, aRequest);
}

} // namespace lacewingwharf
