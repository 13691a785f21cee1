#include "testkit/loopbacknetwork.h"

#include "common/random.h"

#include <fmt/format.h>

#include <cstdint>

namespace lacewingwharf {

namespace {

constexpr std::uint64_t kNetworks = 256;
constexpr int kReservationPort = 7999; // Not used by any program of a fleet.

} // namespace

LoopbackNetwork::LoopbackNetwork()
{
  const Random random = SystemRandom();
  bool isReserved = false;
  while (!isReserved) {
    this->prefix = fmt::format("127.82.{}", RandomBelow(random, kNetworks));
    loopback::Socket socket;
    isReserved = socket.Listen(this->prefix + ".254", kReservationPort);
    this->reservation = std::move(socket);
  }
}

} // namespace lacewingwharf
