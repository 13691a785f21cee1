#include "common/hash.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace lacewingwharf {

std::uint64_t
Hash64(std::string_view aBytes, std::uint64_t aSeed)
{
  return XXH64(aBytes.data(), aBytes.size(), aSeed);
}

std::string
ToHex(std::uint64_t aValue)
{
  return fmt::format("{:016x}", aValue);
}

std::uint64_t
ParseHex(std::string_view aText)
{
  std::uint64_t value = 0;
  const char* const end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, value, 16);
  return parsed.ptr == end ? value : 0;
}

std::vector<std::string>
RendezvousOrder(std::string_view aKey, std::vector<std::string> aMembers)
{
  const std::uint64_t seed = Hash64(aKey);
  std::vector<std::pair<std::uint64_t, std::string>> weighted;
  weighted.reserve(aMembers.size());
  std::ranges::transform(
    aMembers, std::back_inserter(weighted), [seed](std::string& aMember) {
      const std::uint64_t weight = Hash64(aMember, seed);
      return std::pair(weight, std::move(aMember));
    });
  std::ranges::sort(weighted, std::greater<>{});
  std::ranges::transform(weighted, aMembers.begin(), [](auto& aPair) {
    return std::move(aPair.second);
  });
  return aMembers;
}

} // namespace lacewingwharf
