#include "common/base64.h"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/transform_width.hpp>

#include <algorithm>

namespace lacewingwharf {

namespace {

namespace iterators = boost::archive::iterators;

constexpr int kBitsPerByte = 8;
constexpr int kBitsPerDigit = 6;
constexpr std::size_t kDigitsPerGroup = 4;
constexpr std::size_t kBytesPerGroup = 3;

using Encoder = iterators::base64_from_binary<
  iterators::transform_width<const char*, kBitsPerDigit, kBitsPerByte>>;
using Decoder =
  iterators::transform_width<iterators::binary_from_base64<const char*>,
                             kBitsPerByte,
                             kBitsPerDigit>;

bool
IsDigit(char aChar)
{
  return (aChar >= 'A' && aChar <= 'Z') || (aChar >= 'a' && aChar <= 'z') ||
         (aChar >= '0' && aChar <= '9') || aChar == '+' || aChar == '/';
}

} // namespace

std::string
EncodeBase64(std::string_view aBytes)
{
  std::string text(Encoder(aBytes.data()),
                   Encoder(aBytes.data() + aBytes.size()));
  const std::size_t remainder = aBytes.size() % kBytesPerGroup;
  text.append(remainder == 0 ? 0 : kBytesPerGroup - remainder, '=');
  return text;
}

std::optional<std::string>
DecodeBase64(std::string_view aText)
{
  const auto end = aText.find_last_not_of('=');
  const std::size_t digits = end == std::string_view::npos ? 0 : end + 1;
  const bool isPadded = aText.size() % kDigitsPerGroup == 0 &&
                        aText.size() - digits < kBytesPerGroup;
  const std::string text(aText.substr(0, digits));
  if (!isPadded || !std::ranges::all_of(text, IsDigit)) {
    return std::nullopt;
  }
  // The decoder reads whole groups, so 'A' digits, which are zero bits, stand
  // in for the padding.
  std::string paddedText = text;
  paddedText.append(aText.size() - digits, 'A');
  std::string bytes(Decoder(paddedText.data()),
                    Decoder(paddedText.data() + paddedText.size()));
  bytes.resize(bytes.size() - (aText.size() - digits));
  return bytes;
}

} // namespace lacewingwharf
