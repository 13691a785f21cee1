#include "peer/sessionacceptor.h"

#include "common/log.h"
#include "peer/socketaddress.h"

#include <cerrno>
#include <cstring>

namespace lacewingwharf {

namespace {

constexpr Log kLog("peer");

// Large enough that all daemons of a failure domain can reconnect at the same
// time without overflowing the backlog.
constexpr int kBacklog = 1024;

// The handler returns to the reactor after this many connections, so that
// sessions are served too.
constexpr int kMaxAcceptsPerEvent = 64;

} // namespace

SessionAcceptor::SessionAcceptor(OnAccept aOnAccept)
  : onAccept(std::move(aOnAccept))
{
}

SessionAcceptor::~SessionAcceptor()
{
  this->acceptor.close();
}

bool
SessionAcceptor::Open(const PeerAddress& aListen)
{
  const auto address = SocketAddressOf(aListen);
  return address && this->acceptor.open(*address, 1, AF_INET, kBacklog) == 0 &&
         this->acceptor.enable(ACE_NONBLOCK) == 0;
}

ACE_HANDLE
SessionAcceptor::get_handle() const
{
  return this->acceptor.get_handle();
}

int
SessionAcceptor::handle_input(ACE_HANDLE /*aHandle*/)
{
  for (int i = 0; i < kMaxAcceptsPerEvent; ++i) {
    ACE_SOCK_Stream stream;
    ACE_INET_Addr remote;
    if (this->acceptor.accept(stream, &remote) != 0) {
      if (errno != EWOULDBLOCK) {
        kLog.Warning("cannot accept a session: {}", std::strerror(errno));
      }
      return 0;
    }
    this->onAccept(stream, PeerAddressOf(remote));
  }
  return 0;
}

} // namespace lacewingwharf
