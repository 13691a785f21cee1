#pragma once

#include "linkstate.h"

#include <netinet/in.h>
#include <poll.h>

#include <deque>
#include <list>
#include <string>
#include <vector>

namespace lacewingwharf {

/** Relays TCP connections and UDP datagrams of one port to one target. */
class Relay
{
public:
  Relay(LinkState& aState, sockaddr_in aListen, sockaddr_in aTarget);

  bool Open();

  /** Waits up to aWait for traffic and carries it. */
  void Step(Millis aWait);

private:
  struct Chunk
  {
    double departure = 0;
    std::string bytes;
  };

  /** One direction of a connection or of a UDP flow. */
  struct Lane
  {
    LinkDirection direction = LinkDirection::Forward;
    int from = -1;
    int to = -1;
    std::deque<Chunk> chunks{};
    std::size_t queuedBytes = 0;
    bool isFinished = false; // The sender has closed its side.
    bool isShut = false;
  };

  struct Flow
  {
    bool isDatagram = false;
    std::uint64_t silencings = 0;
    int nearSocket = -1; // Unused by datagrams, which share one socket.
    int farSocket = -1;
    sockaddr_in caller{};
    double usedAt = 0;
    Lane forward;
    Lane backward;
    bool isBroken = false;
  };

  void AddInterest(std::vector<pollfd>& aSockets) const;
  void Accept();
  void ReadDatagrams();
  Flow* FlowOf(const sockaddr_in& aCaller);
  void ReadLane(Flow& aFlow, Lane& aLane);
  void SendLane(Flow& aFlow, Lane& aLane);
  bool SendChunk(Flow& aFlow, Lane& aLane);
  void Enqueue(Flow& aFlow, Lane& aLane, std::string aBytes);
  bool IsOver(const Flow& aFlow) const;
  static void Close(Flow& aFlow);

  LinkState& state;
  sockaddr_in listenAddress;
  sockaddr_in target;
  Clock clock;
  int listenSocket = -1;
  int datagramSocket = -1;
  std::list<Flow> flows;
};

} // namespace lacewingwharf
