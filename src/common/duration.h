#pragma once

#include "common/clock.h"

#include <optional>
#include <string_view>

namespace lacewingwharf {

/**
 * Parses a duration with its unit, such as `1500ms` or `2.5s`. Returns no value
 * for any other text.
 */
std::optional<Millis>
ParseDuration(std::string_view aText);

} // namespace lacewingwharf
