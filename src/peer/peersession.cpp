#include "peer/peersession.h"

#include "common/log.h"
#include "peer/socketaddress.h"
#include "peer_constants.h"

#include <ace/OS_NS_errno.h>
#include <ace/Reactor.h>
#include <ace/SOCK_Connector.h>

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <array>
#include <cstring>

namespace lacewingwharf {

namespace {

constexpr Log kLog("peer");

constexpr std::size_t kMaxSendBuffers = 64;

// The handler returns to the reactor after this many reads, so that other
// sessions are served.
constexpr int kMaxReadsPerEvent = 4;

void
SetNoDelay(ACE_SOCK_Stream& aStream)
{
  int enabled = 1;
  aStream.set_option(IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
}

std::string
ErrorText(int aError)
{
  return std::strerror(aError);
}

} // namespace

PeerSession::PeerSession(PeerSessionContext& aContext,
                         SessionId aId,
                         PeerAddress aRemote)
  : context(aContext)
  , id(aId)
  , remote(std::move(aRemote))
  , framer(kMaxHelloBytes)
  , startedAt(aContext.clock.Now())
  , lastSent(startedAt)
  , lastReceived(startedAt)
{
}

PeerSession::~PeerSession()
{
  this->stream.close();
}

PeerSession::Ptr
PeerSession::Dial(PeerSessionContext& aContext,
                  SessionId aId,
                  const PeerAddress& aRemote,
                  wire::SessionKind::type aKind)
{
  const auto remote =
    SocketAddressOf(aContext.config.TransportAddressOf(aRemote));
  auto local = SocketAddressOf(aContext.config.listen);
  if (!remote || !local) {
    kLog.Warning("cannot dial {}: the address is not numeric", aRemote.address);
    return nullptr;
  }
  const Ptr session(new PeerSession(aContext, aId, aRemote));
  session->isDialled = true;
  session->wasConnected = false;
  session->kind = aKind;
  session->state = State::Connecting;
  // Peers identify hosts by address, so the session connects from the listen
  // address.
  local->set_port_number(0);
  ACE_SOCK_Connector connector;
  const ACE_Time_Value noWait = ACE_Time_Value::zero;
  const int result =
    connector.connect(session->stream, *remote, &noWait, *local);
  if (result != 0 && ACE_OS::last_error() != EWOULDBLOCK) {
    kLog.Info("cannot dial {}:{}: {}",
              aRemote.address,
              aRemote.port,
              ErrorText(ACE_OS::last_error()));
    return nullptr;
  }
  session->stream.enable(ACE_NONBLOCK);
  session->SendHello();
  return session->Register(ACE_Event_Handler::CONNECT_MASK) ? session : nullptr;
}

PeerSession::Ptr
PeerSession::Accept(PeerSessionContext& aContext,
                    SessionId aId,
                    const ACE_SOCK_Stream& aStream,
                    const PeerAddress& aRemote)
{
  const Ptr session(new PeerSession(aContext, aId, aRemote));
  session->stream.set_handle(aStream.get_handle());
  session->stream.enable(ACE_NONBLOCK);
  SetNoDelay(session->stream);
  return session->Register(ACE_Event_Handler::READ_MASK) ? session : nullptr;
}

bool
PeerSession::Register(ACE_Reactor_Mask aMask)
{
  if (this->context.reactor.register_handler(this, aMask) != 0) {
    kLog.Error("cannot register a session with the reactor: {}",
               ErrorText(ACE_OS::last_error()));
    return false;
  }
  this->selfReference = this->shared_from_this();
  return true;
}

ACE_HANDLE
PeerSession::get_handle() const
{
  return this->stream.get_handle();
}

int
PeerSession::handle_input(ACE_HANDLE /*aHandle*/)
{
  const Ptr keepAlive = this->shared_from_this();
  if (this->state == State::Connecting) {
    this->FinishConnect();
  }
  for (int i = 0; i < kMaxReadsPerEvent && this->ReadOnce(); ++i) {
  }
  return 0;
}

int
PeerSession::handle_output(ACE_HANDLE /*aHandle*/)
{
  const Ptr keepAlive = this->shared_from_this();
  if (this->state == State::Connecting) {
    this->FinishConnect();
  }
  this->Flush();
  return 0;
}

int
PeerSession::handle_close(ACE_HANDLE /*aHandle*/, ACE_Reactor_Mask /*aMask*/)
{
  const Ptr keepAlive = this->shared_from_this();
  this->Close("closed by the reactor");
  return 0;
}

void
PeerSession::FinishConnect()
{
  int error = 0;
  int size = sizeof(error);
  this->stream.get_option(SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0) {
    this->Close("cannot connect: " + ErrorText(error));
    return;
  }
  if (this->IsConnectedToItself()) {
    this->Close("cannot connect: no listener at the address");
    return;
  }
  SetNoDelay(this->stream);
  this->wasConnected = true;
  this->state = State::WaitingForHello;
  this->startedAt = this->context.clock.Now();
  this->lastReceived = this->startedAt;
  this->context.reactor.cancel_wakeup(this, ACE_Event_Handler::CONNECT_MASK);
  this->context.reactor.schedule_wakeup(this, ACE_Event_Handler::READ_MASK);
}

/**
 * When the dialled address is on this host, the kernel may choose the dialled
 * port as the source port. Without a listener, the socket then connects to
 * itself.
 */
bool
PeerSession::IsConnectedToItself() const
{
  ACE_INET_Addr local;
  ACE_INET_Addr other;
  return this->stream.get_local_addr(local) == 0 &&
         this->stream.get_remote_addr(other) == 0 && local == other;
}

bool
PeerSession::ReadOnce()
{
  if (this->state == State::Closed || this->state == State::Connecting) {
    return false;
  }
  auto& buffer = this->context.readBuffer;
  const ssize_t count =
    ::recv(this->get_handle(), buffer.data(), buffer.size(), MSG_DONTWAIT);
  if (count < 0) {
    if (errno != EAGAIN && errno != EINTR) {
      this->Close(ErrorText(errno));
    }
    return false;
  }
  if (count == 0) {
    this->Close("closed by the other daemon");
    return false;
  }
  const auto bytes = static_cast<std::size_t>(count);
  this->lastReceived = this->context.clock.Now();
  this->context.counters.AddReceived(this->kind, bytes);
  this->framer.Append({ buffer.data(), bytes });
  this->HandleFrames();
  return bytes == buffer.size();
}

void
PeerSession::Enqueue(std::string aFrame)
{
  if (this->state == State::Closed) {
    return;
  }
  if (this->queuedBytes + aFrame.size() > this->context.config.maxQueuedBytes) {
    ++this->context.counters.sendsRejected;
    this->Close("the outgoing queue is full");
    return;
  }
  this->queuedBytes += aFrame.size();
  this->outgoing.push_back(std::move(aFrame));
}

void
PeerSession::TrackRequest(const std::string& aCallId)
{
  if (this->state != State::Closed) {
    this->unansweredCalls.insert(aCallId);
  }
}

std::vector<std::string>
PeerSession::RequestsNotRun() const
{
  if (!this->hasReceivedShutdownNotice) {
    return {};
  }
  return { this->unansweredCalls.begin(), this->unansweredCalls.end() };
}

void
PeerSession::Flush()
{
  while (this->state != State::Closed && this->state != State::Connecting &&
         !this->outgoing.empty()) {
    std::array<iovec, kMaxSendBuffers> sendBuffers{};
    std::size_t count = 0;
    std::size_t skipped = this->sentBytesOfFront;
    for (auto& frame : this->outgoing) {
      if (count == sendBuffers.size()) {
        break;
      }
      sendBuffers[count++] = { frame.data() + skipped, frame.size() - skipped };
      skipped = 0;
    }
    msghdr message{};
    message.msg_iov = sendBuffers.data();
    message.msg_iovlen = count;
    const ssize_t sent =
      ::sendmsg(this->get_handle(), &message, MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent < 0 && errno != EAGAIN && errno != EINTR) {
      this->Close(ErrorText(errno));
      return;
    }
    if (sent < 0) {
      this->SetWriteInterest(true);
      return;
    }
    this->RemoveSent(static_cast<std::size_t>(sent));
  }
  if (this->outgoing.empty()) {
    this->SetWriteInterest(false);
  }
}

void
PeerSession::RemoveSent(std::size_t aBytes)
{
  this->context.counters.AddSent(this->kind, aBytes);
  this->lastSent = this->context.clock.Now();
  this->queuedBytes -= aBytes;
  this->sentBytesOfFront += aBytes;
  while (!this->outgoing.empty() &&
         this->sentBytesOfFront >= this->outgoing.front().size()) {
    this->sentBytesOfFront -= this->outgoing.front().size();
    this->outgoing.pop_front();
  }
}

void
PeerSession::SetWriteInterest(bool aIsInterested)
{
  if (this->hasWriteInterest == aIsInterested || this->state == State::Closed) {
    return;
  }
  this->hasWriteInterest = aIsInterested;
  if (aIsInterested) {
    this->context.reactor.schedule_wakeup(this, ACE_Event_Handler::WRITE_MASK);
  } else {
    this->context.reactor.cancel_wakeup(this, ACE_Event_Handler::WRITE_MASK);
  }
}

void
PeerSession::CheckTimeouts(Millis aNow)
{
  const PeerNetworkConfig& config = this->context.config;
  if (this->state == State::Connecting &&
      aNow - this->startedAt >= config.connectTimeout) {
    this->Close("connect timed out");
  } else if (this->state == State::WaitingForHello &&
             aNow - this->startedAt >= config.silenceTimeout) {
    this->Close("no Hello before the timeout");
  } else if (this->state == State::Open &&
             aNow - this->lastReceived >= config.silenceTimeout) {
    this->Close(
      fmt::format("nothing received for {} ms", aNow - this->lastReceived));
  }
}

void
PeerSession::Close(const std::string& aReason)
{
  if (this->state == State::Closed) {
    return;
  }
  kLog.Info("session {} with {}:{} closed: {}",
            this->id,
            this->remote.address,
            this->remote.port,
            aReason);
  const Ptr keepAlive = this->shared_from_this();
  this->state = State::Closed;
  this->context.reactor.remove_handler(
    this, ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
  this->stream.close();
  this->context.onClosed(*this);
  this->outgoing.clear();
  this->selfReference.reset();
}

} // namespace lacewingwharf
