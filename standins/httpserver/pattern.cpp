#include "httpserver/pattern.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace lacewingwharf {

std::string
MakePatternBody(std::string_view aPattern, std::size_t aBytes)
{
  std::string body;
  while (body.size() < aBytes) {
    body += fmt::format("{}@{}\n", aPattern, body.size());
  }
  body.resize(aBytes);
  return body;
}

std::string
MakeBodyForPatternHeader(std::string_view aHeader)
{
  constexpr std::size_t kMaxBytes = 16U << 20U;
  const std::size_t colon = aHeader.rfind(':');
  std::size_t bytes = aHeader.size();
  if (colon != std::string_view::npos) {
    std::from_chars(
      aHeader.data() + colon + 1, aHeader.data() + aHeader.size(), bytes);
  }
  return MakePatternBody(aHeader, std::min(bytes, kMaxBytes));
}

} // namespace lacewingwharf
