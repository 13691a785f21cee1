#include "proxy/httpclient.h"

#include "common/log.h"
#include "common/ring.h"
#include "proxy/clientsockets.h"
#include "proxy/httptransfer.h"

#include <curl/curl.h>

#include <atomic>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lacewingwharf {

namespace {

constexpr Log kLog("http");

constexpr std::size_t kMaxCommands = 8192;

// Idle connections count towards the connection limits of backend servers.
constexpr long kMaxIdleConnections = 256;

constexpr std::size_t kMaxSpareHandles = 64;

// libcurl ends a wait earlier when one of its own timers is due.
constexpr Millis kMaxWait = 1000;

/** libcurl must be initialized once before any thread uses it. */
void
InitializeCurl()
{
  static const CURLcode sResult = curl_global_init(CURL_GLOBAL_DEFAULT);
  if (sResult != CURLE_OK) {
    kLog.Error("cannot initialize libcurl: {}", curl_easy_strerror(sResult));
  }
}

struct Command
{
  bool isCancel = false;
  HttpExchange exchange; // For a cancellation, only the id is set.
};

} // namespace

class HttpClient::Impl
{
public:
  Impl(OnResult aOnResult, std::size_t aMaxAnswerBytes);
  ~Impl();

  void Start();
  void Stop();
  bool Push(Command aCommand);
  void RunOnce();
  void Wait(Millis aLimit);
  void Wake();

private:
  void Run();
  void RunCommands();
  void Begin(HttpExchange aExchange);
  EasyHandle AcquireHandle();
  void RecycleHandle(HttpTransfer& aTransfer);
  void Cancel(const std::string& aId);
  void CollectFinished();
  void CancelAll();

  OnResult onResult;
  std::size_t maxAnswerBytes;
  ClientSockets sockets; // Used by libcurl until multi is cleaned up.
  CURLM* multi;
  Ring<Command> commands;
  std::atomic<bool> isStopping{ false };
  std::atomic<bool> hasOwnThread{ false };
  std::thread thread;
  std::unordered_map<std::string, std::unique_ptr<HttpTransfer>> transfers;
  std::vector<EasyHandle> spareHandles;
};

