#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace lacewingwharf {

/**
 * Returns the members to which aSelf forwards a push in the tree of degree
 * aFanout that is rooted at aRoot. aMembers is sorted; daemons with the same
 * member list compute the same tree. Empty if aSelf or aRoot is not a member.
 */
std::vector<std::string>
PushTreeChildren(const std::vector<std::string>& aMembers,
                 std::string_view aRoot,
                 std::string_view aSelf,
                 int aFanout);

} // namespace lacewingwharf
