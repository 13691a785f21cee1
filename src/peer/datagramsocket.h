#pragma once

#include "peer/atomicpeercounters.h"
#include "peer/peernetwork.h"

#include <ace/Event_Handler.h>
#include <ace/SOCK_Dgram.h>

#include <functional>
#include <string>

namespace lacewingwharf {

/** Larger datagrams could be fragmented by the network. */
inline constexpr std::size_t kMaxDatagramBytes = 1200;

/** The UDP socket for gossip; each datagram holds one envelope. */
class DatagramSocket : public ACE_Event_Handler
{
public:
  using OnDatagram = std::function<void(const PeerAddress&, wire::Envelope)>;

  DatagramSocket(AtomicPeerCounters& aCounters, OnDatagram aOnDatagram);
  ~DatagramSocket() override;

  bool Open(const PeerAddress& aListen);
  void Send(const PeerAddress& aTo, const std::string& aBytes);

  ACE_HANDLE get_handle() const override;
  int handle_input(ACE_HANDLE aHandle) override;

private:
  bool ReceiveOne();

  AtomicPeerCounters& counters;
  OnDatagram onDatagram;
  ACE_SOCK_Dgram socket;
};

} // namespace lacewingwharf
