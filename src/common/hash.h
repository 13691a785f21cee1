#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingwharf {

/** 64-bit xxHash; stable across processes and versions. */
std::uint64_t
Hash64(std::string_view aBytes, std::uint64_t aSeed = 0);

/** Lower-case hexadecimal, 16 digits. */
std::string
HexOf(std::uint64_t aValue);

/** Reads what HexOf() writes; returns 0 for anything else. */
std::uint64_t
ValueOfHex(std::string_view aText);

/**
 * Members ordered by rendezvous (highest random weight) hashing for aKey. All
 * daemons that see the same members compute the same order, so a role moves to
 * the next member without an election.
 */
std::vector<std::string>
RendezvousOrder(std::string_view aKey, std::vector<std::string> aMembers);

} // namespace lacewingwharf
