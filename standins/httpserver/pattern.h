#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace lacewingwharf {

/**
 * The body for a pattern: lines with the pattern and the offset of the line,
 * cut to aBytes.
 */
std::string
MakePatternBody(std::string_view aPattern, std::size_t aBytes);

/**
 * The body for a header of the form "TEXT:BYTES", with the whole header as the
 * pattern. Without BYTES the body is as long as the header.
 */
std::string
MakeBodyForPatternHeader(std::string_view aHeader);

} // namespace lacewingwharf
