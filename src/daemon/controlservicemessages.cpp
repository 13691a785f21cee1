// The part of ControlService that handles the messages of other daemons.

#include "daemon/controlservice.h"

#include <utility>

namespace lacewingwharf {

void
ControlService::HandlePeerEvent(PeerEvent aEvent)
{
  // If the event is dropped here, the next gossip round repeats its content.
  this->loop.Post([this, event = std::move(aEvent)] {
    if (event.kind == PeerEventKind::Datagram) {
      this->HandleDatagram(event);
    } else if (event.kind == PeerEventKind::Message) {
      this->HandleMessage(event);
    }
  });
}

void
ControlService::HandleDatagram(const PeerEvent& aEvent)
{
  if (aEvent.envelope.__isset.relayHeartbeat) {
    if (aEvent.envelope.relayHeartbeat.__isset.storeEra) {
      this->RecordPeerStoreEra(aEvent.envelope.relayHeartbeat.storeEra);
    }
    this->distributor.HandleRelayHeartbeat(aEvent.envelope.relayHeartbeat);
    return;
  }
  if (aEvent.envelope.__isset.rolloutReport ||
      aEvent.envelope.__isset.rolloutShare) {
    this->HandleRolloutMessage(aEvent.envelope);
    return;
  }
  this->membership.HandleDatagram(aEvent.remote, aEvent.envelope);
}

void
ControlService::HandleMessage(const PeerEvent& aEvent)
{
  const wire::Envelope& envelope = aEvent.envelope;
  const std::string& from = aEvent.hello.host;
  if (envelope.__isset.configPush) {
    this->distributor.HandlePush(from, envelope.configPush);
  } else if (envelope.__isset.configFetch) {
    this->distributor.HandleFetch(aEvent.session, from, envelope.configFetch);
  } else if (envelope.__isset.configAnswer) {
    this->distributor.HandleAnswer(from, envelope.configAnswer);
  } else if (envelope.__isset.claimRequest || envelope.__isset.claimAnswer) {
    this->HandleClaimMessage(aEvent);
  } else if (envelope.__isset.statusReport) {
    this->aggregator.Merge(envelope.statusReport);
  } else {
    this->membership.HandleControl(aEvent.session, from, envelope);
  }
}

void
ControlService::HandleClaimMessage(const PeerEvent& aEvent)
{
  if (aEvent.envelope.__isset.claimAnswer) {
    this->claimClient.HandleAnswer(aEvent.envelope.claimAnswer);
    return;
  }
  const SessionId session = aEvent.session;
  this->claimWriter.Handle(aEvent.envelope.claimRequest,
                           [this, session](const wire::ClaimAnswer& aAnswer) {
                             wire::Envelope envelope;
                             envelope.__set_claimAnswer(aAnswer);
                             this->hooks.reply(session, std::move(envelope));
                           });
}

} // namespace lacewingwharf
