#pragma once

#include <string>
#include <string_view>

namespace lacewingwharf {

/**
 * Replaces control characters, which names of files and entries may contain and
 * which could change what a terminal shows: U+0000 to U+001F and U+007F to
 * U+009F in UTF-8.
 */
std::string
Printable(std::string_view aText);

} // namespace lacewingwharf
