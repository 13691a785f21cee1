#pragma once

#include "eventloop.h"
#include "routing/serverchooser.h"

#include <map>
#include <memory>
#include <optional>
#include <set>

namespace lacewingwharf::bench {

inline const std::string kService = "orders";

using TriedEndpoints = std::set<EndpointKey>;

/**
 * Server selection of an entry daemon, implemented by the project's policy and
 * by the simple methods it is compared with.
 */
struct Chooser
{
  std::function<void(EndpointViewPtr)> setView;
  std::function<std::optional<EndpointInfo>(const TriedEndpoints&)> choose;
  std::function<void(const EndpointKey&)> recordStart;
  std::function<void(const EndpointKey&, const Observation&)> recordEnd;
};

/** Most recently published load of each host, by host name. */
using PublishedLoads = std::map<std::string, int>;

/** Chooses with the ServerChooser that the daemon uses. */
inline Chooser
MakePolicyChooser(const EventLoop& aLoop, Random aRandom)
{
  const auto chooser =
    std::make_shared<ServerChooser>(aLoop.View(), std::move(aRandom));
  return {
    [chooser](EndpointViewPtr aView) { chooser->SetView(std::move(aView)); },
    [chooser](
      const TriedEndpoints& aTriedEndpoints) -> std::optional<EndpointInfo> {
      const auto choice = chooser->Choose(kService, aTriedEndpoints);
      return choice ? std::optional(choice->endpoint) : std::nullopt;
    },
    [chooser](const EndpointKey& aKey) { chooser->RecordAttemptStart(aKey); },
    [chooser](const EndpointKey& aKey, const Observation& aObservation) {
      chooser->RecordAttemptEnd(aKey, aObservation);
    }
  };
}

/** Returns the untried endpoints at the smallest distance that has any. */
inline std::vector<EndpointInfo>
NearestUntried(const EndpointView& aView, const TriedEndpoints& aTriedEndpoints)
{
  std::vector<EndpointInfo> nearest;
  for (const EndpointInfo& info : aView.services.at(kService).endpoints) {
    if (aTriedEndpoints.contains({ info.host, info.port })) {
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

/**
 * Chooses among the nearest endpoints: at random, or the one with the lowest
 * published load when aPublishedLoads is set.
 */
inline Chooser
MakeSimpleChooser(const Random& aRandom, const PublishedLoads* aPublishedLoads)
{
  const auto view = std::make_shared<EndpointViewPtr>();
  const auto choose =
    [view, aRandom, aPublishedLoads](
      const TriedEndpoints& aTriedEndpoints) -> std::optional<EndpointInfo> {
    auto nearest = NearestUntried(**view, aTriedEndpoints);
    if (nearest.empty()) {
      return std::nullopt;
    }
    std::swap(nearest.front(), nearest[RandomBelow(aRandom, nearest.size())]);
    if (!aPublishedLoads) {
      return nearest.front();
    }
    return *std::ranges::min_element(
      nearest, {}, [aPublishedLoads](const EndpointInfo& aInfo) {
        const auto row = aPublishedLoads->find(aInfo.host);
        return row == aPublishedLoads->end() ? 0 : row->second;
      });
  };
  return { [view](EndpointViewPtr aView) { *view = std::move(aView); },
           choose,
           [](const EndpointKey&) {},
           [](const EndpointKey&, const Observation&) {} };
}

} // namespace lacewingwharf::bench
