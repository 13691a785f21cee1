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

/** Where a daemon listens for sessions and datagrams (same port number). */
struct PeerAddress
{
  std::string address;
  int port = 0;

  // clang-tidy 14 takes the comparison that the compiler writes for a 0.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const PeerAddress&) const = default;
};

/** Names one session within this process; never reused. */
using SessionId = std::uint64_t;

enum class PeerEventKind
{
  Message,    // A frame on a session.
  Datagram,   // session is 0; remote is the sender's socket address.
  SessionLost // Nothing more comes or goes on this session.
};

/** What the peer thread reports to the thread that owns the session's kind. */
struct PeerEvent
{
  PeerEventKind kind = PeerEventKind::Message;
  SessionId session = 0;
  PeerAddress remote; // As dialled, or the socket address when accepted.
  wire::Hello hello;  // Of the other side; empty for datagrams.
  wire::Envelope envelope;

  /**
   * Of a lost session: when false, the connection was never made, so nothing
   * that was to be sent on it can have arrived.
   */
  bool wasConnected = false;

  /**
   * Of a lost session that was never connected: the messages that were to be
   * sent on it. Others for the same daemon may be on their way already.
   */
  std::vector<wire::Envelope> unsent{};

  /**
   * Of a session that the other daemon ended in order: ids of the requests
   * that it received or not, and certainly did not run.
   */
  std::vector<std::string> notTaken{};
};

/** Settings of the peer thread. */
struct PeerNetworkConfig
{
  PeerAddress listen;
  wire::Hello self; // kind is filled in for each session.
  Millis heartbeatInterval = 1000;
  Millis silenceLimit = 3000;
  Millis connectLimit = 1000;
  std::size_t maxFrameBytes = 8U << 20U;
  std::size_t maxQueuedBytes = 32U << 20U; // Per session.

  /** Peers that are reached through a port forwarder, with its address. */
  std::map<PeerAddress, PeerAddress> forwards;

  /** Where connections and datagrams for aPeer are sent. */
  PeerAddress RouteTo(const PeerAddress& aPeer) const;
};

inline PeerAddress
PeerNetworkConfig::RouteTo(const PeerAddress& aPeer) const
{
  const auto forward = this->forwards.find(aPeer);
  return forward == this->forwards.end() ? aPeer : forward->second;
}

/** Called on the peer thread; they only push to a ring. */
struct PeerHandlers
{
  std::function<void(PeerEvent)> onControl; // Control sessions, datagrams.
  std::function<void(PeerEvent)> onCalls;   // Call sessions.
};

/** Counters for metrics; bytes include frame headers. */
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
 * The peer thread: an ACE reactor that holds all sessions and the datagram
 * socket. Its methods may be called from any thread and never block.
 */
class PeerNetwork
{
public:
  PeerNetwork(PeerNetworkConfig aConfig, PeerHandlers aHandlers);
  ~PeerNetwork();

  PeerNetwork(const PeerNetwork&) = delete;
  PeerNetwork& operator=(const PeerNetwork&) = delete;

  /** False when the address cannot be bound. */
  bool Start();
  void Stop();

  /**
   * Sends on the session to aTo, dialling one when there is none. When it
   * cannot be delivered, a SessionLost with remote = aTo follows. False when
   * the ring is full; nothing is sent then.
   */
  bool Send(const PeerAddress& aTo,
            wire::SessionKind::type aKind,
            wire::Envelope aEnvelope);

  /** Sends on the session a message came from. */
  bool Reply(SessionId aSession, wire::Envelope aEnvelope);

  /** At most 1,200 bytes once encoded; larger ones are dropped and counted. */
  bool SendDatagram(const PeerAddress& aTo, wire::Envelope aEnvelope);

  /** Closes a session whose answer missed its bound. */
  void Drop(SessionId aSession);

  PeerCounters Counters() const;

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace lacewingwharf
