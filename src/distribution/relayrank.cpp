#include "distribution/relayrank.h"

#include "distribution/relayfailover.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <string_view>

namespace lacewingwharf {

namespace {

// The store may refuse the next candidates, too.
constexpr int kSpareRelays = 2;

} // namespace

std::optional<int>
RelayRankOf(const RelayGroup& aGroup, const std::string& aHost)
{
  const auto refused = std::ssize(aGroup.order) - std::ssize(aGroup.candidates);
  if (refused >= kFirstCandidates) {
    return std::nullopt;
  }
  const std::set<std::string_view> candidates(aGroup.candidates.begin(),
                                              aGroup.candidates.end());
  const auto self = std::ranges::find(aGroup.order, aHost);
  if (self == aGroup.order.end() || !candidates.contains(aHost)) {
    return std::nullopt;
  }
  const auto rank =
    std::count_if(aGroup.order.begin(), self, [&](const std::string& aOther) {
      return candidates.contains(aOther);
    });
  const int count = aGroup.relays + (refused > 0 ? kSpareRelays : 0);
  return rank < count ? std::optional(static_cast<int>(rank)) : std::nullopt;
}

} // namespace lacewingwharf
