#include "relay.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace lacewingwharf {

namespace {

constexpr std::size_t kReadBytes = 65536;
constexpr std::size_t kMaxQueuedBytes = 1U << 20U;
constexpr double kDatagramIdleTimeoutMillis = 60000;
constexpr int kBacklog = 512;

int
OpenSocket(int aType)
{
  return socket(AF_INET, aType | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

const sockaddr*
AsSockaddr(const sockaddr_in& aAddress)
{
  return reinterpret_cast<const sockaddr*>(&aAddress); // NOLINT
}

bool
IsSameAddress(const sockaddr_in& aLeft, const sockaddr_in& aRight)
{
  return aLeft.sin_port == aRight.sin_port &&
         aLeft.sin_addr.s_addr == aRight.sin_addr.s_addr;
}

/** Returns false if the connection fails immediately. */
bool
StartConnect(int aSocket, const sockaddr_in& aTarget)
{
  return connect(aSocket, AsSockaddr(aTarget), sizeof(aTarget)) == 0 ||
         errno == EINPROGRESS;
}

bool
WouldBlock()
{
  return errno == EAGAIN || errno == EWOULDBLOCK || errno == ENOTCONN;
}

} // namespace

Relay::Relay(LinkState& aState, sockaddr_in aListen, sockaddr_in aTarget)
  : state(aState)
  , listenAddress(aListen)
  , target(aTarget)
  , clock(Clock::Steady())
{
}

bool
Relay::Open()
{
  const int on = 1;
  this->listenSocket = OpenSocket(SOCK_STREAM);
  this->datagramSocket = OpenSocket(SOCK_DGRAM);
  setsockopt(this->listenSocket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  constexpr socklen_t kSize = sizeof(sockaddr_in);
  return bind(this->listenSocket, AsSockaddr(this->listenAddress), kSize) ==
           0 &&
         bind(this->datagramSocket, AsSockaddr(this->listenAddress), kSize) ==
           0 &&
         listen(this->listenSocket, kBacklog) == 0;
}

void
Relay::PollOnce(Millis aTimeout)
{
  std::vector<pollfd> sockets;
  this->AddPollSockets(sockets);
  poll(sockets.data(), sockets.size(), static_cast<int>(aTimeout));
  this->Accept();
  this->ReadDatagrams();
  const bool isCut = this->state.IsCut();
  for (Flow& flow : this->flows) {
    if (!flow.isDatagram) {
      this->ReadChannel(flow, flow.forward);
    }
    this->ReadChannel(flow, flow.backward);
    this->SendChannel(flow, flow.forward);
    this->SendChannel(flow, flow.backward);
    flow.isBroken = flow.isBroken || isCut;
  }
  this->flows.remove_if([this](Flow& aFlow) {
    const bool isFinished = this->IsFinished(aFlow);
    if (isFinished) {
      Close(aFlow);
    }
    return isFinished;
  });
}

void
Relay::AddPollSockets(std::vector<pollfd>& aSockets) const
{
  aSockets.push_back({ this->listenSocket, POLLIN, 0 });
  aSockets.push_back({ this->datagramSocket, POLLIN, 0 });
  for (const Flow& flow : this->flows) {
    for (const Channel* channel : { &flow.forward, &flow.backward }) {
      if (!channel->isSourceClosed && channel->queuedBytes < kMaxQueuedBytes) {
        aSockets.push_back({ channel->from, POLLIN, 0 });
      }
    }
  }
}

void
Relay::Accept()
{
  while (true) {
    const int accepted = accept4(
      this->listenSocket, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted < 0) {
      return;
    }
    if (this->state.IsCut()) {
      close(accepted);
      continue;
    }
    Flow& flow = this->flows.emplace_back();
    flow.silenceCountAtStart = this->state.SilenceCount();
    flow.callerSocket = accepted;
    flow.targetSocket = OpenSocket(SOCK_STREAM);
    flow.isBroken = !StartConnect(flow.targetSocket, this->target);
    flow.forward = { LinkDirection::Forward, accepted, flow.targetSocket };
    flow.backward = { LinkDirection::Backward, flow.targetSocket, accepted };
  }
}

void
Relay::ReadDatagrams()
{
  std::string buffer(kReadBytes, '\0');
  while (true) {
    sockaddr_in caller{};
    socklen_t size = sizeof(caller);
    const ssize_t bytes =
      recvfrom(this->datagramSocket,
               buffer.data(),
               buffer.size(),
               0,
               reinterpret_cast<sockaddr*>(&caller), // NOLINT
               &size);
    if (bytes < 0) {
      return;
    }
    if (!this->state.IsCut()) {
      Flow* flow = this->FindOrAddFlow(caller);
      flow->lastUsedAt = this->clock.PreciseNow();
      this->Enqueue(*flow,
                    flow->forward,
                    buffer.substr(0, static_cast<std::size_t>(bytes)));
    }
  }
}

Relay::Flow*
Relay::FindOrAddFlow(const sockaddr_in& aCaller)
{
  const auto found =
    std::ranges::find_if(this->flows, [&aCaller](const Flow& aFlow) {
      return aFlow.isDatagram && IsSameAddress(aFlow.caller, aCaller);
    });
  if (found != this->flows.end()) {
    return &*found;
  }
  Flow& flow = this->flows.emplace_back();
  flow.isDatagram = true;
  // Silent mode ends for a caller that opens a new connection. A datagram flow
  // has no connection, so silent mode does not apply to it.
  flow.silenceCountAtStart = ~0ULL;
  flow.caller = aCaller;
  flow.targetSocket = OpenSocket(SOCK_DGRAM);
  flow.isBroken = !StartConnect(flow.targetSocket, this->target);
  flow.forward = { LinkDirection::Forward, -1, flow.targetSocket };
  flow.backward = { LinkDirection::Backward, flow.targetSocket, -1 };
  return &flow;
}

void
Relay::ReadChannel(Flow& aFlow, Channel& aChannel)
{
  std::array<char, kReadBytes> buffer{};
  while (!aChannel.isSourceClosed && aChannel.queuedBytes < kMaxQueuedBytes) {
    const ssize_t bytes = recv(aChannel.from, buffer.data(), buffer.size(), 0);
    if (bytes < 0) {
      // The error for a refused datagram does not break the flow.
      aFlow.isBroken = aFlow.isBroken || (!WouldBlock() && !aFlow.isDatagram);
      return;
    }
    if (bytes == 0 && !aFlow.isDatagram) {
      aChannel.isSourceClosed = true;
      return;
    }
    this->Enqueue(aFlow,
                  aChannel,
                  std::string(buffer.data(), static_cast<std::size_t>(bytes)));
  }
}

void
Relay::Enqueue(Flow& aFlow, Channel& aChannel, std::string aBytes)
{
  if (aFlow.silenceCountAtStart < this->state.SilenceCount() ||
      aChannel.queuedBytes >= kMaxQueuedBytes) {
    return;
  }
  const double departureTime = this->state.ComputeDepartureTime(
    aChannel.direction, aBytes.size(), this->clock.PreciseNow());
  aChannel.queuedBytes += aBytes.size();
  aChannel.chunks.push_back({ departureTime, std::move(aBytes) });
}

void
Relay::SendChannel(Flow& aFlow, Channel& aChannel)
{
  if (aFlow.silenceCountAtStart < this->state.SilenceCount()) {
    aChannel.chunks.clear();
    aChannel.queuedBytes = 0;
    return;
  }
  while (!aChannel.chunks.empty() &&
         aChannel.chunks.front().departureTime <= this->clock.PreciseNow()) {
    if (!this->SendChunk(aFlow, aChannel)) {
      return;
    }
  }
  if (aChannel.isSourceClosed && aChannel.chunks.empty() &&
      !aChannel.isShutDown) {
    shutdown(aChannel.to, SHUT_WR);
    aChannel.isShutDown = true;
  }
}

bool
Relay::SendChunk(Flow& aFlow, Channel& aChannel)
{
  std::string& bytes = aChannel.chunks.front().bytes;
  if (aFlow.isDatagram) {
    const bool isForward = aChannel.direction == LinkDirection::Forward;
    if (isForward) {
      send(aChannel.to, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    } else {
      sendto(this->datagramSocket,
             bytes.data(),
             bytes.size(),
             MSG_NOSIGNAL,
             AsSockaddr(aFlow.caller),
             sizeof(aFlow.caller));
    }
    aChannel.queuedBytes -= bytes.size();
    aChannel.chunks.pop_front();
    return true;
  }
  const ssize_t sent =
    send(aChannel.to, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  if (sent < 0) {
    aFlow.isBroken = aFlow.isBroken || !WouldBlock();
    return false;
  }
  aChannel.queuedBytes -= static_cast<std::size_t>(sent);
  bytes.erase(0, static_cast<std::size_t>(sent));
  if (bytes.empty()) {
    aChannel.chunks.pop_front();
  }
  return true;
}

bool
Relay::IsFinished(const Flow& aFlow) const
{
  if (aFlow.isDatagram) {
    return aFlow.isBroken || this->clock.PreciseNow() - aFlow.lastUsedAt >
                               kDatagramIdleTimeoutMillis;
  }
  return aFlow.isBroken ||
         (aFlow.forward.isShutDown && aFlow.backward.isShutDown) ||
         (aFlow.silenceCountAtStart < this->state.SilenceCount() &&
          aFlow.forward.isSourceClosed);
}

void
Relay::Close(Flow& aFlow)
{
  close(aFlow.targetSocket);
  if (aFlow.callerSocket >= 0) {
    close(aFlow.callerSocket);
  }
}

} // namespace lacewingwharf
