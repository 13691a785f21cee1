#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingwharf {

/** 64-bit xxHash, which is the same in all processes and versions. */
std::uint64_t
Hash64(std::string_view aBytes, std::uint64_t aSeed = 0);

/** Formats aValue as 16 lower-case hexadecimal digits. */
std::string
ToHex(std::uint64_t aValue);

/** Parses the output of ToHex(). Returns 0 for text that is not hexadecimal. */
std::uint64_t
ParseHex(std::string_view aText);

/**
 * Orders members by rendezvous (highest random weight) hashing for aKey. All
 * daemons with the same list of members compute the same order, so when the
 * first member fails, its role moves to the next one without an election.
 */
std::vector<std::string>
RendezvousOrder(std::string_view aKey, std::vector<std::string> aMembers);

} // namespace lacewingwharf
