#pragma once

#include "peer/atomicpeercounters.h"
#include "peer/framer.h"
#include "peer/peernetwork.h"

#include <ace/Event_Handler.h>
#include <ace/SOCK_Stream.h>

#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

class ACE_Reactor;

namespace lacewingwharf {

/**
 * The maximum frame size until the Hello has arrived. It limits the memory that
 * an unknown peer can use. A Hello is far smaller.
 */
inline constexpr std::size_t kMaxHelloBytes = 4096;

class PeerSession;

/** The state that all sessions of one network share. It outlives them. */
struct PeerSessionContext
{
  const PeerNetworkConfig& config;
  Clock clock;
  ACE_Reactor& reactor;
  AtomicPeerCounters& counters;
  std::function<void(PeerSession&)> onOpen;
  std::function<void(PeerSession&, wire::Envelope)> onMessage;
  std::function<void(PeerSession&)> onClosed;
  std::vector<char> readBuffer; // Holds no data between reads.
};

/**
 * One TCP session with another daemon. It holds a reference to itself while it
 * is registered with the reactor. Only the reactor's thread may use it; after
 * that thread has ended, the thread that stops the network uses it.
 */
class PeerSession
  : public ACE_Event_Handler
  , public std::enable_shared_from_this<PeerSession>
{
public:
  using Ptr = std::shared_ptr<PeerSession>;

  /** Starts a non-blocking connect. Returns null if it fails immediately. */
  static Ptr Dial(PeerSessionContext& aContext,
                  SessionId aId,
                  const PeerAddress& aRemote,
                  wire::SessionKind::type aKind);

  /** Returns null when the stream cannot be registered with the reactor. */
  static Ptr Accept(PeerSessionContext& aContext,
                    SessionId aId,
                    const ACE_SOCK_Stream& aStream,
                    const PeerAddress& aRemote);

  ~PeerSession() override;

  /** Queues a frame for the next Flush(). A full queue closes the session. */
  void Enqueue(std::string aFrame);

  /** Records the id of a request that is sent here until its answer arrives. */
  void TrackRequest(const std::string& aCallId);

  /** Queues the shutdown notice, the last frame of a daemon that stops. */
  void EnqueueShutdownNotice();
  void Flush();

  /** Sends a heartbeat when nothing was sent for the heartbeat interval. */
  void SendHeartbeat(Millis aNow);

  /** Closes the session when a timeout has passed. */
  void CheckTimeouts(Millis aNow);
  void Close(const std::string& aReason);

  SessionId Id() const;
  bool IsOpen() const;
  bool IsClosed() const;
  bool IsDialled() const;
  bool WasConnected() const;
  bool HasOutgoing() const;
  const std::deque<std::string>& Outgoing() const;

  /** After a shutdown notice: the unanswered requests, which were not run. */
  std::vector<std::string> RequestsNotRun() const;
  wire::SessionKind::type Kind() const;
  const PeerAddress& Remote() const;
  const wire::Hello& RemoteHello() const;

  ACE_HANDLE get_handle() const override;
  int handle_input(ACE_HANDLE aHandle) override;
  int handle_output(ACE_HANDLE aHandle) override;
  int handle_close(ACE_HANDLE aHandle, ACE_Reactor_Mask aMask) override;

private:
  enum class State
  {
    Connecting,
    WaitingForHello,
    Open,
    Closed
  };

  PeerSession(PeerSessionContext& aContext, SessionId aId, PeerAddress aRemote);
  bool Register(ACE_Reactor_Mask aMask);
  void FinishConnect();
  bool IsConnectedToItself() const;
  void SendHello();
  bool ReadOnce();
  void HandleFrames();
  void HandleEnvelope(wire::Envelope aEnvelope);
  void HandleHello(wire::Hello aHello);
  void RemoveSent(std::size_t aBytes);
  void SetWriteInterest(bool aIsInterested);

  PeerSessionContext& context;
  SessionId id;
  PeerAddress remote;
  ACE_SOCK_Stream stream;
  State state = State::WaitingForHello;
  bool isDialled = false;
  bool wasConnected = true;
  bool hasWriteInterest = false;
  wire::SessionKind::type kind = wire::SessionKind::CONTROL;
  wire::Hello remoteHello;
  Framer framer;
  std::deque<std::string> outgoing;
  std::size_t queuedBytes = 0;
  std::size_t sentBytesOfFront = 0;
  std::int64_t heartbeatSequence = 0;
  std::set<std::string> unansweredCalls; // Call ids.
  bool hasReceivedShutdownNotice = false;
  Millis startedAt;
  Millis lastSent;
  Millis lastReceived;
  Ptr selfReference; // Set while registered with the reactor.
};

inline SessionId
PeerSession::Id() const
{
  return this->id;
}

inline bool
PeerSession::IsOpen() const
{
  return this->state == State::Open;
}

inline bool
PeerSession::IsClosed() const
{
  return this->state == State::Closed;
}

inline bool
PeerSession::WasConnected() const
{
  return this->wasConnected;
}

inline bool
PeerSession::IsDialled() const
{
  return this->isDialled;
}

inline bool
PeerSession::HasOutgoing() const
{
  return !this->outgoing.empty();
}

inline const std::deque<std::string>&
PeerSession::Outgoing() const
{
  return this->outgoing;
}

inline wire::SessionKind::type
PeerSession::Kind() const
{
  return this->kind;
}

inline const PeerAddress&
PeerSession::Remote() const
{
  return this->remote;
}

inline const wire::Hello&
PeerSession::RemoteHello() const
{
  return this->remoteHello;
}

} // namespace lacewingwharf
