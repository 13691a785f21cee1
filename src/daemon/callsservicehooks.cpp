#include "daemon/callsservice.h"

#include <ace/INET_Addr.h>
#include <ace/SOCK_Connector.h>
#include <ace/SOCK_Stream.h>
#include <ace/Time_Value.h>

#include <utility>

namespace lacewingwharf {

namespace {

/**
 * Returns false when connections to a port of this host are refused. A port
 * that does not answer in time counts as listening.
 */
bool
IsListening(const std::string& aAddress, int aPort)
{
  constexpr suseconds_t kConnectTimeoutMicros = 20000;
  ACE_SOCK_Stream stream;
  ACE_SOCK_Connector connector;
  const ACE_Time_Value timeout(0, kConnectTimeoutMicros);
  const ACE_INET_Addr remote(static_cast<u_short>(aPort), aAddress.c_str());
  const bool isConnected = connector.connect(stream, remote, &timeout) == 0;
  const bool isRefused = !isConnected && errno == ECONNREFUSED;
  stream.close();
  return !isRefused;
}

} // namespace

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
  return destinationHooks;
}

} // namespace lacewingwharf
