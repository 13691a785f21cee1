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
constexpr double kDatagramIdle = 60000;
constexpr int kBacklog = 512;

int
OpenSocket(int aType)
{
  return socket(AF_INET, aType | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

const sockaddr*
Generic(const sockaddr_in& aAddress)
{
  return reinterpret_cast<const sockaddr*>(&aAddress); // NOLINT
}

bool
IsSame(const sockaddr_in& aLeft, const sockaddr_in& aRight)
{
  return aLeft.sin_port == aRight.sin_port &&
         aLeft.sin_addr.s_addr == aRight.sin_addr.s_addr;
}

/** False when the connection failed at once. */
bool
BeginConnect(int aSocket, const sockaddr_in& aTarget)
{
  return connect(aSocket, Generic(aTarget), sizeof(aTarget)) == 0 ||
         errno == EINPROGRESS;
}

bool
MustWait()
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
  return bind(this->listenSocket, Generic(this->listenAddress), kSize) == 0 &&
         bind(this->datagramSocket, Generic(this->listenAddress), kSize) == 0 &&
         listen(this->listenSocket, kBacklog) == 0;
}

void
Relay::Step(Millis aWait)
{
  std::vector<pollfd> sockets;
  this->AddInterest(sockets);
  poll(sockets.data(), sockets.size(), static_cast<int>(aWait));
  this->Accept();
  this->ReadDatagrams();
  const bool isCut = this->state.IsCut();
  for (Flow& flow : this->flows) {
    if (!flow.isDatagram) {
      this->ReadLane(flow, flow.forward);
    }
    this->ReadLane(flow, flow.backward);
    this->SendLane(flow, flow.forward);
    this->SendLane(flow, flow.backward);
    flow.isBroken = flow.isBroken || isCut;
  }
  this->flows.remove_if([this](Flow& aFlow) {
    const bool isOver = this->IsOver(aFlow);
    if (isOver) {
      Close(aFlow);
    }
    return isOver;
  });
}

void
Relay::AddInterest(std::vector<pollfd>& aSockets) const
{
  aSockets.push_back({ this->listenSocket, POLLIN, 0 });
  aSockets.push_back({ this->datagramSocket, POLLIN, 0 });
  for (const Flow& flow : this->flows) {
    for (const Lane* lane : { &flow.forward, &flow.backward }) {
      if (!lane->isFinished && lane->queuedBytes < kMaxQueuedBytes) {
        aSockets.push_back({ lane->from, POLLIN, 0 });
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
    flow.silencings = this->state.Silencings();
    flow.nearSocket = accepted;
    flow.farSocket = OpenSocket(SOCK_STREAM);
    flow.isBroken = !BeginConnect(flow.farSocket, this->target);
    flow.forward = { LinkDirection::Forward, accepted, flow.farSocket };
    flow.backward = { LinkDirection::Backward, flow.farSocket, accepted };
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
      Flow* flow = this->FlowOf(caller);
      flow->usedAt = this->clock.PreciseNow();
      this->Enqueue(*flow,
                    flow->forward,
                    buffer.substr(0, static_cast<std::size_t>(bytes)));
    }
  }
}

Relay::Flow*
Relay::FlowOf(const sockaddr_in& aCaller)
{
  const auto found =
    std::ranges::find_if(this->flows, [&aCaller](const Flow& aFlow) {
      return aFlow.isDatagram && IsSame(aFlow.caller, aCaller);
    });
  if (found != this->flows.end()) {
    return &*found;
  }
  Flow& flow = this->flows.emplace_back();
  flow.isDatagram = true;
  // A datagram flow has no connection that a peer could open anew, so silent
  // mode does not apply to it.
  flow.silencings = ~0ULL;
  flow.caller = aCaller;
  flow.farSocket = OpenSocket(SOCK_DGRAM);
  flow.isBroken = !BeginConnect(flow.farSocket, this->target);
  flow.forward = { LinkDirection::Forward, -1, flow.farSocket };
  flow.backward = { LinkDirection::Backward, flow.farSocket, -1 };
  return &flow;
}

void
Relay::ReadLane(Flow& aFlow, Lane& aLane)
{
  std::array<char, kReadBytes> buffer{};
  while (!aLane.isFinished && aLane.queuedBytes < kMaxQueuedBytes) {
    const ssize_t bytes = recv(aLane.from, buffer.data(), buffer.size(), 0);
    if (bytes < 0) {
      // A refused datagram is an error of that datagram only.
      aFlow.isBroken = aFlow.isBroken || (!MustWait() && !aFlow.isDatagram);
      return;
    }
    if (bytes == 0 && !aFlow.isDatagram) {
      aLane.isFinished = true;
      return;
    }
    this->Enqueue(aFlow,
                  aLane,
                  std::string(buffer.data(), static_cast<std::size_t>(bytes)));
  }
}

void
Relay::Enqueue(Flow& aFlow, Lane& aLane, std::string aBytes)
{
  if (aFlow.silencings < this->state.Silencings() ||
      aLane.queuedBytes >= kMaxQueuedBytes) {
    return;
  }
  const double departure = this->state.DepartureOf(
    aLane.direction, aBytes.size(), this->clock.PreciseNow());
  aLane.queuedBytes += aBytes.size();
  aLane.chunks.push_back({ departure, std::move(aBytes) });
}

void
Relay::SendLane(Flow& aFlow, Lane& aLane)
{
  if (aFlow.silencings < this->state.Silencings()) {
    aLane.chunks.clear();
    aLane.queuedBytes = 0;
    return;
  }
  while (!aLane.chunks.empty() &&
         aLane.chunks.front().departure <= this->clock.PreciseNow()) {
    if (!this->SendChunk(aFlow, aLane)) {
      return;
    }
  }
  if (aLane.isFinished && aLane.chunks.empty() && !aLane.isShut) {
    shutdown(aLane.to, SHUT_WR);
    aLane.isShut = true;
  }
}

bool
Relay::SendChunk(Flow& aFlow, Lane& aLane)
{
  std::string& bytes = aLane.chunks.front().bytes;
  if (aFlow.isDatagram) {
    const bool isForward = aLane.direction == LinkDirection::Forward;
    if (isForward) {
      send(aLane.to, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    } else {
      sendto(this->datagramSocket,
             bytes.data(),
             bytes.size(),
             MSG_NOSIGNAL,
             Generic(aFlow.caller),
             sizeof(aFlow.caller));
    }
    aLane.queuedBytes -= bytes.size();
    aLane.chunks.pop_front();
    return true;
  }
  const ssize_t sent = send(aLane.to, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  if (sent < 0) {
    aFlow.isBroken = aFlow.isBroken || !MustWait();
    return false;
  }
  aLane.queuedBytes -= static_cast<std::size_t>(sent);
  bytes.erase(0, static_cast<std::size_t>(sent));
  if (bytes.empty()) {
    aLane.chunks.pop_front();
  }
  return true;
}

bool
Relay::IsOver(const Flow& aFlow) const
{
  if (aFlow.isDatagram) {
    return aFlow.isBroken ||
           this->clock.PreciseNow() - aFlow.usedAt > kDatagramIdle;
  }
  return aFlow.isBroken || (aFlow.forward.isShut && aFlow.backward.isShut) ||
         (aFlow.silencings < this->state.Silencings() &&
          aFlow.forward.isFinished);
}

void
Relay::Close(Flow& aFlow)
{
  close(aFlow.farSocket);
  if (aFlow.nearSocket >= 0) {
    close(aFlow.nearSocket);
  }
}

} // namespace lacewingwharf
