#pragma once

#include "common/clock.h"

#include <optional>
#include <string_view>

namespace lacewingwharf {

/** A time with its unit, `1500ms` or `2.5s`; empty when it is not one. */
std::optional<Millis>
ParseDuration(std::string_view aText);

} // namespace lacewingwharf
