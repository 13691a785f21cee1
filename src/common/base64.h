#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace lacewingwharf {

/**
 * Encodes binary values for places that carry only text. The result has 4
 * characters per 3 bytes and is padded.
 */
std::string
EncodeBase64(std::string_view aBytes);

/** Returns no value when aText is not padded base64. */
std::optional<std::string>
DecodeBase64(std::string_view aText);

/** The length of the text that EncodeBase64() returns for aBytes bytes. */
constexpr std::size_t
Base64Size(std::size_t aBytes)
{
  return (aBytes + 2) / 3 * 4;
}

} // namespace lacewingwharf
