#include "routing/splitchooser.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

namespace lacewingwharf {

namespace {

// Requests that count towards the recent shares. A site judges shares over 200
// requests at all daemons, a fraction of which enters here.
constexpr double kMemory = 40;
constexpr double kAgeing = 1 - 1 / kMemory;

// By how much the recent share of a service may exceed that of its weight. A
// site allows 0.2.
constexpr double kLargestExcess = 0.1;

// Requests by which a service may be ahead while few have run.
constexpr double kHeadStart = 1.5;

int
SumOfWeights(const std::vector<ServiceShare>& aSplit)
{
  return std::accumulate(
    aSplit.begin(), aSplit.end(), 0, [](int aSum, const ServiceShare& aShare) {
      return aSum + aShare.weight;
    });
}

/**
 * aTurn, or the service that is furthest behind its share if aTurn would get
 * too far ahead.
 */
std::size_t
Balanced(const std::vector<ServiceShare>& aSplit,
         const std::vector<double>& aTaken,
         std::size_t aTurn)
{
  const double sum = SumOfWeights(aSplit);
  const double total = std::accumulate(aTaken.begin(), aTaken.end(), 1.0);
  const auto aheadOf = [&](std::size_t aIndex) {
    return aTaken[aIndex] - aSplit[aIndex].weight / sum * total;
  };
  if (aheadOf(aTurn) + 1 <= kLargestExcess * total + kHeadStart) {
    return aTurn;
  }
  std::size_t behind = aTurn;
  for (std::size_t index = 0; index < aSplit.size(); ++index) {
    if (aheadOf(index) < aheadOf(behind)) {
      behind = index;
    }
  }
  return behind;
}

} // namespace

SplitChooser::SplitChooser(Random aRandom)
  : random(std::move(aRandom))
{
}

SplitChooser::Turns
SplitChooser::NewTurns(const Entry& aRoute) const
{
  Turns fresh{ aRoute.split, {}, {} };
  fresh.taken.resize(aRoute.split.size());
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

SplitChooser::Turns&
SplitChooser::TurnsOf(const Entry& aRoute)
{
  Turns& turns = this->turns[aRoute.name];
  if (turns.split != aRoute.split) {
    turns = this->NewTurns(aRoute);
  }
  return turns;
}

const std::string&
SplitChooser::ChooseService(const Entry& aRoute)
{
  if (aRoute.split.empty()) {
    return aRoute.service;
  }
  Turns& turns = this->TurnsOf(aRoute);
  const int sum = SumOfWeights(aRoute.split);
  for (std::size_t index = 0; index < aRoute.split.size(); ++index) {
    turns.credit[index] += aRoute.split[index].weight;
    turns.taken[index] *= kAgeing;
  }
  // All credits together are now at least the sum of weights, so the largest is
  // above 0, where that of a service without weight stays.
  const auto next = std::ranges::max_element(turns.credit);
  *next -= sum;
  const auto turn = static_cast<std::size_t>(next - turns.credit.begin());
  const std::size_t index = Balanced(turns.split, turns.taken, turn);
  ++turns.taken[index];
  return aRoute.split[index].service;
}

void
SplitChooser::RecordRefusal(const Entry& aRoute, const std::string& aService)
{
  if (aRoute.split.empty()) {
    return;
  }
  Turns& turns = this->TurnsOf(aRoute);
  const auto part =
    std::ranges::find(turns.split, aService, &ServiceShare::service);
  if (part == turns.split.end()) {
    return; // Taken by the split before.
  }
  double& taken =
    turns.taken[static_cast<std::size_t>(part - turns.split.begin())];
  taken = std::max(0.0, taken - 1);
  // Only requests that run make earlier ones old.
  std::ranges::for_each(turns.taken, [](double& aTaken) { aTaken /= kAgeing; });
}

} // namespace lacewingwharf
