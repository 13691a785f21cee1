#include "routing/splitchooser.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

namespace lacewingwharf {

namespace {

// Number of requests that count towards the recent shares. A site checks shares
// over 200 requests across all daemons, and only a fraction of these passes
// through this daemon.
constexpr double kRecentRequests = 40;
constexpr double kDecayPerRequest = 1 - 1 / kRecentRequests;

// How far the recent share of a service may exceed the share that its weight
// gives. A site allows 0.2.
constexpr double kMaxShareExcess = 0.1;

// Number of requests that a service may get in addition to kMaxShareExcess. It
// matters only while few requests have run.
constexpr double kMaxRequestsAhead = 1.5;

int
SumOfWeights(const std::vector<ServiceShare>& aSplit)
{
  return std::accumulate(
    aSplit.begin(), aSplit.end(), 0, [](int aSum, const ServiceShare& aShare) {
      return aSum + aShare.weight;
    });
}

/**
 * Returns aChosen, or the service that is furthest behind its share if aChosen
 * would exceed its share too far.
 */
std::size_t
LimitExcess(const std::vector<ServiceShare>& aSplit,
            const std::vector<double>& aRecentCounts,
            std::size_t aChosen)
{
  const double sum = SumOfWeights(aSplit);
  const double total =
    std::accumulate(aRecentCounts.begin(), aRecentCounts.end(), 1.0);
  const auto aheadOf = [&](std::size_t aIndex) {
    return aRecentCounts[aIndex] - aSplit[aIndex].weight / sum * total;
  };
  if (aheadOf(aChosen) + 1 <= kMaxShareExcess * total + kMaxRequestsAhead) {
    return aChosen;
  }
  std::size_t behind = aChosen;
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

SplitChooser::SplitState
SplitChooser::CreateState(const Entry& aRoute) const
{
  SplitState state{ aRoute.split, {}, {} };
  state.recentCounts.resize(aRoute.split.size());
  // Random initial credit keeps many daemons from sending their first requests
  // to the same service.
  std::ranges::transform(
    aRoute.split,
    std::back_inserter(state.credit),
    [this](const ServiceShare& aShare) {
      const auto bound = static_cast<std::uint64_t>(aShare.weight) + 1;
      return static_cast<double>(RandomBelow(this->random, bound));
    });
  return state;
}

SplitChooser::SplitState&
SplitChooser::StateOf(const Entry& aRoute)
{
  SplitState& state = this->states[aRoute.name];
  if (state.split != aRoute.split) {
    state = this->CreateState(aRoute);
  }
  return state;
}

const std::string&
SplitChooser::ChooseService(const Entry& aRoute)
{
  if (aRoute.split.empty()) {
    return aRoute.service;
  }
  SplitState& state = this->StateOf(aRoute);
  const int sum = SumOfWeights(aRoute.split);
  for (std::size_t index = 0; index < aRoute.split.size(); ++index) {
    state.credit[index] += aRoute.split[index].weight;
    state.recentCounts[index] *= kDecayPerRequest;
  }
  // The credits now add up to at least the sum of the weights, so the largest
  // credit is above 0. The credit of a service without weight stays 0.
  const auto next = std::ranges::max_element(state.credit);
  *next -= sum;
  const auto chosen = static_cast<std::size_t>(next - state.credit.begin());
  const std::size_t index =
    LimitExcess(state.split, state.recentCounts, chosen);
  ++state.recentCounts[index];
  return aRoute.split[index].service;
}

void
SplitChooser::RecordRefusal(const Entry& aRoute, const std::string& aService)
{
  if (aRoute.split.empty()) {
    return;
  }
  SplitState& state = this->StateOf(aRoute);
  const auto share =
    std::ranges::find(state.split, aService, &ServiceShare::service);
  if (share == state.split.end()) {
    return; // The request belongs to an earlier split.
  }
  double& count =
    state.recentCounts[static_cast<std::size_t>(share - state.split.begin())];
  count = std::max(0.0, count - 1);
  // Only requests that run make earlier ones count less, so the decay of
  // ChooseService() is undone.
  std::ranges::for_each(state.recentCounts,
                        [](double& aCount) { aCount /= kDecayPerRequest; });
}

} // namespace lacewingwharf
