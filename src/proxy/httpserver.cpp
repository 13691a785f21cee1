#include "proxy/httpserver.h"

#include "common/log.h"
#include "proxy/httpserverimpl.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdarg>
#include <cstdio>
#include <cstring>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr Log kLog("http");

// libmicrohttpd stores the request head, a copy of its cookies, a record for
// each header and cookie, and the head of the answer in one pool per
// connection. If the answer does not fit, it closes the connection without one,
// although the request has run.
constexpr std::size_t kPoolBytesPerHeaderByte = 3;

constexpr unsigned int kListenBacklog = 1024;

void
LogLibraryMessage(void* /*aUnused*/, const char* aFormat, va_list aList)
{
  // The library itself answers requests that it cannot parse. This message is
  // their only trace in the log.
  if (!Log::IsEnabled(LogLevel::Info)) {
    return;
  }
  std::array<char, 512> text{};
  std::vsnprintf(text.data(), text.size(), aFormat, aList);
  std::string_view line(text.data());
  while (line.ends_with('\n')) {
    line.remove_suffix(1);
  }
  kLog.Info("libmicrohttpd: {}", line);
}

} // namespace

HttpServer::Impl::Impl(HttpServerConfig aConfig, Handlers aHandlers)
  : config(std::move(aConfig))
  , handlers(std::move(aHandlers))
  , watcher(
      [this](RequestId aRequest) { this->HandleCallerDisconnect(aRequest); })
{
}

HttpServer::Impl::~Impl()
{
  this->Stop();
}

bool
HttpServer::Impl::Start()
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(this->config.port));
  if (inet_pton(AF_INET, this->config.address.c_str(), &address.sin_addr) !=
        1 ||
      !this->watcher.Start()) {
    return false;
  }
  std::vector<MHD_OptionItem> options = this->Options(address);
  this->daemon =
    MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME |
                       MHD_USE_ERROR_LOG,
                     0,
                     nullptr,
                     nullptr,
                     &Impl::OnAccess,
                     this,
                     MHD_OPTION_ARRAY,
                     options.data(),
                     MHD_OPTION_END);
  if (this->daemon == nullptr) {
    kLog.Error(
      "cannot listen at {}:{}", this->config.address, this->config.port);
    this->watcher.Stop();
    return false;
  }
  kLog.Info("listening at {}:{}", this->config.address, this->config.port);
  return true;
}

std::vector<MHD_OptionItem>
HttpServer::Impl::Options(sockaddr_in& aAddress)
{
  const auto toOptionValue = [](auto aValue) {
    return static_cast<std::intptr_t>(aValue);
  };
  const auto poolBytes =
    toOptionValue(this->config.maxHeaderBytes * kPoolBytesPerHeaderByte);
  const auto idleSeconds =
    toOptionValue((this->config.idleTimeout + 999) / 1000);
  const auto logger = reinterpret_cast<std::intptr_t>(&LogLibraryMessage);
  const auto onTarget = reinterpret_cast<std::intptr_t>(&Impl::OnTarget);
  const auto onCompleted = reinterpret_cast<std::intptr_t>(&Impl::OnCompleted);
  const auto connections = toOptionValue(this->config.maxConnections);
  std::vector<MHD_OptionItem> options{
    { MHD_OPTION_EXTERNAL_LOGGER, logger, nullptr },
    { MHD_OPTION_SOCK_ADDR, 0, &aAddress },
    { MHD_OPTION_LISTENING_ADDRESS_REUSE, 1, nullptr },
    { MHD_OPTION_LISTEN_BACKLOG_SIZE, kListenBacklog, nullptr },
    { MHD_OPTION_CONNECTION_MEMORY_LIMIT, poolBytes, nullptr },
    { MHD_OPTION_CONNECTION_LIMIT, connections, nullptr },
    { MHD_OPTION_CONNECTION_TIMEOUT, idleSeconds, nullptr },
    { MHD_OPTION_STRICT_FOR_CLIENT, 1, nullptr },
    { MHD_OPTION_URI_LOG_CALLBACK, onTarget, this },
    { MHD_OPTION_NOTIFY_COMPLETED, onCompleted, this }
  };
  if (this->config.threads > 1) {
    const auto threads = toOptionValue(this->config.threads);
    options.push_back({ MHD_OPTION_THREAD_POOL_SIZE, threads, nullptr });
  }
  options.push_back({ MHD_OPTION_END, 0, nullptr });
  return options;
}

