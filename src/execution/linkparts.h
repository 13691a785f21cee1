#pragma once

#include <algorithm>
#include <cstddef>

namespace lacewingwharf {

// Smaller requests and answers are not paced. They occupy a link of 10 Mbit/s
// for less than 14 ms.
inline constexpr std::size_t kMinLargeBytes = 16384;

// A small message waits behind one or two parts, so a part must be short
// compared with the time limits of callers. Shorter parts would cost more
// messages.
inline constexpr double kPartMillis = 15;
inline constexpr double kMinPartBytes = 8192;

// Parts are granted and sent at ticks of 10 ms, and what was granted arrives at
// least a round trip later. Without this lead, the link would be idle in the
// meantime.
inline constexpr double kLinkLeadMillis = 15;

/** Size of the parts of a large request for a link of this rate. */
inline std::size_t
PartBytesAt(double aBytesPerMilli)
{
  return static_cast<std::size_t>(
    std::max(kMinPartBytes, kPartMillis * aBytesPerMilli));
}

} // namespace lacewingwharf
