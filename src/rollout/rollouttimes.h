#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace lacewingwharf {

// Ranges of service times in reports. Each is kTimeFactor times as long as the
// one before, and the last one, from about 2 s, has no end.
inline constexpr std::size_t kTimeRanges = 30;
inline constexpr double kTimeFactor = 1.3;

/** The range of a service time. Times below one millisecond are in the first.
 */
inline std::size_t
TimeRangeOf(double aMillis)
{
  const double range = std::log(std::max(aMillis, 1.0)) / std::log(kTimeFactor);
  return std::min(static_cast<std::size_t>(range), kTimeRanges - 1);
}

} // namespace lacewingwharf
