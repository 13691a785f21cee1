#include "proxy/httpserverimpl.h"

#include "common/log.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <iterator>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr Log kLog("http");

constexpr int kMaxEvents = 64;
constexpr std::size_t kReadBufferBytes = 65536;

// Tokens of events. Connections have the numbers above them.
constexpr std::uint64_t kListenerToken = 0;
constexpr std::uint64_t kWakeToken = 1;

// The server returns to its connections after this many new ones.
constexpr std::size_t kMaxAcceptsPerEvent = 64;

// Timeouts are checked this often, so a connection can exceed its own by this.
constexpr Millis kTimeoutCheckInterval = 2000;

/** Without the hook no two requests run at once, so none is read ahead. */
PipelineLimits
PipelineLimitsOf(const HttpServerConfig& aConfig,
                 const HttpServer::Handlers& aHandlers)
{
  PipelineLimits limits = aConfig.pipeline;
  limits.requests = aHandlers.mayRunBeside ? limits.requests : 0;
  return limits;
}

} // namespace

HttpServer::Impl::Impl(HttpServerConfig aConfig, Handlers aHandlers)
  : config(std::move(aConfig))
  , handlers(std::move(aHandlers))
  , listener([this](int aSocket, std::string aCallerAddress) {
    const std::lock_guard lock(this->mutex);
    this->accepted.push_back({ aSocket, std::move(aCallerAddress) });
  })
  , context(PipelineLimitsOf(this->config, this->handlers), this->config.memory)
  , lastConnectionId(kWakeToken)
{
  this->context.requestIdHeader = this->config.requestIdHeader;
  this->context.mayRunBeside = this->handlers.mayRunBeside;
  this->context.limits = this->BoundedLimits(this->config.limits);
  this->context.readBuffer.resize(kReadBufferBytes);
  this->context.refreshLimits = [this] { this->ApplyNewLimits(); };
  this->context.onRequest =
    [this](HttpConnection& aConnection, RequestId aId, HttpRequest aRequest) {
      this->HandleRequest(aConnection, aId, std::move(aRequest));
    };
  this->context.onAnswered = [this](HttpConnection& aConnection) {
    this->HandleAnswered(aConnection);
  };
  this->context.onWriteBlocked = [this](HttpConnection& aConnection) {
    epoll_event event{};
    event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
    event.data.u64 = aConnection.Id();
    epoll_ctl(
      this->epollDescriptor, EPOLL_CTL_MOD, aConnection.Socket(), &event);
  };
  this->context.onClosed = [this](HttpConnection& aConnection) {
    this->HandleClosed(aConnection);
  };
  this->context.announcesClose = [this] {
    return this->hasStoppedAccepting || this->isCloseAnnounced;
  };
}

HttpServer::Impl::~Impl()
{
  this->Stop();
}

bool
HttpServer::Impl::Start()
{
  if (!this->OpenDescriptors()) {
    kLog.Error("cannot listen at {}:{}: {}",
               this->config.address,
               this->config.port,
               std::strerror(errno));
    this->CloseDescriptors();
    return false;
  }
  this->thread = std::thread([this] { this->Run(); });
  kLog.Info("listening at {}:{}", this->config.address, this->config.port);
  return true;
}

bool
HttpServer::Impl::OpenDescriptors()
{
  this->epollDescriptor = epoll_create1(EPOLL_CLOEXEC);
  this->wakeEvent = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.u64 = kWakeToken;
  return this->epollDescriptor >= 0 && this->wakeEvent >= 0 &&
         epoll_ctl(
           this->epollDescriptor, EPOLL_CTL_ADD, this->wakeEvent, &event) ==
           0 &&
         this->listener.Open(this->config.address, this->config.port) &&
         this->listener.Register(this->epollDescriptor, kListenerToken);
}

void
HttpServer::Impl::CloseDescriptors()
{
  for (int* descriptor : { &this->epollDescriptor, &this->wakeEvent }) {
    if (*descriptor >= 0) {
      close(std::exchange(*descriptor, -1));
    }
  }
}

void
HttpServer::Impl::Run()
{
  this->serverThread = std::this_thread::get_id();
  std::array<epoll_event, kMaxEvents> events{};
  while (!this->isStopping) {
    const int count = epoll_wait(
      this->epollDescriptor, events.data(), kMaxEvents, this->WaitMillis());
    for (int i = 0; i < count; ++i) {
      const epoll_event& event = events[static_cast<std::size_t>(i)];
      this->HandleEvent(event.data.u64, event.events);
    }
    this->HandleQueued();
    this->CheckTimeouts();
    this->LimitAccepting();
  }
  this->HandleQueued(); // Sends the answers that were given before Stop().
  std::ranges::for_each(this->OpenConnections(), &HttpConnection::Close);
  const std::lock_guard lock(this->mutex);
  this->unanswered.clear(); // Later answers find no server thread.
}

void
HttpServer::Impl::HandleEvent(std::uint64_t aToken, std::uint32_t aEvents)
{
  if (aToken == kWakeToken) {
    eventfd_t count = 0;
    eventfd_read(this->wakeEvent, &count);
    return; // What was queued is handled after the events.
  }
  if (aToken == kListenerToken) {
    const auto used = this->connections.size();
    const auto free =
      this->config.maxConnections - std::min(used, this->config.maxConnections);
    this->hasNoDescriptors =
      !this->listener.AcceptPending(std::min(free, kMaxAcceptsPerEvent));
    return;
  }
  if (const auto found = this->connections.find(aToken);
      found != this->connections.end()) {
    const HttpConnection::Ptr connection = found->second;
    connection->HandleEvents(aEvents);
    this->EndOverLimits();
  }
}

