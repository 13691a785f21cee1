#pragma once

#include "common/clock.h"
#include "peer/codec.h"
#include "peer/framer.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace lacewingwharf::bench {

/**
 * Handles the sockets of many simulated peers in one thread. Each peer has its
 * own loopback address with a datagram socket and a listener for sessions.
 */
class PeerSockets
{
public:
  struct Handlers
  {
    std::function<void(std::size_t aPeer, const wire::Envelope&)> onDatagram;
    std::function<void(std::size_t aPeer, int aSession, const wire::Envelope&)>
      onMessage;
  };

  PeerSockets(std::vector<wire::Hello> aPeers,
              std::vector<std::string> aAddresses,
              int aPort,
              Handlers aHandlers)
    : hellos(std::move(aPeers))
    , handlers(std::move(aHandlers))
    , epoll(epoll_create1(EPOLL_CLOEXEC))
  {
    for (std::size_t peer = 0; peer < this->hellos.size(); ++peer) {
      this->datagrams.push_back(
        this->Open(SOCK_DGRAM, aAddresses[peer], aPort, peer));
      this->Open(SOCK_STREAM, aAddresses[peer], aPort, peer);
    }
  }
  ~PeerSockets()
  {
    for (const auto& [descriptor, socket] : this->sockets) {
      close(descriptor);
    }
    close(this->epoll);
  }

  PeerSockets(const PeerSockets&) = delete;
  PeerSockets& operator=(const PeerSockets&) = delete;

  bool IsOpen() const { return !this->hasFailed; }
  std::uint64_t Datagrams() const { return this->datagramCount; }
  std::uint64_t Frames() const { return this->frameCount; }

  void SendDatagram(std::size_t aPeer,
                    const sockaddr_in& aTo,
                    const wire::Envelope& aEnvelope)
  {
    constexpr std::size_t kMaxDatagramBytes = 1200;
    const auto bytes = EncodeEnvelope(aEnvelope, kMaxDatagramBytes);
    if (!bytes) {
      std::fprintf(stderr, "cannot encode the datagram of a simulated peer\n");
      return;
    }
    ++this->datagramCount;
    sendto(this->datagrams[aPeer],
           bytes.value().data(),
           bytes.value().size(),
           0,
           reinterpret_cast<const sockaddr*>(&aTo), // NOLINT
           sizeof(aTo));
  }

  /** Sends a frame on a session that the daemon opened. */
  void Send(int aSession, const wire::Envelope& aEnvelope)
  {
    constexpr std::size_t kMaxFrameBytes = 8U << 20U;
    const auto frame = EncodeFrame(aEnvelope, kMaxFrameBytes);
    std::size_t sent = 0;
    ++this->frameCount;
    while (frame && sent < frame.value().size()) {
      const ssize_t count = send(aSession,
                                 frame.value().data() + sent,
                                 frame.value().size() - sent,
                                 MSG_NOSIGNAL);
      if (count <= 0) {
        return;
      }
      sent += static_cast<std::size_t>(count);
    }
  }

  /** Waits at most aWaitMillis for input and handles it. */
  void Poll(int aWaitMillis)
  {
    std::array<epoll_event, 64> events{};
    const int count = epoll_wait(
      this->epoll, events.data(), static_cast<int>(events.size()), aWaitMillis);
    for (int index = 0; index < count; ++index) {
      const auto found =
        this->sockets.find(events[static_cast<std::size_t>(index)].data.fd);
      if (found != this->sockets.end()) {
        this->HandleReady(found->first, found->second);
      }
    }
  }

  /**
   * Sends a heartbeat on every session. Must be called once per second, because
   * the daemon closes sessions without heartbeats.
   */
  void SendHeartbeats()
  {
    wire::Envelope envelope;
    envelope.__set_heartbeat({});
    for (const auto& [descriptor, socket] : this->sockets) {
      if (socket.kind == Kind::Session) {
        this->Send(descriptor, envelope);
      }
    }
  }

private:
  enum class Kind
  {
    Datagram,
    Listener,
    Session
  };

  struct Socket
  {
    Kind kind = Kind::Datagram;
    std::size_t peer = 0;
    Framer framer{ 8U << 20U };
  };

  int Open(int aType, const std::string& aAddress, int aPort, std::size_t aPeer)
  {
    constexpr int kBacklog = 16;
    const int descriptor = socket(AF_INET, aType | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(aPort));
    inet_pton(AF_INET, aAddress.c_str(), &address.sin_addr);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const int bound =
      bind(descriptor,
           reinterpret_cast<const sockaddr*>(&address), // NOLINT
           sizeof(address));
    if (bound != 0 ||
        (aType == SOCK_STREAM && listen(descriptor, kBacklog) != 0)) {
      this->hasFailed = true;
    }
    this->Add(descriptor,
              aType == SOCK_STREAM ? Kind::Listener : Kind::Datagram,
              aPeer);
    return descriptor;
  }

  void Add(int aDescriptor, Kind aKind, std::size_t aPeer)
  {
    this->sockets[aDescriptor].kind = aKind;
    this->sockets[aDescriptor].peer = aPeer;
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.fd = aDescriptor;
    epoll_ctl(this->epoll, EPOLL_CTL_ADD, aDescriptor, &event);
  }

  void HandleReady(int aDescriptor, Socket& aSocket)
  {
    if (aSocket.kind == Kind::Listener) {
      const int session = accept4(aDescriptor, nullptr, nullptr, SOCK_CLOEXEC);
      if (session >= 0) {
        const int on = 1;
        setsockopt(session, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        this->Add(session, Kind::Session, aSocket.peer);
      }
      return;
    }
    std::array<char, 65536> buffer{};
    const ssize_t size = recv(aDescriptor, buffer.data(), buffer.size(), 0);
    if (aSocket.kind == Kind::Session) {
      this->HandleBytes(aDescriptor, aSocket, buffer.data(), size);
    } else if (size > 0) {
      ++this->datagramCount;
      const auto envelope =
        DecodeEnvelope({ buffer.data(), static_cast<std::size_t>(size) });
      if (envelope) {
        this->handlers.onDatagram(aSocket.peer, envelope.value());
      }
    }
  }

  void HandleBytes(int aDescriptor,
                   Socket& aSocket,
                   const char* aData,
                   ssize_t aSize)
  {
    if (aSize <= 0) {
      close(aDescriptor);
      this->sockets.erase(aDescriptor);
      return;
    }
    aSocket.framer.Append({ aData, static_cast<std::size_t>(aSize) });
    auto frame = aSocket.framer.Next();
    while (frame && frame.value()) {
      ++this->frameCount;
      const auto envelope = DecodeEnvelope(*frame.value());
      if (envelope) {
        this->HandleEnvelope(aDescriptor, aSocket.peer, envelope.value());
      }
      frame = aSocket.framer.Next();
    }
  }

  void HandleEnvelope(int aSession,
                      std::size_t aPeer,
                      const wire::Envelope& aEnvelope)
  {
    if (!aEnvelope.__isset.hello) {
      this->handlers.onMessage(aPeer, aSession, aEnvelope);
      return;
    }
    wire::Hello hello = this->hellos[aPeer];
    hello.kind = aEnvelope.hello.kind;
    wire::Envelope envelope;
    envelope.__set_hello(hello);
    this->Send(aSession, envelope);
  }

  std::vector<wire::Hello> hellos;
  Handlers handlers;
  int epoll;
  bool hasFailed = false;
  std::uint64_t datagramCount = 0;
  std::uint64_t frameCount = 0;
  std::vector<int> datagrams;
  std::map<int, Socket> sockets;
};

} // namespace lacewingwharf::bench