HttpClient::Impl::Impl(OnResult aOnResult, std::size_t aMaxAnswerBytes)
  : onResult(std::move(aOnResult))
  , maxAnswerBytes(aMaxAnswerBytes)
  , multi((InitializeCurl(), curl_multi_init()))
  , commands(kMaxCommands, [this] {
    if (this->hasOwnThread) {
      this->Wake();
    }
  })
{
  curl_multi_setopt(this->multi, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
  curl_multi_setopt(this->multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
}

HttpClient::Impl::~Impl()
{
  this->Stop();
  curl_multi_cleanup(this->multi);
}

void
HttpClient::Impl::Start()
{
  this->hasOwnThread = true;
  this->thread = std::thread([this] { this->Run(); });
}

void
HttpClient::Impl::Stop()
{
  this->commands.Close();
  this->isStopping = true;
  if (this->thread.joinable()) {
    this->Wake();
    this->thread.join();
  }
  this->RunCommands();
  this->CancelAll();
}

bool
HttpClient::Impl::Push(Command aCommand)
{
  return this->commands.Push(std::move(aCommand));
}

void
HttpClient::Impl::Run()
{
  while (!this->isStopping) {
    this->RunOnce();
    this->Wait(kMaxWait);
  }
}

void
HttpClient::Impl::RunOnce()
{
  this->RunCommands();
  int running = 0;
  curl_multi_perform(this->multi, &running);
  this->CollectFinished();
}

void
HttpClient::Impl::Wait(Millis aLimit)
{
  const int limit = static_cast<int>(aLimit);
  curl_multi_poll(this->multi, nullptr, 0, limit, nullptr);
}

void
HttpClient::Impl::Wake()
{
  curl_multi_wakeup(this->multi);
}

void
HttpClient::Impl::RunCommands()
{
  for (Command& command : this->commands.Drain(0)) {
    if (command.isCancel) {
      this->Cancel(command.exchange.id);
    } else {
      this->Begin(std::move(command.exchange));
    }
  }
}

void
HttpClient::Impl::Begin(HttpExchange aExchange)
{
  const std::string id = aExchange.id;
  auto transfer = std::make_unique<HttpTransfer>(std::move(aExchange),
                                                 this->maxAnswerBytes,
                                                 this->AcquireHandle(),
                                                 this->sockets);
  if (this->transfers.contains(id) || !transfer->Prepare() ||
      curl_multi_add_handle(this->multi, transfer->Handle()) != CURLM_OK) {
    kLog.Warning("cannot start exchange {}", id);
    this->onResult(transfer->Finish(CURLE_FAILED_INIT));
    return;
  }
  this->transfers.emplace(id, std::move(transfer));
}

/** Reuses a handle if possible: a reset costs less than a new handle. */
EasyHandle
HttpClient::Impl::AcquireHandle()
{
  if (this->spareHandles.empty()) {
    return EasyHandle(curl_easy_init());
  }
  EasyHandle handle = std::move(this->spareHandles.back());
  this->spareHandles.pop_back();
  return handle;
}

void
HttpClient::Impl::RecycleHandle(HttpTransfer& aTransfer)
{
  if (this->spareHandles.size() < kMaxSpareHandles) {
    this->spareHandles.push_back(aTransfer.TakeHandle());
  }
}

/** Removing a handle before its transfer ends closes the connection. */
void
HttpClient::Impl::Cancel(const std::string& aId)
{
  auto transferNode = this->transfers.extract(aId);
  if (transferNode.empty()) {
    return;
  }
  curl_multi_remove_handle(this->multi, transferNode.mapped()->Handle());
  this->onResult(transferNode.mapped()->Cancel());
}

void
HttpClient::Impl::CollectFinished()
{
  int remainingMessages = 0;
  while (const CURLMsg* message =
           curl_multi_info_read(this->multi, &remainingMessages)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    // Removing the handle invalidates the message.
    const CURLcode code = message->data.result;
    CURL* handle = message->easy_handle;
    HttpTransfer* transfer = nullptr;
    curl_easy_getinfo(handle, CURLINFO_PRIVATE, &transfer);
    curl_multi_remove_handle(this->multi, handle);
    auto transferNode = this->transfers.extract(transfer->Id());
    if (transfer->FoundUnreadBytes()) {
      // Nothing was sent, and libcurl has closed the connection.
      HttpExchange exchange = transfer->TakeExchange();
      kLog.Decision("unread-bytes", "call={} action=reconnect", exchange.id);
      this->RecycleHandle(*transferNode.mapped());
      this->Begin(std::move(exchange));
      continue;
    }
    this->onResult(transferNode.mapped()->Finish(code));
    this->RecycleHandle(*transferNode.mapped());
  }
}

void
HttpClient::Impl::CancelAll()
{
  while (!this->transfers.empty()) {
    const std::string id = this->transfers.begin()->first;
    this->Cancel(id);
  }
}

HttpClient::HttpClient(OnResult aOnResult, std::size_t aMaxAnswerBytes)
  : impl(std::make_unique<Impl>(std::move(aOnResult), aMaxAnswerBytes))
{
}

HttpClient::~HttpClient() = default;

void
HttpClient::Start()
{
  this->impl->Start();
}

void
HttpClient::Stop()
{
  this->impl->Stop();
}

void
HttpClient::RunOnce()
{
  this->impl->RunOnce();
}

void
HttpClient::Wait(Millis aLimit)
{
  this->impl->Wait(aLimit);
}

void
HttpClient::Wake()
{
  this->impl->Wake();
}

bool
HttpClient::Submit(HttpExchange aExchange)
{
  return this->impl->Push({ false, std::move(aExchange) });
}

void
HttpClient::Cancel(const std::string& aId)
{
  Command command;
  command.isCancel = true;
  command.exchange.id = aId;
  if (!this->impl->Push(std::move(command))) {
    kLog.Warning(
      "cannot cancel exchange {}, it runs until its time limit: the command "
      "queue is full",
      aId);
  }
}

} // namespace lacewingwharf
