#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace lacewingwharf {

/** For binary values in places that only carry text; 4 characters per 3 bytes.
 */
std::string
EncodeBase64(std::string_view aBytes);

/** Empty when aText is not padded base64. */
std::optional<std::string>
DecodeBase64(std::string_view aText);

/** Characters that EncodeBase64() makes of aBytes bytes. */
constexpr std::size_t
Base64Size(std::size_t aBytes)
{
  return (aBytes + 2) / 3 * 4;
}

} // namespace lacewingwharf
