#include "distribution/pushtree.h"

#include <algorithm>
#include <cstddef>
#include <optional>

namespace lacewingwharf {

namespace {

std::optional<std::size_t>
PositionOf(const std::vector<std::string>& aMembers, std::string_view aMember)
{
  const auto found = std::ranges::lower_bound(aMembers, aMember);
  if (found == aMembers.end() || *found != aMember) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(found - aMembers.begin());
}

} // namespace

std::vector<std::string>
PushTreeChildren(const std::vector<std::string>& aMembers,
                 std::string_view aRoot,
                 std::string_view aSelf,
                 int aFanout)
{
  const auto root = PositionOf(aMembers, aRoot);
  const auto self = PositionOf(aMembers, aSelf);
  if (!root || !self || aFanout < 1) {
    return {};
  }
  // The member list is rotated so that the root has index 0.
  const std::size_t count = aMembers.size();
  const std::size_t index = (*self + count - *root) % count;
  const auto fanout = static_cast<std::size_t>(aFanout);
  const std::size_t begin = std::min(index * fanout + 1, count);
  const std::size_t end = std::min(begin + fanout, count);
  std::vector<std::string> children;
  for (std::size_t child = begin; child < end; ++child) {
    children.push_back(aMembers[(child + *root) % count]);
  }
  return children;
}

} // namespace lacewingwharf
