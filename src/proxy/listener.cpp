#include "proxy/listener.h"

#include "common/log.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <limits>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr Log kLog("http");

constexpr int kBacklog = 1024;

std::string
TextOf(const sockaddr_in& aAddress)
{
  std::array<char, INET_ADDRSTRLEN> text{};
  inet_ntop(AF_INET, &aAddress.sin_addr, text.data(), text.size());
  return text.data();
}

} // namespace

Listener::Listener(OnAccept aOnAccept)
  : onAccept(std::move(aOnAccept))
{
}

Listener::~Listener()
{
  if (this->socket >= 0) {
    close(this->socket);
  }
}

bool
Listener::Open(const std::string& aAddress, int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  if (inet_pton(AF_INET, aAddress.c_str(), &address.sin_addr) != 1) {
    return false;
  }
  const std::lock_guard lock(this->mutex);
  this->socket =
    ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int enabled = 1;
  setsockopt(this->socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
  return this->socket >= 0 &&
         bind(this->socket,
              reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) == 0 &&
         listen(this->socket, kBacklog) == 0;
}

bool
Listener::Register(int aEpollDescriptor, std::uint64_t aToken)
{
  const std::lock_guard lock(this->mutex);
  this->epollDescriptor = aEpollDescriptor;
  this->token = aToken;
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.u64 = aToken;
  return epoll_ctl(aEpollDescriptor, EPOLL_CTL_ADD, this->socket, &event) == 0;
}

void
Listener::SetEnabled(bool aIsEnabled)
{
  const std::lock_guard lock(this->mutex);
  if (this->socket < 0) {
    return;
  }
  epoll_event event{};
  if (aIsEnabled) {
    event.events = EPOLLIN;
  }
  event.data.u64 = this->token;
  epoll_ctl(this->epollDescriptor, EPOLL_CTL_MOD, this->socket, &event);
}

bool
Listener::HasPending()
{
  const std::lock_guard lock(this->mutex);
  pollfd waiting{ this->socket, POLLIN, 0 };
  return this->socket >= 0 && poll(&waiting, 1, 0) > 0;
}

bool
Listener::AcceptPending(std::size_t aMost)
{
  const std::lock_guard lock(this->mutex);
  return this->Accept(aMost);
}

bool
Listener::Accept(std::size_t aMost)
{
  for (std::size_t i = 0; i < aMost && this->socket >= 0; ++i) {
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    const int accepted = accept4(this->socket,
                                 reinterpret_cast<sockaddr*>(&address),
                                 &size,
                                 SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted >= 0) {
      const int enabled = 1;
      setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
      this->onAccept(accepted, TextOf(address));
    } else if (errno == EAGAIN) {
      return true;
    } else if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS ||
               errno == ENOMEM) {
      kLog.Warning("cannot accept a connection: {}", std::strerror(errno));
      return false;
    }
  }
  return true;
}

void
Listener::Close()
{
  const std::lock_guard lock(this->mutex);
  if (this->socket < 0) {
    return;
  }
  epoll_ctl(this->epollDescriptor, EPOLL_CTL_DEL, this->socket, nullptr);
  this->Accept(std::numeric_limits<std::size_t>::max());
  close(std::exchange(this->socket, -1));
}

} // namespace lacewingwharf
