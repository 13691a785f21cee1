#include "proxy/hangupwatcher.h"

#include "common/log.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>

namespace lacewingwharf {

namespace {

constexpr Log kLog("http");

constexpr int kMaxEvents = 64;

// Tokens are request ids, which begin at 1.
constexpr std::uint64_t kStopToken = 0;

bool
AddToPoller(int aPoller,
            int aSocket,
            std::uint32_t aEvents,
            std::uint64_t aToken)
{
  epoll_event event{};
  event.events = aEvents;
  event.data.u64 = aToken;
  return epoll_ctl(aPoller, EPOLL_CTL_ADD, aSocket, &event) == 0;
}

} // namespace

HangupWatcher::HangupWatcher(OnHangup aOnHangup)
  : onHangup(std::move(aOnHangup))
{
}

HangupWatcher::~HangupWatcher()
{
  this->Stop();
}

bool
HangupWatcher::Start()
{
  this->poller = epoll_create1(EPOLL_CLOEXEC);
  this->stopper = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
  if (this->poller < 0 || this->stopper < 0 ||
      !AddToPoller(this->poller, this->stopper, EPOLLIN, kStopToken)) {
    kLog.Error("cannot watch callers: {}", std::strerror(errno));
    return false;
  }
  this->thread = std::thread([this] { this->Run(); });
  return true;
}

void
HangupWatcher::Stop()
{
  if (this->thread.joinable()) {
    eventfd_write(this->stopper, 1);
    this->thread.join();
  }
  for (int* descriptor : { &this->poller, &this->stopper }) {
    if (*descriptor >= 0) {
      close(*descriptor);
      *descriptor = -1;
    }
  }
}

void
HangupWatcher::Watch(int aSocket, std::uint64_t aToken)
{
  if (!AddToPoller(this->poller, aSocket, EPOLLRDHUP | EPOLLONESHOT, aToken)) {
    kLog.Warning("cannot watch a caller: {}", std::strerror(errno));
  }
}

void
HangupWatcher::Unwatch(int aSocket)
{
  epoll_ctl(this->poller, EPOLL_CTL_DEL, aSocket, nullptr);
}

void
HangupWatcher::Run()
{
  while (this->Dispatch()) {
  }
}

bool
HangupWatcher::Dispatch()
{
  std::array<epoll_event, kMaxEvents> events{};
  const int count = epoll_wait(this->poller, events.data(), kMaxEvents, -1);
  for (int i = 0; i < count; ++i) {
    const std::uint64_t token = events[static_cast<std::size_t>(i)].data.u64;
    if (token == kStopToken) {
      return false;
    }
    this->onHangup(token);
  }
  return true;
}

} // namespace lacewingwharf
