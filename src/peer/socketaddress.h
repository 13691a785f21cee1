#pragma once

#include "peer/peernetwork.h"

#include <ace/INET_Addr.h>

#include <optional>

namespace lacewingwharf {

/**
 * Returns no value unless the address is a numeric IPv4 address. Host names are
 * not supported because their look-up could block.
 */
std::optional<ACE_INET_Addr>
SocketAddressOf(const PeerAddress& aAddress);

PeerAddress
PeerAddressOf(const ACE_INET_Addr& aAddress);

} // namespace lacewingwharf
