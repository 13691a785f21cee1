#include "peer/peerthread.h"

#include "common/log.h"
#include "peer/codec.h"
#include "peer/framer.h"

#include <ace/Dev_Poll_Reactor.h>

#include <sys/resource.h>

#include <algorithm>
#include <chrono>

namespace lacewingwharf {

namespace {

constexpr Log kLog("peer");

constexpr std::size_t kMaxCommands = 16384;

// Enough for kMaxSessions and as many connections of callers and backend
// servers, which share the descriptor numbers. A lower descriptor limit of the
// process takes precedence, because ACE cannot open a reactor above it.
constexpr std::size_t kMaxHandles = 16384;

constexpr std::size_t kMaxSessions = 8192;
constexpr std::size_t kReadBufferBytes = 65536;
constexpr Millis kMaxTickInterval = 250;
constexpr Millis kMinTickInterval = 5;

// How long a daemon that stops tries to send the answers that are queued.
constexpr Millis kStopFlushTimeout = 500;

std::size_t
ReactorHandleLimit()
{
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
    return kMaxHandles;
  }
  return std::min<std::size_t>(kMaxHandles, limit.rlim_cur);
}

ACE_Time_Value
TimeValueOf(Millis aMillis)
{
  return ACE_Time_Value(std::chrono::milliseconds(aMillis));
}

void
AddUnsent(PeerEvent& aEvent, std::string_view aFrame)
{
  auto envelope = DecodeEnvelope(aFrame.substr(kFrameHeaderBytes));
  if (envelope && !envelope.value().__isset.hello) {
    aEvent.unsent.push_back(std::move(envelope).value());
  }
}

} // namespace

PeerThread::PeerThread(PeerNetworkConfig aConfig, PeerHandlers aHandlers)
  : config(std::move(aConfig))
  , handlers(std::move(aHandlers))
  , reactor(new ACE_Dev_Poll_Reactor(ReactorHandleLimit(), true), true)
  , commands(kMaxCommands, [this] { this->Wake(); })
  , acceptor([this](ACE_SOCK_Stream& aStream, const PeerAddress& aRemote) {
    this->HandleAccepted(aStream, aRemote);
  })
  , datagrams(
      this->counters,
      [this](const PeerAddress& aRemote, wire::Envelope aEnvelope) {
        this->Report(
          wire::SessionKind::CONTROL,
          { PeerEventKind::Datagram, 0, aRemote, {}, std::move(aEnvelope) });
      })
  , backoff(this->clock, SystemRandom())
  , context{ this->config,
             this->clock,
             this->reactor,
             this->counters,
             [this](PeerSession& aSession) {
               ++this->counters.sessionsOpen;
               if (aSession.IsDialled()) {
                 this->backoff.RecordSuccess(aSession.Remote());
               }
             },
             [this](PeerSession& aSession, wire::Envelope aEnvelope) {
               this->Report(aSession.Kind(),
                            { PeerEventKind::Message,
                              aSession.Id(),
                              aSession.Remote(),
                              aSession.RemoteHello(),
                              std::move(aEnvelope) });
             },
             [this](PeerSession& aSession) { this->HandleClosed(aSession); },
             std::vector<char>(kReadBufferBytes) }
{
}

PeerThread::~PeerThread()
{
  this->Stop();
}

bool
PeerThread::Start()
{
  if (!this->reactor.initialized()) {
    kLog.Error("cannot open the reactor for {} descriptors",
               ReactorHandleLimit());
    return false;
  }
  if (!this->Listen()) {
    kLog.Error("cannot listen at {}:{}",
               this->config.listen.address,
               this->config.listen.port);
    return false;
  }
  const ACE_Time_Value interval = TimeValueOf(this->TickInterval());
  this->lastTick = this->clock.Now();
  this->reactor.schedule_timer(this, nullptr, interval, interval);
  this->isRunning = true;
  this->thread =
    std::thread([this] { this->reactor.run_reactor_event_loop(); });
  kLog.Info("listening at {}:{}",
            this->config.listen.address,
            this->config.listen.port);
  return true;
}

bool
PeerThread::Listen()
{
  return this->acceptor.Open(this->config.listen) &&
         this->datagrams.Open(this->config.listen) &&
         this->reactor.register_handler(&this->acceptor,
                                        ACE_Event_Handler::ACCEPT_MASK) == 0 &&
         this->reactor.register_handler(&this->datagrams,
                                        ACE_Event_Handler::READ_MASK) == 0;
}

