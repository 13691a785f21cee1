#include "routing/splitchooser.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

namespace lacewingwharf {

SplitChooser::SplitChooser(Random aRandom)
  : random(std::move(aRandom))
{
}

SplitChooser::Turns
SplitChooser::NewTurns(const Entry& aRoute) const
{
  Turns fresh{ aRoute.split, {} };
  // A start at random keeps many daemons from giving the same service their
  // first requests.
  std::ranges::transform(
    aRoute.split,
    std::back_inserter(fresh.credit),
    [this](const ServiceShare& aShare) {
      const auto bound = static_cast<std::uint64_t>(aShare.weight) + 1;
      return static_cast<double>(RandomBelow(this->random, bound));
    });
  return fresh;
}

const std::string&
SplitChooser::Next(const Entry& aRoute)
{
  if (aRoute.split.empty()) {
    return aRoute.service;
  }
  Turns& turns = this->turns[aRoute.name];
  if (turns.split != aRoute.split) {
    turns = this->NewTurns(aRoute);
  }
  const int sum = std::accumulate(
    aRoute.split.begin(),
    aRoute.split.end(),
    0,
    [](int aSum, const ServiceShare& aShare) { return aSum + aShare.weight; });
  for (std::size_t index = 0; index < aRoute.split.size(); ++index) {
    turns.credit[index] += aRoute.split[index].weight;
  }
  // All credits together are now at least the sum of weights, so the largest is
  // above 0, where that of a service without weight stays.
  const auto next = std::ranges::max_element(turns.credit);
  *next -= sum;
  const auto index = static_cast<std::size_t>(next - turns.credit.begin());
  return aRoute.split[index].service;
}

} // namespace lacewingwharf