void*
HttpServer::Impl::OnTarget(void* aServer,
                           const char* aTarget,
                           MHD_Connection* /*aConnection*/)
{
  auto* server = static_cast<Impl*>(aServer);
  return new ServerExchange(
    HttpRequestReader(server->config, aTarget == nullptr ? "" : aTarget));
}

MHD_Result
HttpServer::Impl::OnAccess(void* aServer,
                           MHD_Connection* aConnection,
                           const char* /*aUrl*/,
                           const char* aMethod,
                           const char* /*aVersion*/,
                           const char* aBytes,
                           std::size_t* aSize,
                           void** aExchange)
{
  auto* server = static_cast<Impl*>(aServer);
  auto* exchange = static_cast<ServerExchange*>(*aExchange);
  if (exchange == nullptr) {
    return QueueRefusal(aConnection, MHD_HTTP_BAD_REQUEST);
  }
  const std::string_view bytes(aBytes == nullptr ? "" : aBytes, *aSize);
  return server->ReadRequest(*exchange, aConnection, aMethod, bytes, *aSize);
}

MHD_Result
HttpServer::Impl::ReadRequest(ServerExchange& aExchange,
                              MHD_Connection* aConnection,
                              const char* aMethod,
                              std::string_view aBytes,
                              std::size_t& aUnread)
{
  if (aExchange.wasDispatched) {
    return this->QueueAnswer(aExchange, aConnection);
  }
  if (!aExchange.isHeadRead) {
    aExchange.isHeadRead = true;
    const int status = aExchange.reader.ReadHead(aConnection, aMethod);
    return status == 0 ? MHD_YES : QueueRefusal(aConnection, status);
  }
  if (!aBytes.empty()) {
    aUnread = 0;
    return this->ReadBody(aExchange, aBytes);
  }
  if (aExchange.refusalStatus != 0) {
    return QueueRefusal(aConnection, aExchange.refusalStatus);
  }
  this->DispatchRequest(aExchange, aConnection);
  return MHD_YES;
}

/**
 * Discards the rest of a refused body, because libmicrohttpd accepts no answer
 * before the end of the body. Closes the connection when too much is discarded.
 */
MHD_Result
HttpServer::Impl::ReadBody(ServerExchange& aExchange, std::string_view aBytes)
{
  if (aExchange.refusalStatus == 0) {
    aExchange.refusalStatus = aExchange.reader.ReadBody(aBytes);
  }
  if (aExchange.refusalStatus != 0) {
    aExchange.discardedBytes += aBytes.size();
  }
  return aExchange.discardedBytes > this->config.maxBodyBytes ? MHD_NO
                                                              : MHD_YES;
}

void
HttpServer::Impl::DispatchRequest(ServerExchange& aExchange,
                                  MHD_Connection* aConnection)
{
  RequestId id = 0;
  HttpRequest request = aExchange.reader.TakeRequest();
  ++this->inFlight;
  {
    const std::lock_guard lock(this->mutex);
    id = ++this->lastRequestId;
    aExchange.id = id;
    aExchange.wasDispatched = true;
    aExchange.state = ServerExchange::State::Suspended;
    aExchange.connection = aConnection;
    aExchange.socket = SocketOf(aConnection);
    MHD_suspend_connection(aConnection);
    this->suspended.emplace(id, &aExchange);
  }
  this->handlers.onRequest(id, std::move(request));
  // The watch starts only now, so that onCallerDisconnected is never called
  // before onRequest.
  const std::lock_guard lock(this->mutex);
  if (const auto found = this->suspended.find(id);
      found != this->suspended.end()) {
    this->watcher.Watch(found->second->socket, id);
  }
}

/** Runs on a server thread after the connection was resumed. */
MHD_Result
HttpServer::Impl::QueueAnswer(ServerExchange& aExchange,
                              MHD_Connection* aConnection)
{
  HttpAnswer answer;
  {
    const std::lock_guard lock(this->mutex);
    if (aExchange.state != ServerExchange::State::Answered) {
      return MHD_NO;
    }
    answer = std::move(aExchange.answer);
  }
  const auto status = static_cast<unsigned int>(answer.status);
  MHD_Response* response =
    MakeResponse(std::move(answer), this->isStopping || this->isCloseAnnounced);
  if (response == nullptr) {
    return MHD_NO;
  }
  const MHD_Result result = MHD_queue_response(aConnection, status, response);
  MHD_destroy_response(response);
  return result;
}

