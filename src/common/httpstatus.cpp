#include "common/httpstatus.h"

#include <algorithm>

namespace lacewingwharf {

namespace {

constexpr int kFirstStatus = 100;
constexpr int kSwitchingProtocols = 101;
constexpr int kLastStatus = 599;
constexpr std::size_t kStatusDigits = 3;
constexpr int kDecimal = 10;

bool
IsDigit(char aCharacter)
{
  return aCharacter >= '0' && aCharacter <= '9';
}

} // namespace

bool
IsStatusLine(std::string_view aLine)
{
  return aLine.starts_with("HTTP/");
}

std::optional<int>
ParseStatusLine(std::string_view aLine)
{
  const auto space = aLine.find(' ');
  if (!IsStatusLine(aLine) || space == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view text = aLine.substr(space + 1);
  const std::string_view digits = text.substr(0, kStatusDigits);
  // Some servers leave out the reason together with the space before it.
  const bool hasEnd =
    text.size() == kStatusDigits ||
    (text.size() > kStatusDigits && text[kStatusDigits] == ' ');
  if (!hasEnd || !std::ranges::all_of(digits, IsDigit)) {
    return std::nullopt;
  }
  int status = 0;
  for (const char digit : digits) {
    status = status * kDecimal + (digit - '0');
  }
  const bool isStatus = status >= kFirstStatus && status <= kLastStatus;
  return isStatus ? std::optional(status) : std::nullopt;
}

bool
IsAnswerStatus(int aStatus)
{
  return aStatus >= kFirstStatus && aStatus <= kLastStatus &&
         aStatus != kSwitchingProtocols;
}

} // namespace lacewingwharf
