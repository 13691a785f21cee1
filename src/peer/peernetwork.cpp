#include "peer/peernetwork.h"

#include "peer/codec.h"
#include "peer/peerthread.h"

namespace lacewingwharf {

/** Encodes on the calling thread, so that the peer thread only moves bytes. */
class PeerNetwork::Impl : public PeerThread
{
public:
  using PeerThread::PeerThread;
};

// The interface takes messages by value; only their bytes go on.
// NOLINTBEGIN(performance-unnecessary-value-param)
PeerNetwork::PeerNetwork(PeerNetworkConfig aConfig, PeerHandlers aHandlers)
  : impl(std::make_unique<Impl>(std::move(aConfig), std::move(aHandlers)))
{
}

PeerNetwork::~PeerNetwork() = default;

bool
PeerNetwork::Start()
{
  return this->impl->Start();
}

void
PeerNetwork::Stop()
{
  this->impl->Stop();
}

bool
PeerNetwork::Send(const PeerAddress& aTo,
                  wire::SessionKind::type aKind,
                  wire::Envelope aEnvelope)
{
  PeerCommand command{ PeerCommandKind::Send, aTo, 0, aKind, {}, {} };
  if (aEnvelope.__isset.callRequest) {
    command.callId = aEnvelope.callRequest.callId;
  }
  return this->impl->PushEncoded(
    std::move(command),
    EncodeFrame(aEnvelope, this->impl->Config().maxFrameBytes));
}

bool
PeerNetwork::Reply(SessionId aSession, wire::Envelope aEnvelope)
{
  return this->impl->PushEncoded(
    { PeerCommandKind::Reply, {}, aSession, {}, {}, {} },
    EncodeFrame(aEnvelope, this->impl->Config().maxFrameBytes));
}

bool
PeerNetwork::SendDatagram(const PeerAddress& aTo, wire::Envelope aEnvelope)
{
  return this->impl->PushEncoded(
    { PeerCommandKind::Datagram, aTo, 0, {}, {}, {} },
    EncodeEnvelope(aEnvelope, kMaxDatagramBytes));
}

void
PeerNetwork::Drop(SessionId aSession)
{
  this->impl->Push({ PeerCommandKind::Drop, {}, aSession, {}, {}, {} });
}

// NOLINTEND(performance-unnecessary-value-param)

PeerCounters
PeerNetwork::Counters() const
{
  return this->impl->Counters();
}

} // namespace lacewingwharf
