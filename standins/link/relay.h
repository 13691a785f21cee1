#pragma once

#include "linkstate.h"

#include <netinet/in.h>
#include <poll.h>

#include <deque>
#include <list>
#include <string>
#include <vector>

namespace lacewingwharf {

/**
 * Forwards TCP connections and UDP datagrams from one port to one target, with
 * the delay and bandwidth of a LinkState.
 */
class Relay
{
public:
  Relay(LinkState& aState, sockaddr_in aListen, sockaddr_in aTarget);

  bool Open();

  /** Waits up to aTimeout for traffic and forwards it. */
  void PollOnce(Millis aTimeout);

private:
  struct Chunk
  {
    double departureTime = 0;
    std::string bytes;
  };

  /** One direction of a flow. */
  struct Channel
  {
    LinkDirection direction = LinkDirection::Forward;
    int from = -1;
    int to = -1;
    std::deque<Chunk> chunks{};
    std::size_t queuedBytes = 0;
    bool isSourceClosed = false; // The sender has closed its side.
    bool isShutDown = false;     // The end was passed on to the receiver.
  };

  /** A TCP connection, or the datagrams from one UDP address. */
  struct Flow
  {
    bool isDatagram = false;
    std::uint64_t silenceCountAtStart = 0;
    int callerSocket = -1; // Unused by datagrams, which share datagramSocket.
    int targetSocket = -1;
    sockaddr_in caller{};
    double lastUsedAt = 0;
    Channel forward;
    Channel backward;
    bool isBroken = false;
  };

  void AddPollSockets(std::vector<pollfd>& aSockets) const;
  void Accept();
  void ReadDatagrams();
  Flow* FindOrAddFlow(const sockaddr_in& aCaller);
  void ReadChannel(Flow& aFlow, Channel& aChannel);
  void SendChannel(Flow& aFlow, Channel& aChannel);
  bool SendChunk(Flow& aFlow, Channel& aChannel);
  void Enqueue(Flow& aFlow, Channel& aChannel, std::string aBytes);
  bool IsFinished(const Flow& aFlow) const;
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
