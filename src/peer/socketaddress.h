#pragma once

#include "peer/peernetwork.h"

#include <ace/INET_Addr.h>

#include <optional>

namespace lacewingwharf {

/** Nothing unless the address is numeric, so that no name look-up blocks. */
std::optional<ACE_INET_Addr>
SocketAddressOf(const PeerAddress& aAddress);

PeerAddress
PeerAddressOf(const ACE_INET_Addr& aAddress);

} // namespace lacewingwharf
