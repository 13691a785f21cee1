#include "peer/datagramsocket.h"

#include "common/log.h"
#include "peer/codec.h"
#include "peer/socketaddress.h"

#include <sys/socket.h>

#include <array>

namespace lacewingwharf {

namespace {

constexpr Log kLog("peer");

// Datagrams read before the sessions get their turn.
constexpr int kDatagramsPerTurn = 64;

} // namespace

DatagramSocket::DatagramSocket(PeerCounting& aCounting, OnDatagram aOnDatagram)
  : counting(aCounting)
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
    ++this->counting.sendsRejected;
    return;
  }
  this->counting.Sent(wire::SessionKind::CONTROL, aBytes.size());
}

ACE_HANDLE
DatagramSocket::get_handle() const
{
  return this->socket.get_handle();
}

int
DatagramSocket::handle_input(ACE_HANDLE /*aHandle*/)
{
  for (int i = 0; i < kDatagramsPerTurn && this->ReceiveOne(); ++i) {
  }
  return 0;
}

bool
DatagramSocket::ReceiveOne()
{
  // One byte more than allowed shows that a datagram is too long.
  std::array<char, kMaxDatagramBytes + 1> buffer{};
  ACE_INET_Addr sender;
  const ssize_t count =
    this->socket.recv(buffer.data(), buffer.size(), sender, MSG_DONTWAIT);
  if (count < 0) {
    return false;
  }
  const auto bytes = static_cast<std::size_t>(count);
  this->counting.Received(wire::SessionKind::CONTROL, bytes);
  const PeerAddress remote = PeerAddressOf(sender);
  auto envelope = DecodeEnvelope({ buffer.data(), bytes });
  if (bytes > kMaxDatagramBytes || !envelope) {
    ++this->counting.framesRejected;
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
