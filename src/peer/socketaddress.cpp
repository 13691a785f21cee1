#include "peer/socketaddress.h"

#include <arpa/inet.h>

#include <array>
#include <cstdint>

namespace lacewingwharf {

namespace {

constexpr int kMaxPort = 65535;

} // namespace

std::optional<ACE_INET_Addr>
SocketAddressOf(const PeerAddress& aAddress)
{
  in_addr numeric{};
  if (aAddress.port < 0 || aAddress.port > kMaxPort ||
      inet_pton(AF_INET, aAddress.address.c_str(), &numeric) != 1) {
    return std::nullopt;
  }
  return ACE_INET_Addr(static_cast<std::uint16_t>(aAddress.port),
                       ntohl(numeric.s_addr));
}

PeerAddress
PeerAddressOf(const ACE_INET_Addr& aAddress)
{
  std::array<char, INET_ADDRSTRLEN> text{};
  aAddress.get_host_addr(text.data(), static_cast<int>(text.size()));
  return { text.data(), aAddress.get_port_number() };
}

} // namespace lacewingwharf