/** Handles what other threads and the listener have left for this thread. */
void
HttpServer::Impl::HandleQueued()
{
  this->hasOwnWork = false;
  this->ApplyNewLimits();
  std::vector<FinishedRequest> requests;
  std::vector<AcceptedSocket> sockets;
  {
    const std::lock_guard lock(this->mutex);
    this->isWakePending = false;
    requests.swap(this->finished);
    sockets.swap(this->accepted);
  }
  std::ranges::for_each(sockets, [this](const AcceptedSocket& aAccepted) {
    this->AddConnection(aAccepted);
  });
  for (FinishedRequest& request : requests) {
    const auto found = this->connections.find(request.connection);
    if (found == this->connections.end()) {
      kLog.Debug("dropped an answer: the caller of request {} has disconnected",
                 request.request);
      this->context.memory.Release(request.request);
      continue;
    }
    const HttpConnection::Ptr connection = found->second;
    if (request.answer) {
      connection->Answer(request.request, std::move(*request.answer));
    } else {
      connection->Abort(request.request);
    }
    this->EndOverLimits();
  }
}

void
HttpServer::Impl::ApplyNewLimits()
{
  if (!this->hasNewLimits.exchange(false)) {
    return;
  }
  const std::lock_guard lock(this->mutex);
  if (this->newLimits) {
    this->context.limits = this->BoundedLimits(*this->newLimits);
  }
  this->newLimits.reset();
}

void
HttpServer::Impl::AddConnection(const AcceptedSocket& aAccepted)
{
  if (!this->context.memory.MayOpen(aAccepted.callerAddress)) {
    kLog.Decision("caller-ended",
                  "caller={} limit=address-connections bound={} outcome=closed",
                  aAccepted.callerAddress,
                  this->config.memory.addressConnections);
    this->context.memory.CountClosed(CallerLimit::AddressConnections);
    close(aAccepted.socket);
    return;
  }
  const auto connection =
    std::make_shared<HttpConnection>(this->context,
                                     ++this->lastConnectionId,
                                     aAccepted.socket,
                                     aAccepted.callerAddress);
  epoll_event event{};
  event.events = EPOLLIN | EPOLLRDHUP | EPOLLET;
  event.data.u64 = connection->Id();
  if (epoll_ctl(
        this->epollDescriptor, EPOLL_CTL_ADD, aAccepted.socket, &event) != 0) {
    kLog.Warning("cannot watch a connection: {}", std::strerror(errno));
    return;
  }
  if (this->connections.empty()) {
    this->timeoutsDueAt = this->clock.Now() + kTimeoutCheckInterval;
  }
  this->connections[connection->Id()] = connection;
}

/** Leaves connections above the limit in the listen queue. */
void
HttpServer::Impl::LimitAccepting()
{
  this->MakeRoom();
  const bool mayAccept =
    this->connections.size() < this->config.maxConnections &&
    !this->hasNoDescriptors;
  if (mayAccept != this->isAccepting) {
    this->isAccepting = mayAccept;
    this->listener.SetEnabled(mayAccept);
  }
}

int
HttpServer::Impl::WaitMillis() const
{
  if (this->hasOwnWork) {
    return 0;
  }
  if (this->connections.empty() && !this->hasNoDescriptors) {
    return -1;
  }
  return static_cast<int>(
    std::max<Millis>(0, this->timeoutsDueAt - this->clock.Now()));
}

void
HttpServer::Impl::CheckTimeouts()
{
  const Millis now = this->clock.Now();
  if (now < this->timeoutsDueAt) {
    return;
  }
  this->timeoutsDueAt = now + kTimeoutCheckInterval;
  this->hasNoDescriptors = false; // Tries to accept again.
  std::ranges::for_each(this->OpenConnections(), &HttpConnection::CheckTimeout);
}

/** Returns a copy, because connections that close leave the table. */
std::vector<HttpConnection::Ptr>
HttpServer::Impl::OpenConnections() const
{
  std::vector<HttpConnection::Ptr> open;
  open.reserve(this->connections.size());
  std::ranges::transform(this->connections,
                         std::back_inserter(open),
                         [](const auto& aOpen) { return aOpen.second; });
  return open;
}

/** The mutex must be locked. */
void
HttpServer::Impl::Wake()
{
  if (std::this_thread::get_id() == this->serverThread) {
    this->hasOwnWork = true;
  } else if (!std::exchange(this->isWakePending, true)) {
    eventfd_write(this->wakeEvent, 1);
  }
}

void
HttpServer::Impl::AnnounceClose()
{
  this->isCloseAnnounced = true;
}

void
HttpServer::Impl::SetLimits(const ConnectionLimits& aLimits)
{
  const std::lock_guard lock(this->mutex);
  this->newLimits = aLimits;
  this->hasNewLimits = true;
  this->Wake();
}

void
HttpServer::Impl::StopAccepting()
{
  if (this->epollDescriptor < 0 || this->hasStoppedAccepting.exchange(true)) {
    return;
  }
  this->listener.Close();
  {
    const std::lock_guard lock(this->mutex);
    this->Wake();
  }
  kLog.Info("stopped accepting connections, {} requests are in flight",
            this->inFlight.load());
}

void
HttpServer::Impl::Stop()
{
  if (this->epollDescriptor < 0) {
    return;
  }
  this->StopAccepting();
  this->isStopping = true;
  eventfd_write(this->wakeEvent, 1);
  this->thread.join();
  this->inFlight = 0;
  this->CloseDescriptors();
}

std::size_t
HttpServer::Impl::InFlight() const
{
  return this->inFlight;
}

std::uint64_t
HttpServer::Impl::AnswersLost() const
{
  return this->answersLost;
}

PipelineCounts
HttpServer::Impl::Pipelining() const
{
  return this->context.pipelineBudget.Counts();
}

} // namespace lacewingwharf