void
HttpServer::Impl::OnCompleted(void* aServer,
                              MHD_Connection* /*aConnection*/,
                              void** aExchange,
                              MHD_RequestTerminationCode /*aCode*/)
{
  auto* server = static_cast<Impl*>(aServer);
  auto* exchange = static_cast<ServerExchange*>(*aExchange);
  *aExchange = nullptr;
  if (exchange != nullptr && exchange->wasDispatched) {
    const std::lock_guard lock(server->mutex);
    server->suspended.erase(exchange->id);
    --server->inFlight;
  }
  delete exchange;
}

bool
HttpServer::Impl::Resume(RequestId aRequest,
                         ServerExchange::State aState,
                         std::optional<HttpAnswer> aAnswer)
{
  const std::lock_guard lock(this->mutex);
  const auto found = this->suspended.find(aRequest);
  if (found == this->suspended.end()) {
    return false;
  }
  ServerExchange& exchange = *found->second;
  this->suspended.erase(found);
  exchange.state = aState;
  if (aAnswer) {
    exchange.answer = std::move(*aAnswer);
  }
  this->watcher.Unwatch(exchange.socket);
  MHD_resume_connection(exchange.connection);
  return true;
}

void
HttpServer::Impl::Answer(RequestId aRequest, HttpAnswer aAnswer)
{
  if (!this->Resume(
        aRequest, ServerExchange::State::Answered, std::move(aAnswer))) {
    kLog.Debug("dropped an answer: request {} has ended already", aRequest);
  }
}

void
HttpServer::Impl::Abort(RequestId aRequest)
{
  this->Resume(aRequest, ServerExchange::State::Aborted, std::nullopt);
}

void
HttpServer::Impl::HandleCallerDisconnect(RequestId aRequest)
{
  if (!this->Resume(aRequest, ServerExchange::State::Aborted, std::nullopt)) {
    return;
  }
  kLog.Debug("the caller of request {} has disconnected", aRequest);
  if (this->handlers.onCallerDisconnected) {
    this->handlers.onCallerDisconnected(aRequest);
  }
}

void
HttpServer::Impl::AnnounceClose()
{
  this->isCloseAnnounced = true;
}

void
HttpServer::Impl::StopAccepting()
{
  if (this->daemon == nullptr || this->isStopping.exchange(true)) {
    return;
  }
  const MHD_socket listener = MHD_quiesce_daemon(this->daemon);
  if (listener != MHD_INVALID_SOCKET) {
    this->AcceptPendingConnections(listener);
    close(listener);
  }
  kLog.Info("stopped accepting connections, {} requests are in flight",
            this->inFlight.load());
}

/**
 * Accepts the connections in the listen queue. Closing the listener would reset
 * them, although their callers may have sent requests already.
 */
void
HttpServer::Impl::AcceptPendingConnections(int aListener)
{
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  auto* caller = reinterpret_cast<sockaddr*>(&address);
  int socket = -1;
  while ((socket = accept4(
            aListener, caller, &size, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
    MHD_add_connection(this->daemon, socket, caller, size);
    size = sizeof(address);
  }
}

void
HttpServer::Impl::Stop()
{
  if (this->daemon == nullptr) {
    return;
  }
  this->StopAccepting();
  std::vector<RequestId> unanswered;
  {
    const std::lock_guard lock(this->mutex);
    for (const auto& [id, exchange] : this->suspended) {
      unanswered.push_back(id);
    }
  }
  for (const RequestId id : unanswered) {
    this->Abort(id);
  }
  MHD_stop_daemon(this->daemon);
  this->daemon = nullptr;
  this->watcher.Stop();
}

std::size_t
HttpServer::Impl::InFlight() const
{
  return this->inFlight;
}

HttpServer::HttpServer(HttpServerConfig aConfig, Handlers aHandlers)
  : impl(std::make_unique<Impl>(std::move(aConfig), std::move(aHandlers)))
{
}

HttpServer::~HttpServer() = default;

bool
HttpServer::Start()
{
  return this->impl->Start();
}

void
HttpServer::AnnounceClose()
{
  this->impl->AnnounceClose();
}

void
HttpServer::StopAccepting()
{
  this->impl->StopAccepting();
}

void
HttpServer::Stop()
{
  this->impl->Stop();
}

void
HttpServer::Answer(RequestId aRequest, HttpAnswer aAnswer)
{
  this->impl->Answer(aRequest, std::move(aAnswer));
}

void
HttpServer::Abort(RequestId aRequest)
{
  this->impl->Abort(aRequest);
}

std::size_t
HttpServer::InFlight() const
{
  return this->impl->InFlight();
}

} // namespace lacewingwharf
