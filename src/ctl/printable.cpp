#include "ctl/printable.h"

#include <cstddef>

namespace lacewingwharf {

namespace {

/** Returns the bytes of the control character at the start, or 0. */
std::size_t
ControlBytes(std::string_view aText)
{
  constexpr unsigned char kDelete = 0x7f;
  constexpr unsigned char kLeadOfC1 = 0xc2;
  constexpr unsigned char kFirstC1 = 0x80;
  constexpr unsigned char kLastC1 = 0x9f;
  const auto first = static_cast<unsigned char>(aText[0]);
  if (first < ' ' || first == kDelete) {
    return 1;
  }
  if (first != kLeadOfC1 || aText.size() < 2) {
    return 0;
  }
  const auto second = static_cast<unsigned char>(aText[1]);
  return second >= kFirstC1 && second <= kLastC1 ? 2 : 0;
}

} // namespace

std::string
Printable(std::string_view aText)
{
  std::string printable;
  while (!aText.empty()) {
    const std::size_t control = ControlBytes(aText);
    printable += control > 0 ? '?' : aText[0];
    aText.remove_prefix(control > 0 ? control : 1);
  }
  return printable;
}

} // namespace lacewingwharf
