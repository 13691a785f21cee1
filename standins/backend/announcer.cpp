#include "announcer.h"

#include "store/storetransfer.h"

#include <chrono>

namespace lacewingwharf {

namespace {

constexpr std::chrono::seconds kAnnounceInterval(1);
constexpr Millis kTimeout = 900;
constexpr std::size_t kMaxAnswerBytes = 65536;

} // namespace

Announcer::Announcer(std::string aUrl, std::function<std::string()> aMakeBody)
  : url(std::move(aUrl))
  , makeBody(std::move(aMakeBody))
{
}

Announcer::~Announcer()
{
  this->Stop();
}

void
Announcer::Start()
{
  this->thread = std::thread([this] { this->Run(); });
}

void
Announcer::Stop()
{
  {
    const std::lock_guard lock(this->mutex);
    this->isStopping = true;
  }
  this->changed.notify_all();
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void
Announcer::Wake()
{
  {
    const std::lock_guard lock(this->mutex);
    this->isWoken = true;
  }
  this->changed.notify_all();
}

void
Announcer::Run()
{
  StoreTransfer transfer;
  std::unique_lock lock(this->mutex);
  while (!this->isStopping) {
    this->isWoken = false;
    lock.unlock();
    TransferRequest request;
    request.kind = TransferRequest::Kind::Write;
    request.url = this->url;
    request.body = this->makeBody();
    request.headers = { "Content-Type: application/json" };
    request.connectTimeout = kTimeout;
    request.timeout = kTimeout;
    request.maxAnswerBytes = kMaxAnswerBytes;
    if (!request.body.empty()) {
      // A failure is ignored because the next interval announces again.
      (void)transfer.Run(request);
    }
    lock.lock();
    this->changed.wait_for(lock, kAnnounceInterval, [this] {
      return this->isStopping || this->isWoken;
    });
  }
}

} // namespace lacewingwharf
