#pragma once

#include "peer/framer.h"
#include "peer/peercounting.h"
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

/** A Hello is far smaller; a stranger may not make us buffer more than this. */
inline constexpr std::size_t kMaxHelloBytes = 4096;

class PeerSession;

/** What all sessions of one network share; outlives them. */
struct PeerSessionContext
{
  const PeerNetworkConfig& config;
  Clock clock;
  ACE_Reactor& reactor;
  PeerCounting& counting;
  std::function<void(PeerSession&)> onOpen;
  std::function<void(PeerSession&, wire::Envelope)> onMessage;
  std::function<void(PeerSession&)> onClosed;
  std::vector<char> readBuffer; // Only used within one read.
};

/**
 * One TCP session. It keeps itself alive while it is registered with the
 * reactor, and is only used on the reactor's thread.
 */
class PeerSession
  : public ACE_Event_Handler
  , public std::enable_shared_from_this<PeerSession>
{
public:
  using Ptr = std::shared_ptr<PeerSession>;

  /** Begins a dial; null when it failed at once. */
  static Ptr Dial(PeerSessionContext& aContext,
                  SessionId aId,
                  const PeerAddress& aRemote,
                  wire::SessionKind::type aKind);

  /** Null when the stream cannot be registered. */
  static Ptr Accept(PeerSessionContext& aContext,
                    SessionId aId,
                    const ACE_SOCK_Stream& aStream,
                    const PeerAddress& aRemote);

  ~PeerSession() override;

  /** Queues a frame for the next Flush(); closes the session when full. */
  void Enqueue(std::string aFrame);

  /** Notes a request that goes out here, until its answer arrives. */
  void NoteRequest(const std::string& aCallId);

  /** Queues the last frame of a daemon that stops. */
  void SayFarewell();
  void Flush();

  /** Sends a heartbeat when due. */
  void SendHeartbeat(Millis aNow);

  /** Closes the session when one of its bounds has passed. */
  void CheckBounds(Millis aNow);
  void Close(const std::string& aReason);

  SessionId Id() const;
  bool IsOpen() const;
  bool IsClosed() const;
  bool IsDialled() const;
  bool WasConnected() const;
  bool HasOutgoing() const;
  const std::deque<std::string>& Outgoing() const;

  /** Unanswered requests that the other side declared as not run. */
  std::vector<std::string> NotTaken() const;
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
  void DropSent(std::size_t aBytes);
  void WantWrites(bool aWanted);

  PeerSessionContext& context;
  SessionId id;
  PeerAddress remote;
  ACE_SOCK_Stream stream;
  State state = State::WaitingForHello;
  bool isDialled = false;
  bool wasConnected = true;
  bool wantsWrites = false;
  wire::SessionKind::type kind = wire::SessionKind::CONTROL;
  wire::Hello remoteHello;
  Framer framer;
  std::deque<std::string> outgoing;
  std::size_t queuedBytes = 0;
  std::size_t sentOfFront = 0;
  std::int64_t heartbeats = 0;
  std::set<std::string> unanswered; // Call ids.
  bool hasFarewell = false;
  Millis startedAt;
  Millis lastSent;
  Millis lastReceived;
  Ptr self; // Set while registered.
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
