#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace lacewingwharf {

/**
 * The members that aSelf passes a push on to, in the tree of degree aFanout
 * that is rooted at aRoot. aMembers is sorted; daemons that see the same
 * members compute the same tree. Empty when aSelf or aRoot is no member.
 */
std::vector<std::string>
PushTreeChildren(const std::vector<std::string>& aMembers,
                 std::string_view aRoot,
                 std::string_view aSelf,
                 int aFanout);

} // namespace lacewingwharf
