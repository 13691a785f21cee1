#pragma once

#include <optional>
#include <string>
#include <vector>

namespace lacewingwharf {

/** The members of a group, for the choice of its relays. */
struct RelayGroup
{
  std::vector<std::string> order; // All members, in order of preference.

  /**
   * Members that the store has not refused lately, or all if it has refused
   * each of them.
   */
  std::vector<std::string> candidates;
  int relays = 1; // The number of relays, if the store refuses nobody.
};

/**
 * Returns the number of relays before aHost, or nothing if it is none. While
 * the store refuses some members, the next candidates and two spare ones take
 * their place. When it has refused as many as try it first, it is probably
 * down. There is then no relay, and the members try it in turn; see
 * RelayFailover. Otherwise one member after the other would try it, however
 * large the group.
 */
std::optional<int>
RelayRankOf(const RelayGroup& aGroup, const std::string& aHost);

} // namespace lacewingwharf
