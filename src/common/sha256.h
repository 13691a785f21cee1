#pragma once

#include <string>
#include <string_view>

namespace lacewingwharf {

/** Returns the SHA-256 of aBytes as 64 lower-case hexadecimal digits. */
std::string
Sha256Hex(std::string_view aBytes);

} // namespace lacewingwharf