Millis
PeerThread::TickInterval() const
{
  const Millis shortest =
    std::min(this->config.heartbeatInterval, this->config.connectTimeout);
  return std::clamp(shortest / 4, kMinTickInterval, kMaxTickInterval);
}

void
PeerThread::Stop()
{
  if (!this->isRunning) {
    return;
  }
  this->isRunning = false;
  this->commands.Close();
  this->reactor.end_reactor_event_loop();
  this->thread.join();
  this->FlushBeforeStop();
  this->isStopping = true;
  this->reactor.cancel_timer(this);
  for (const auto& session : this->AllSessions()) {
    session->Close("this daemon is shutting down");
  }
  const auto mask =
    ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL;
  this->reactor.remove_handler(&this->acceptor, mask);
  this->reactor.remove_handler(&this->datagrams, mask);
  this->recentlyClosed.clear();
}

void
PeerThread::FlushBeforeStop()
{
  this->RunCommands();
  // The reactor has stopped reading and all answers are queued, so requests
  // that are still unanswered on a session were not run.
  std::ranges::for_each(this->AllSessions(), [](const auto& aSession) {
    if (aSession->Kind() == wire::SessionKind::CALLS) {
      aSession->EnqueueShutdownNotice();
    }
  });
  const Millis deadline = this->clock.Now() + kStopFlushTimeout;
  const auto hasOutgoing = [](const PeerSession::Ptr& aSession) {
    return aSession->IsOpen() && aSession->HasOutgoing();
  };
  auto waiting = this->AllSessions();
  std::ranges::for_each(waiting, &PeerSession::Flush);
  while (std::ranges::any_of(waiting, hasOutgoing) &&
         this->clock.Now() < deadline) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
    std::ranges::for_each(waiting, &PeerSession::Flush);
  }
}

bool
PeerThread::Push(PeerCommand aCommand)
{
  if (!this->commands.Push(std::move(aCommand))) {
    ++this->counters.sendsRejected;
    return false;
  }
  return true;
}

bool
PeerThread::PushEncoded(PeerCommand aCommand,
                        const PeerResult<std::string>& aBytes)
{
  if (!aBytes) {
    kLog.Warning("message not sent: {}", aBytes.error().detail);
    ++this->counters.sendsRejected;
    return false;
  }
  aCommand.bytes = aBytes.value();
  return this->Push(std::move(aCommand));
}

/** Notifies the reactor once for all commands pushed before it drains them. */
void
PeerThread::Wake()
{
  if (!this->isWakePending.exchange(true)) {
    this->reactor.notify(this, ACE_Event_Handler::EXCEPT_MASK);
  }
}

int
PeerThread::handle_exception(ACE_HANDLE /*aHandle*/)
{
  this->RunCommands();
  return 0;
}

void
PeerThread::RunCommands()
{
  this->isWakePending = false;
  for (PeerCommand& command : this->commands.Drain(0)) {
    this->Run(command);
  }
  this->FlushQueued();
}

void
PeerThread::Run(PeerCommand& aCommand)
{
  switch (aCommand.kind) {
    case PeerCommandKind::Send:
      this->RunSend(aCommand);
      break;
    case PeerCommandKind::Reply:
      this->RunReply(aCommand);
      break;
    case PeerCommandKind::Datagram:
      this->datagrams.Send(this->config.TransportAddressOf(aCommand.to),
                           aCommand.bytes);
      break;
    case PeerCommandKind::CloseSession:
      if (const auto session = this->sessions.find(aCommand.session);
          session != this->sessions.end()) {
        const PeerSession::Ptr keepAlive = session->second;
        keepAlive->Close("closed locally by request");
      }
      break;
  }
}

void
PeerThread::RunSend(PeerCommand& aCommand)
{
  const PeerSession::Ptr session = this->FindOrDialSession(aCommand);
  if (session) {
    if (!aCommand.callId.empty()) {
      session->TrackRequest(aCommand.callId);
    }
    this->Queue(session, std::move(aCommand.bytes));
    return;
  }
  PeerEvent event;
  event.remote = aCommand.to;
  AddUnsent(event, aCommand.bytes);
  this->ReportLost(aCommand.sessionKind, std::move(event));
}

void
PeerThread::RunReply(PeerCommand& aCommand)
{
  const auto session = this->sessions.find(aCommand.session);
  if (session != this->sessions.end()) {
    const PeerSession::Ptr keepAlive = session->second;
    this->Queue(keepAlive, std::move(aCommand.bytes));
  }
}

