#pragma once

#include "peer/peernetwork.h"

#include <atomic>

namespace lacewingwharf {

/** The counters of a network. Any thread may read or increment them. */
struct AtomicPeerCounters
{
  std::atomic<std::uint64_t> controlBytesSent{ 0 };
  std::atomic<std::uint64_t> controlBytesReceived{ 0 };
  std::atomic<std::uint64_t> callBytesSent{ 0 };
  std::atomic<std::uint64_t> callBytesReceived{ 0 };
  std::atomic<std::uint64_t> sessionsOpen{ 0 };
  std::atomic<std::uint64_t> sessionsLost{ 0 };
  std::atomic<std::uint64_t> framesRejected{ 0 };
  std::atomic<std::uint64_t> sendsRejected{ 0 };

  void AddSent(wire::SessionKind::type aKind, std::size_t aBytes);
  void AddReceived(wire::SessionKind::type aKind, std::size_t aBytes);
  PeerCounters Read() const;
};

inline void
AtomicPeerCounters::AddSent(wire::SessionKind::type aKind, std::size_t aBytes)
{
  auto& counter = aKind == wire::SessionKind::CALLS ? this->callBytesSent
                                                    : this->controlBytesSent;
  counter.fetch_add(aBytes, std::memory_order_relaxed);
}

inline void
AtomicPeerCounters::AddReceived(wire::SessionKind::type aKind,
                                std::size_t aBytes)
{
  auto& counter = aKind == wire::SessionKind::CALLS
                    ? this->callBytesReceived
                    : this->controlBytesReceived;
  counter.fetch_add(aBytes, std::memory_order_relaxed);
}

inline PeerCounters
AtomicPeerCounters::Read() const
{
  return { this->controlBytesSent, this->controlBytesReceived,
           this->callBytesSent,    this->callBytesReceived,
           this->sessionsOpen,     this->sessionsLost,
           this->framesRejected,   this->sendsRejected };
}

} // namespace lacewingwharf
