#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace lacewingwharf {

/** The answer body that belongs to a pattern: lines of its name and offset. */
std::string
PatternBody(std::string_view aPattern, std::size_t aBytes);

/** Reads "TEXT:BYTES"; without a number the length is that of TEXT's line. */
std::string
BodyOfPatternHeader(std::string_view aHeader);

} // namespace lacewingwharf
