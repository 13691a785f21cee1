#include "common/duration.h"

#include <charconv>
#include <cmath>
#include <string_view>

namespace lacewingwharf {

std::optional<Millis>
ParseDuration(std::string_view aText)
{
  constexpr double kMillisPerSecond = 1000;
  constexpr double kMaxValue = 1e12; // In either unit, far above any setting.
  double value = 0;
  const char* const end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, value);
  const std::string_view unit(parsed.ptr,
                              static_cast<std::size_t>(end - parsed.ptr));
  if (parsed.ec != std::errc() || !(value >= 0) || value > kMaxValue) {
    return std::nullopt;
  }
  if (unit == "ms") {
    return std::llround(value);
  }
  if (unit == "s") {
    return std::llround(value * kMillisPerSecond);
  }
  return std::nullopt;
}

} // namespace lacewingwharf
