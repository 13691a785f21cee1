#include "peer/datagramsocket.h"

#include "common/log.h"
#include "peer/codec.h"
#include "peer/socketaddress.h"

#include <sys/socket.h>

#include <array>

namespace lacewingwharf {

namespace {

constexpr Log kLog("peer");

// The handler returns to the reactor after this many datagrams, so that
// sessions are served too.
constexpr int kMaxDatagramsPerEvent = 64;

} // namespace

DatagramSocket::DatagramSocket(AtomicPeerCounters& aCounters,
                               OnDatagram aOnDatagram)
  : counters(aCounters)
  , onDatagram(std::move(aOnDatagram))
{
}

DatagramSocket::~DatagramSocket()
{
  this->socket.close();
}

bool
DatagramSocket::Open(const PeerAddress& aListen)
{
  const auto address = SocketAddressOf(aListen);
  return address && this->socket.open(*address) == 0 &&
         this->socket.enable(ACE_NONBLOCK) == 0;
}

void
DatagramSocket::Send(const PeerAddress& aTo, const std::string& aBytes)
{
  const auto address = SocketAddressOf(aTo);
  if (!address ||
      this->socket.send(aBytes.data(), aBytes.size(), *address) < 0) {
    ++this->counters.sendsRejected;
    return;
  }
  this->counters.AddSent(wire::SessionKind::CONTROL, aBytes.size());
}

ACE_HANDLE
DatagramSocket::get_handle() const
{
  return this->socket.get_handle();
}

int
DatagramSocket::handle_input(ACE_HANDLE /*aHandle*/)
{
  for (int i = 0; i < kMaxDatagramsPerEvent && this->ReceiveOne(); ++i) {
  }
  return 0;
}

bool
DatagramSocket::ReceiveOne()
{
  // The extra byte reveals datagrams that are longer than the limit.
  std::array<char, kMaxDatagramBytes + 1> buffer{};
  ACE_INET_Addr sender;
  const ssize_t count =
    this->socket.recv(buffer.data(), buffer.size(), sender, MSG_DONTWAIT);
  if (count < 0) {
    return false;
  }
  const auto bytes = static_cast<std::size_t>(count);
  this->counters.AddReceived(wire::SessionKind::CONTROL, bytes);
  const PeerAddress remote = PeerAddressOf(sender);
  auto envelope = DecodeEnvelope({ buffer.data(), bytes });
  if (bytes > kMaxDatagramBytes || !envelope) {
    ++this->counters.framesRejected;
    kLog.Debug("datagram from {} rejected: {}",
               remote.address,
               bytes > kMaxDatagramBytes ? "longer than 1200 bytes"
                                         : envelope.error().detail);
    return true;
  }
  this->onDatagram(remote, std::move(envelope).value());
  return true;
}

} // namespace lacewingwharf
