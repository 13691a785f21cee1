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

// Tokens are request ids, which start at 1, so 0 is free.
constexpr std::uint64_t kStopToken = 0;

bool
AddToEpoll(int aEpollDescriptor,
           int aSocket,
           std::uint32_t aEvents,
           std::uint64_t aToken)
{
  epoll_event event{};
  event.events = aEvents;
  event.data.u64 = aToken;
  return epoll_ctl(aEpollDescriptor, EPOLL_CTL_ADD, aSocket, &event) == 0;
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
  this->epollDescriptor = epoll_create1(EPOLL_CLOEXEC);
  this->stopEvent = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
  if (this->epollDescriptor < 0 || this->stopEvent < 0 ||
      !AddToEpoll(
        this->epollDescriptor, this->stopEvent, EPOLLIN, kStopToken)) {
    kLog.Error("cannot watch the sockets of callers: {}", std::strerror(errno));
    return false;
  }
  this->thread = std::thread([this] { this->Run(); });
  return true;
}

void
HangupWatcher::Stop()
{
  if (this->thread.joinable()) {
    eventfd_write(this->stopEvent, 1);
    this->thread.join();
  }
  for (int* descriptor : { &this->epollDescriptor, &this->stopEvent }) {
    if (*descriptor >= 0) {
      close(*descriptor);
      *descriptor = -1;
    }
  }
}

void
HangupWatcher::Watch(int aSocket, std::uint64_t aToken)
{
  if (!AddToEpoll(
        this->epollDescriptor, aSocket, EPOLLRDHUP | EPOLLONESHOT, aToken)) {
    kLog.Warning("cannot watch the socket of a caller: {}",
                 std::strerror(errno));
  }
}

void
HangupWatcher::Unwatch(int aSocket)
{
  epoll_ctl(this->epollDescriptor, EPOLL_CTL_DEL, aSocket, nullptr);
}

void
HangupWatcher::Run()
{
  while (this->DispatchEvents()) {
  }
}

bool
HangupWatcher::DispatchEvents()
{
  std::array<epoll_event, kMaxEvents> events{};
  const int count =
    epoll_wait(this->epollDescriptor, events.data(), kMaxEvents, -1);
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
