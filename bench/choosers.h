#pragma once

#include "eventloop.h"
#include "routing/serverchooser.h"

#include <map>
#include <memory>
#include <optional>
#include <set>

namespace lacewingwharf::bench {

inline const std::string kService = "orders";

using Tried = std::set<EndpointKey>;

/** How an entry daemon finds a server; the policy and those it is compared to.
 */
struct Chooser
{
  std::function<void(EndpointViewPtr)> setView;
  std::function<std::optional<EndpointInfo>(const Tried&)> choose;
  std::function<void(const EndpointKey&)> started;
  std::function<void(const EndpointKey&, const Observation&)> finished;
};

/** Load of each host as it was published last. */
using Published = std::map<std::string, int>;

inline Chooser
PolicyChooser(const EventLoop& aLoop, Random aRandom)
{
  const auto chooser =
    std::make_shared<ServerChooser>(aLoop.View(), std::move(aRandom));
  return {
    [chooser](EndpointViewPtr aView) { chooser->SetView(std::move(aView)); },
    [chooser](const Tried& aTried) -> std::optional<EndpointInfo> {
      const auto choice = chooser->Choose(kService, aTried);
      return choice ? std::optional(choice->endpoint) : std::nullopt;
    },
    [chooser](const EndpointKey& aKey) { chooser->RecordAttemptStart(aKey); },
    [chooser](const EndpointKey& aKey, const Observation& aSeen) {
      chooser->RecordAttemptEnd(aKey, aSeen);
    }
  };
}

/** The untried endpoints of the nearest distance that has any. */
inline std::vector<EndpointInfo>
Nearest(const EndpointView& aView, const Tried& aTried)
{
  std::vector<EndpointInfo> nearest;
  for (const EndpointInfo& info : aView.services.at(kService).endpoints) {
    if (aTried.contains({ info.host, info.port })) {
      continue;
    }
    if (!nearest.empty() && info.distance < nearest.front().distance) {
      nearest.clear();
    }
    if (nearest.empty() || info.distance == nearest.front().distance) {
      nearest.push_back(info);
    }
  }
  return nearest;
}

/** At random, or by the least published load when aPublished is set. */
inline Chooser
SimpleChooser(const Random& aRandom, const Published* aPublished)
{
  const auto view = std::make_shared<EndpointViewPtr>();
  const auto choose = [view, aRandom, aPublished](
                        const Tried& aTried) -> std::optional<EndpointInfo> {
    auto nearest = Nearest(**view, aTried);
    if (nearest.empty()) {
      return std::nullopt;
    }
    std::swap(nearest.front(), nearest[RandomBelow(aRandom, nearest.size())]);
    if (!aPublished) {
      return nearest.front();
    }
    return *std::ranges::min_element(
      nearest, {}, [aPublished](const EndpointInfo& aInfo) {
        const auto row = aPublished->find(aInfo.host);
        return row == aPublished->end() ? 0 : row->second;
      });
  };
  return { [view](EndpointViewPtr aView) { *view = std::move(aView); },
           choose,
           [](const EndpointKey&) {},
           [](const EndpointKey&, const Observation&) {} };
}

} // namespace lacewingwharf::bench
