#include "httpserver/standinserver.h"

#include "common/log.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <poll.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <thread>

namespace lacewingwharf {

namespace {

constexpr Log kLog("http-server");

/** How often suspended connections are checked for a disconnected caller. */
constexpr Millis kDisconnectCheckInterval = 20;

/** The libmicrohttpd context of a request while it is read and answered. */
using ExchangePointer = std::shared_ptr<StandinExchange>;

struct BodyReader
{
  StandinAnswer answer;
  MHD_Connection* connection = nullptr;
  StandinServer* server = nullptr;
  std::uint64_t pausedPosition = 0;
};

MHD_Result
AddValue(void* aMap, MHD_ValueKind aKind, const char* aKey, const char* aValue)
{
  auto& values = *static_cast<std::map<std::string, std::string>*>(aMap);
  std::string key = aKey;
  if (aKind == MHD_HEADER_KIND) {
    std::ranges::transform(key, key.begin(), [](unsigned char aCharacter) {
      return static_cast<char>(std::tolower(aCharacter));
    });
  }
  values[key] = aValue == nullptr ? "" : aValue;
  return MHD_YES;
}

ssize_t
ReadBody(void* aReader,
         std::uint64_t aPosition,
         char* aBuffer,
         std::size_t aMax)
{
  auto& reader = *static_cast<BodyReader*>(aReader);
  const StandinAnswer& answer = reader.answer;
  if (aPosition >= answer.cutAfterBytes) {
    return MHD_CONTENT_READER_END_WITH_ERROR;
  }
  const bool isInPieces = answer.pieceBytes > 0 && answer.pieceDelay > 0;
  if (isInPieces && aPosition > reader.pausedPosition) {
    reader.pausedPosition = aPosition;
    MHD_Connection* connection = reader.connection;
    MHD_suspend_connection(connection);
    const auto resume = [connection] { MHD_resume_connection(connection); };
    if (!reader.server->RunAfter(answer.pieceDelay, resume)) {
      resume();
    }
    return 0;
  }
  std::size_t bytes = std::min(aMax, answer.body.size() - aPosition);
  bytes = std::min(bytes, answer.cutAfterBytes - aPosition);
  if (isInPieces) {
    bytes = std::min(bytes, answer.pieceBytes);
  }
  std::copy_n(answer.body.data() + aPosition, bytes, aBuffer);
  return static_cast<ssize_t>(bytes);
}

void
FreeReader(void* aReader)
{
  delete static_cast<BodyReader*>(aReader);
}

} // namespace

struct StandinServer::Callbacks
{
  static MHD_Result OnAccess(void* aServer,
                             MHD_Connection* aConnection,
                             const char* aUrl,
                             const char* aMethod,
                             const char*,
                             const char* aData,
                             std::size_t* aDataSize,
                             void** aContext)
  {
    auto& server = *static_cast<StandinServer*>(aServer);
    if (*aContext == nullptr) {
      *aContext =
        new ExchangePointer(std::make_shared<StandinExchange>(aConnection));
      StandinExchange& exchange = **static_cast<ExchangePointer*>(*aContext);
      exchange.request.method = aMethod;
      exchange.request.path = aUrl;
      return MHD_YES;
    }
    StandinExchange& exchange = **static_cast<ExchangePointer*>(*aContext);
    if (*aDataSize > 0) {
      std::string& body = exchange.request.body;
      const std::size_t remainingBytes =
        server.config.maxBodyBytes - body.size();
      body.append(aData, std::min(remainingBytes, *aDataSize));
      *aDataSize = 0;
      return MHD_YES;
    }
    return static_cast<MHD_Result>(server.OnRequest(aConnection, aContext));
  }

  static void OnCompleted(void* aServer,
                          MHD_Connection*,
                          void** aContext,
                          MHD_RequestTerminationCode)
  {
    auto* const exchange = static_cast<ExchangePointer*>(*aContext);
    if (exchange != nullptr && (*exchange)->wasDispatched) {
      --static_cast<StandinServer*>(aServer)->openExchanges;
    }
    delete exchange;
    *aContext = nullptr;
  }

  static void OnConnection(void*,
                           MHD_Connection*,
                           void** aSocketContext,
                           MHD_ConnectionNotificationCode aCode)
  {
    if (aCode == MHD_CONNECTION_NOTIFY_STARTED) {
      *aSocketContext = new std::uint64_t(0);
    } else {
      delete static_cast<std::uint64_t*>(*aSocketContext);
      *aSocketContext = nullptr;
    }
  }
};

StandinServer::StandinServer(StandinServerConfig aConfig, Handler aHandler)
  : config(std::move(aConfig))
  , handler(std::move(aHandler))
{
}

StandinServer::~StandinServer()
{
  this->Stop();
}

bool
StandinServer::Start()
{
  constexpr unsigned int kBacklog = 1024;
  constexpr std::size_t kConnectionMemoryBytes = 256U << 10U; // Long heads.
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(this->config.port);
  if (inet_pton(AF_INET, this->config.address.c_str(), &address.sin_addr) !=
      1) {
    return false;
  }
  this->daemon =
    MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME,
                     this->config.port,
                     nullptr,
                     nullptr,
                     &Callbacks::OnAccess,
                     this,
                     MHD_OPTION_SOCK_ADDR,
                     reinterpret_cast<sockaddr*>(&address), // NOLINT
                     MHD_OPTION_CONNECTION_LIMIT,
                     this->config.maxConnections,
                     MHD_OPTION_CONNECTION_MEMORY_LIMIT,
                     kConnectionMemoryBytes,
                     MHD_OPTION_LISTEN_BACKLOG_SIZE,
                     kBacklog,
                     MHD_OPTION_NOTIFY_COMPLETED,
                     &Callbacks::OnCompleted,
                     this,
                     MHD_OPTION_NOTIFY_CONNECTION,
                     &Callbacks::OnConnection,
                     nullptr,
                     MHD_OPTION_END);
  if (this->daemon == nullptr) {
    kLog.Error("cannot listen on {}:{}: {}",
               this->config.address,
               this->config.port,
               std::strerror(errno));
    return false;
  }
  this->RunAfter(kDisconnectCheckInterval,
                 [this] { this->FindDisconnectedCallers(); });
  return true;
}

