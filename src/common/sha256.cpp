#include "common/sha256.h"

#include <openssl/sha.h>

#include <array>

namespace lacewingwharf {

std::string
Sha256Hex(std::string_view aBytes)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr unsigned kBitsPerDigit = 4;
  constexpr unsigned kDigitMask = 0xF;
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  // A view without bytes may have a null pointer, which the library does not
  // accept.
  const std::string bytes(aBytes);
  SHA256(reinterpret_cast<const unsigned char*>(bytes.data()),
         bytes.size(),
         digest.data());
  std::string text;
  text.reserve(2 * digest.size());
  for (const unsigned char byte : digest) {
    text += kDigits[byte >> kBitsPerDigit];
    text += kDigits[byte & kDigitMask];
  }
  return text;
}

} // namespace lacewingwharf
