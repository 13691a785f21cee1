// Encodes and handles the frames of a PeerSession.

#include "common/log.h"
#include "peer/peersession.h"
#include "peer_constants.h"

#include <fmt/format.h>

#include <utility>

namespace lacewingwharf {

namespace {

constexpr Log kLog("peer");

} // namespace

void
PeerSession::SendHello()
{
  wire::Envelope envelope;
  wire::Hello hello = this->context.config.self;
  hello.protocol = wire::g_peer_constants.PROTOCOL_VERSION;
  hello.kind = this->kind;
  envelope.__set_hello(hello);
  auto frame = EncodeFrame(envelope, kMaxHelloBytes);
  if (!frame) {
    kLog.Error("cannot send a Hello: it is too long");
    return;
  }
  this->Enqueue(std::move(frame).value());
}

void
PeerSession::HandleFrames()
{
  while (this->state != State::Closed) {
    const auto frame = this->framer.Next();
    if (!frame) {
      ++this->context.counters.framesRejected;
      this->Close("frame rejected: " + frame.error().detail);
      return;
    }
    if (!frame.value()) {
      return;
    }
    auto envelope = DecodeEnvelope(*frame.value());
    if (!envelope) {
      ++this->context.counters.framesRejected;
      this->Close("frame rejected: " + envelope.error().detail);
      return;
    }
    this->HandleEnvelope(std::move(envelope).value());
  }
}

void
PeerSession::HandleEnvelope(wire::Envelope aEnvelope)
{
  if (this->state == State::WaitingForHello) {
    if (!aEnvelope.__isset.hello) {
      ++this->context.counters.framesRejected;
      this->Close("the first frame is not a Hello");
      return;
    }
    this->HandleHello(std::move(aEnvelope.hello));
    return;
  }
  if (aEnvelope.__isset.hello) {
    ++this->context.counters.framesRejected;
    this->Close("a second Hello");
    return;
  }
  if (aEnvelope.__isset.farewell) {
    this->hasReceivedShutdownNotice = true;
    this->Close("the other daemon is shutting down");
    return;
  }
  if (aEnvelope.__isset.callAnswer) {
    this->unansweredCalls.erase(aEnvelope.callAnswer.callId);
  }
  if (!aEnvelope.__isset.heartbeat) {
    this->context.onMessage(*this, std::move(aEnvelope));
  }
}

void
PeerSession::HandleHello(wire::Hello aHello)
{
  if (aHello.protocol != wire::g_peer_constants.PROTOCOL_VERSION) {
    ++this->context.counters.framesRejected;
    if (!this->isDialled) {
      // Lets the other daemon log the protocol number of this one.
      this->SendHello();
      this->Flush();
    }
    this->Close(fmt::format("protocol {} instead of {}",
                            aHello.protocol,
                            wire::g_peer_constants.PROTOCOL_VERSION));
    return;
  }
  const bool isKnownKind = aHello.kind == wire::SessionKind::CONTROL ||
                           aHello.kind == wire::SessionKind::CALLS;
  if (!isKnownKind || (this->isDialled && aHello.kind != this->kind)) {
    ++this->context.counters.framesRejected;
    this->Close("the Hello has an unexpected session kind");
    return;
  }
  this->kind = aHello.kind;
  this->remoteHello = std::move(aHello);
  this->framer.SetLimit(this->context.config.maxFrameBytes);
  this->state = State::Open;
  if (!this->isDialled) {
    this->SendHello();
    this->Flush();
  }
  if (this->state == State::Open) {
    kLog.Debug("session {} with {} at {}:{} is open",
               this->id,
               this->remoteHello.host,
               this->remote.address,
               this->remote.port);
    this->context.onOpen(*this);
  }
}

void
PeerSession::EnqueueShutdownNotice()
{
  if (this->state != State::Open) {
    return;
  }
  wire::Envelope envelope;
  envelope.__set_farewell({});
  auto frame = EncodeFrame(envelope, this->context.config.maxFrameBytes);
  if (frame) {
    this->Enqueue(std::move(frame).value());
  }
}

void
PeerSession::SendHeartbeat(Millis aNow)
{
  const bool isDue =
    aNow - this->lastSent >= this->context.config.heartbeatInterval;
  if (this->state != State::Open || !isDue || !this->outgoing.empty()) {
    return;
  }
  wire::Envelope envelope;
  wire::Heartbeat heartbeat;
  heartbeat.sequence = ++this->heartbeatSequence;
  envelope.__set_heartbeat(heartbeat);
  auto frame = EncodeFrame(envelope, this->context.config.maxFrameBytes);
  if (frame) {
    this->Enqueue(std::move(frame).value());
    this->Flush();
  }
}

} // namespace lacewingwharf
