#include "peer/peernetwork.h"

#include "peer/codec.h"
#include "peer/peerthread.h"

namespace lacewingwharf {

/** Hides PeerThread and its ACE headers from users of PeerNetwork. */
class PeerNetwork::Impl : public PeerThread
{
public:
  using PeerThread::PeerThread;
};

// Messages are passed by value but only their encoded bytes are kept. Encoding
// runs on the calling thread, so that the peer thread only transfers bytes.
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
PeerNetwork::CloseSession(SessionId aSession)
{
  this->impl->Push({ PeerCommandKind::CloseSession, {}, aSession, {}, {}, {} });
}

// NOLINTEND(performance-unnecessary-value-param)

PeerCounters
PeerNetwork::Counters() const
{
  return this->impl->Counters();
}

} // namespace lacewingwharf