PeerSession::Ptr
PeerThread::FindOrDialSession(const PeerCommand& aCommand)
{
  const SessionKey key(aCommand.to, aCommand.sessionKind);
  if (const auto existing = this->dialled.find(key);
      existing != this->dialled.end()) {
    return this->sessions.at(existing->second);
  }
  if (!this->backoff.MayDial(aCommand.to)) {
    return nullptr;
  }
  auto session = PeerSession::Dial(
    this->context, ++this->lastSessionId, aCommand.to, aCommand.sessionKind);
  if (!session) {
    this->backoff.RecordFailure(aCommand.to);
    return nullptr;
  }
  this->sessions.emplace(session->Id(), session);
  this->dialled.emplace(key, session->Id());
  return session;
}

void
PeerThread::HandleAccepted(ACE_SOCK_Stream& aStream, const PeerAddress& aRemote)
{
  if (this->sessions.size() >= kMaxSessions) {
    kLog.Warning("session from {} rejected: {} sessions are already open",
                 aRemote.address,
                 this->sessions.size());
    aStream.close();
    return;
  }
  const auto session =
    PeerSession::Accept(this->context, ++this->lastSessionId, aStream, aRemote);
  if (session) {
    this->sessions.emplace(session->Id(), session);
  }
}

void
PeerThread::Queue(const PeerSession::Ptr& aSession, std::string aBytes)
{
  if (!aSession->HasOutgoing()) {
    this->unflushedSessions.push_back(aSession);
  }
  aSession->Enqueue(std::move(aBytes));
}

void
PeerThread::FlushQueued()
{
  const auto waiting = std::exchange(this->unflushedSessions, {});
  std::ranges::for_each(waiting, &PeerSession::Flush);
}

int
PeerThread::handle_timeout(const ACE_Time_Value& /*aNow*/,
                           const void* /*aArgument*/)
{
  const Millis now = this->clock.Now();
  // After a pause of this process, unread input may be waiting in the sockets.
  // The timeout check is skipped for this tick, so that the input is read
  // before a session is closed as silent.
  const bool wasPaused =
    now - this->lastTick >= this->config.silenceTimeout / 2;
  this->lastTick = now;
  this->recentlyClosed.clear();
  this->backoff.Prune();
  for (const auto& session : this->AllSessions()) {
    session->SendHeartbeat(now);
    if (!wasPaused) {
      session->CheckTimeouts(now);
    }
  }
  return 0;
}

void
PeerThread::HandleClosed(PeerSession& aSession)
{
  const SessionId id = aSession.Id();
  this->recentlyClosed.push_back(aSession.shared_from_this());
  this->sessions.erase(id);
  const bool wasOpen = !aSession.RemoteHello().host.empty();
  if (wasOpen) {
    --this->counters.sessionsOpen;
    ++this->counters.sessionsLost;
  }
  if (aSession.IsDialled()) {
    this->dialled.erase({ aSession.Remote(), aSession.Kind() });
  }
  if (this->isStopping) {
    return;
  }
  if (aSession.IsDialled() && !wasOpen) {
    this->backoff.RecordFailure(aSession.Remote());
  }
  if (aSession.IsDialled() || wasOpen) {
    PeerEvent event;
    event.session = id;
    event.remote = aSession.Remote();
    event.hello = aSession.RemoteHello();
    event.wasConnected = aSession.WasConnected();
    event.requestsNotRun = aSession.RequestsNotRun();
    if (!event.wasConnected) {
      std::ranges::for_each(
        aSession.Outgoing(),
        [&event](const std::string& aFrame) { AddUnsent(event, aFrame); });
    }
    this->ReportLost(aSession.Kind(), std::move(event));
  }
}

void
PeerThread::ReportLost(wire::SessionKind::type aKind, PeerEvent aEvent) const
{
  aEvent.kind = PeerEventKind::SessionLost;
  this->Report(aKind, std::move(aEvent));
}

void
PeerThread::Report(wire::SessionKind::type aKind, PeerEvent aEvent) const
{
  const auto& handler = aKind == wire::SessionKind::CALLS
                          ? this->handlers.onCalls
                          : this->handlers.onControl;
  if (handler) {
    handler(std::move(aEvent));
  }
}

std::vector<PeerSession::Ptr>
PeerThread::AllSessions() const
{
  std::vector<PeerSession::Ptr> all;
  all.reserve(this->sessions.size());
  for (const auto& [id, session] : this->sessions) {
    all.push_back(session);
  }
  return all;
}

} // namespace lacewingwharf
