#pragma once

#include "common/ring.h"
#include "peer/atomicpeercounters.h"
#include "peer/datagramsocket.h"
#include "peer/dialbackoff.h"
#include "peer/peernetwork.h"
#include "peer/peersession.h"
#include "peer/sessionacceptor.h"

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>

#include <atomic>
#include <map>
#include <string>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lacewingwharf {

enum class PeerCommandKind
{
  Send,
  Reply,
  Datagram,
  CloseSession
};

struct PeerCommand
{
  PeerCommandKind kind = PeerCommandKind::Send;
  PeerAddress to;
  SessionId session = 0;
  wire::SessionKind::type sessionKind = wire::SessionKind::CONTROL;
  std::string bytes;
  std::string callId; // Empty unless the message is a call request.
};

/**
 * The thread of a PeerNetwork with its reactor, sessions and sockets. It is
 * also the reactor's handler for the timer and for wake-ups.
 */
class PeerThread : public ACE_Event_Handler
{
public:
  PeerThread(PeerNetworkConfig aConfig, PeerHandlers aHandlers);
  ~PeerThread() override;

  bool Start();
  void Stop();
  bool Push(PeerCommand aCommand);
  bool PushEncoded(PeerCommand aCommand, const PeerResult<std::string>& aBytes);

  int handle_exception(ACE_HANDLE aHandle) override;
  int handle_timeout(const ACE_Time_Value& aNow,
                     const void* aArgument) override;

  const PeerNetworkConfig& Config() const;
  PeerCounters Counters() const;

private:
  using SessionKey = std::pair<PeerAddress, wire::SessionKind::type>;

  bool Listen();
  Millis TickInterval() const;
  void Wake();
  void RunCommands();
  void Run(PeerCommand& aCommand);
  void RunSend(PeerCommand& aCommand);
  void RunReply(PeerCommand& aCommand);
  PeerSession::Ptr FindOrDialSession(const PeerCommand& aCommand);
  void HandleAccepted(ACE_SOCK_Stream& aStream, const PeerAddress& aRemote);
  void Queue(const PeerSession::Ptr& aSession, std::string aBytes);
  void FlushQueued();
  void FlushBeforeStop();
  void HandleClosed(PeerSession& aSession);
  void ReportLost(wire::SessionKind::type aKind, PeerEvent aEvent) const;
  void Report(wire::SessionKind::type aKind, PeerEvent aEvent) const;
  std::vector<PeerSession::Ptr> AllSessions() const;

  PeerNetworkConfig config;
  AtomicPeerCounters counters;
  PeerHandlers handlers;
  Clock clock = Clock::Steady();
  ACE_Reactor reactor;
  Ring<PeerCommand> commands;
  std::atomic<bool> isWakePending{ false };
  std::thread thread;
  bool isRunning = false;
  bool isStopping = false;
  SessionAcceptor acceptor;
  DatagramSocket datagrams;
  DialBackoff backoff;
  PeerSessionContext context;
  SessionId lastSessionId = 0;
  Millis lastTick = 0;
  std::unordered_map<SessionId, PeerSession::Ptr> sessions;
  std::map<SessionKey, SessionId> dialled;
  std::vector<PeerSession::Ptr> unflushedSessions;
  // Sessions that closed since the last tick. They are freed on the next tick,
  // because the reactor may still be executing one of their handlers.
  std::vector<PeerSession::Ptr> recentlyClosed;
};

inline const PeerNetworkConfig&
PeerThread::Config() const
{
  return this->config;
}

inline PeerCounters
PeerThread::Counters() const
{
  return this->counters.Read();
}

} // namespace lacewingwharf