void
StandinServer::Stop()
{
  std::list<std::weak_ptr<StandinExchange>> waiting;
  {
    const std::lock_guard lock(this->mutex);
    this->isStopping = true;
    waiting.swap(this->pending);
  }
  for (const auto& weak : waiting) {
    if (const auto exchange = weak.lock()) {
      exchange->Abort();
    }
  }
  if (this->daemon != nullptr) {
    this->WaitForOpenExchanges();
  }
  this->timer.Stop();
  if (this->daemon != nullptr) {
    MHD_stop_daemon(this->daemon);
    this->daemon = nullptr;
  }
}

/**
 * MHD_stop_daemon() would cut answers that its thread has not sent yet. A
 * caller that does not read its answer is not waited for.
 */
void
StandinServer::WaitForOpenExchanges() const
{
  constexpr std::chrono::milliseconds kPollInterval(2);
  constexpr int kMaxPolls = 1500;
  for (int i = 0; i<kMaxPolls&& this->openExchanges> 0; ++i) {
    std::this_thread::sleep_for(kPollInterval);
  }
}

bool
StandinServer::RunAfter(Millis aDelay, std::function<void()> aTask)
{
  return this->timer.RunAfter(aDelay, std::move(aTask));
}

int
StandinServer::OnRequest(MHD_Connection* aConnection, void** aContext)
{
  const ExchangePointer exchange = *static_cast<ExchangePointer*>(*aContext);
  if (exchange->state != StandinExchange::State::Reading) {
    return this->SendAnswer(*exchange);
  }
  StandinRequest& request = exchange->request;
  MHD_get_connection_values(
    aConnection, MHD_HEADER_KIND, &AddValue, &request.headers);
  MHD_get_connection_values(
    aConnection, MHD_GET_ARGUMENT_KIND, &AddValue, &request.query);
  const auto* info =
    MHD_get_connection_info(aConnection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  auto* index = static_cast<std::uint64_t*>(info->socket_context);
  request.indexOnConnection = (*index)++;
  this->DispatchRequest(exchange);
  return MHD_YES;
}

int
StandinServer::SendAnswer(StandinExchange& aExchange)
{
  const std::lock_guard lock(aExchange.mutex);
  if (aExchange.state == StandinExchange::State::Waiting) {
    return MHD_YES;
  }
  if (aExchange.state == StandinExchange::State::Aborted) {
    return MHD_NO;
  }
  MHD_Response* response = this->MakeResponse(aExchange);
  for (const auto& [name, value] : aExchange.answer.headers) {
    MHD_add_response_header(response, name.c_str(), value.c_str());
  }
  const MHD_Result queued =
    MHD_queue_response(aExchange.connection, aExchange.answer.status, response);
  MHD_destroy_response(response);
  return queued;
}

MHD_Response*
StandinServer::MakeResponse(StandinExchange& aExchange)
{
  constexpr std::size_t kBlockBytes = 32768;
  StandinAnswer& answer = aExchange.answer;
  const bool isPlain =
    answer.cutAfterBytes >= answer.body.size() && answer.pieceBytes == 0;
  if (isPlain) {
    return MHD_create_response_from_buffer(
      answer.body.size(), answer.body.data(), MHD_RESPMEM_MUST_COPY);
  }
  auto* reader = new BodyReader;
  reader->answer = answer;
  reader->connection = aExchange.connection;
  reader->server = this;
  return MHD_create_response_from_callback(
    answer.body.size(), kBlockBytes, &ReadBody, reader, &FreeReader);
}

void
StandinServer::DispatchRequest(const ExchangePointer& aExchange)
{
  aExchange->Suspend();
  aExchange->wasDispatched = true;
  ++this->openExchanges;
  bool isRefused = false;
  {
    const std::lock_guard lock(this->mutex);
    isRefused = this->isStopping;
    this->pending.push_back(aExchange);
  }
  if (isRefused) {
    aExchange->Abort();
    return;
  }
  this->handler(aExchange);
}

void
StandinServer::FindDisconnectedCallers()
{
  std::vector<ExchangePointer> waiting;
  {
    const std::lock_guard lock(this->mutex);
    if (this->isStopping) {
      return;
    }
    std::erase_if(this->pending, [&waiting](const auto& aWeak) {
      const auto exchange = aWeak.lock();
      if (!exchange) {
        return true;
      }
      const std::lock_guard exchangeLock(exchange->mutex);
      const bool isFinished =
        exchange->state != StandinExchange::State::Waiting;
      if (!isFinished) {
        waiting.push_back(exchange);
      }
      return isFinished;
    });
  }
  std::vector<pollfd> sockets;
  sockets.reserve(waiting.size());
  for (const auto& exchange : waiting) {
    sockets.push_back({ exchange->socketFd, POLLRDHUP, 0 });
  }
  poll(sockets.data(), sockets.size(), 0);
  for (std::size_t i = 0; i < waiting.size(); ++i) {
    if ((sockets[i].revents & (POLLRDHUP | POLLERR | POLLHUP)) != 0) {
      waiting[i]->HandleDisconnect();
    }
  }
  this->RunAfter(kDisconnectCheckInterval,
                 [this] { this->FindDisconnectedCallers(); });
}

} // namespace lacewingwharf
