#pragma once

#include "common/clock.h"
#include "peer_types.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lacewingwharf {

/** The address and port at which a daemon listens, for both TCP and UDP. */
struct PeerAddress
{
  std::string address;
  int port = 0;

  // clang-tidy 14 reports the 0 in the comparison that the compiler generates.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const PeerAddress&) const = default;
};

/** Identifies a session within this process and is never reused. */
using SessionId = std::uint64_t;

enum class PeerEventKind
{
  Message,    // A message arrived on a session.
  Datagram,   // The session is 0; remote is the sender's socket address.
  SessionLost // The session is closed or could not be opened.
};

/** An event that the peer thread reports to one of the PeerHandlers. */
struct PeerEvent
{
  PeerEventKind kind = PeerEventKind::Message;
  SessionId session = 0;
  PeerAddress remote; // The dialled address or, if accepted, the source.
  wire::Hello hello;  // From the remote daemon; empty for datagrams.
  wire::Envelope envelope;

  /**
   * For SessionLost: false when the connection was never established, so no
   * message that was queued on it can have arrived.
   */
  bool wasConnected = false;

  /**
   * For SessionLost of a session that was never connected: the messages that
   * were queued on it. Other messages to the same daemon may already be in
   * transit.
   */
  std::vector<wire::Envelope> unsent{};

  /**
   * For SessionLost after a shutdown notice: the ids of the unanswered
   * requests. The other daemon did not run them, whether it received them or
   * not.
   */
  std::vector<std::string> requestsNotRun{};
};

/** Settings of the peer thread. */
struct PeerNetworkConfig
{
  PeerAddress listen;
  wire::Hello self; // Sent by each session with its own protocol and kind.
  Millis heartbeatInterval = 1000;
  Millis silenceTimeout = 3000;
  Millis connectTimeout = 1000;
  std::size_t maxFrameBytes = 8U << 20U;
  std::size_t maxQueuedBytes = 32U << 20U; // Per session.

  /** Maps peers behind a port forwarder to the address of the forwarder. */
  std::map<PeerAddress, PeerAddress> forwards;

  /** The address to which connections and datagrams for aPeer are sent. */
  PeerAddress TransportAddressOf(const PeerAddress& aPeer) const;
};

inline PeerAddress
PeerNetworkConfig::TransportAddressOf(const PeerAddress& aPeer) const
{
  const auto forward = this->forwards.find(aPeer);
  return forward == this->forwards.end() ? aPeer : forward->second;
}

/**
 * Called on the peer thread, so they must not block. They push the event to a
 * queue.
 */
struct PeerHandlers
{
  std::function<void(PeerEvent)> onControl; // Control sessions, datagrams.
  std::function<void(PeerEvent)> onCalls;   // Call sessions.
};

/** Counters for metrics. The bytes include frame headers. */
struct PeerCounters
{
  std::uint64_t controlBytesSent = 0;
  std::uint64_t controlBytesReceived = 0;
  std::uint64_t callBytesSent = 0;
  std::uint64_t callBytesReceived = 0;
  std::uint64_t sessionsOpen = 0;
  std::uint64_t sessionsLost = 0;
  std::uint64_t framesRejected = 0;
  std::uint64_t sendsRejected = 0;
};

/**
 * Sends and receives messages between daemons. One thread, the peer thread,
 * runs an ACE reactor with all sessions and the datagram socket. Any thread may
 * call the send methods, which never block.
 */
class PeerNetwork
{
public:
  PeerNetwork(PeerNetworkConfig aConfig, PeerHandlers aHandlers);
  ~PeerNetwork();

  PeerNetwork(const PeerNetwork&) = delete;
  PeerNetwork& operator=(const PeerNetwork&) = delete;

  /** Returns false if the reactor or a listening socket cannot be opened. */
  bool Start();
  void Stop();

  /**
   * Sends on the session to aTo and dials one if there is none. When the
   * message cannot be delivered, a SessionLost event with remote = aTo follows.
   * Returns false and sends nothing when the message cannot be encoded or the
   * command queue is full.
   */
  bool Send(const PeerAddress& aTo,
            wire::SessionKind::type aKind,
            wire::Envelope aEnvelope);

  /** Sends on the session on which a message arrived. */
  bool Reply(SessionId aSession, wire::Envelope aEnvelope);

  /**
   * Sends a datagram. A message of more than 1,200 encoded bytes is dropped and
   * counted.
   */
  bool SendDatagram(const PeerAddress& aTo, wire::Envelope aEnvelope);

  /** Closes a session, for example because an answer on it is overdue. */
  void CloseSession(SessionId aSession);

  PeerCounters Counters() const;

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace lacewingwharf
