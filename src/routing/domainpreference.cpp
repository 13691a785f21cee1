#include "routing/domainpreference.h"

#include <algorithm>
#include <cmath>

namespace lacewingwharf {

namespace {

constexpr double kDecayMillis = 2000;

// Each recent refusal diverts this part of the calls that still go there.
constexpr double kPartPerRefusal = 0.05;

// Some calls keep going to a full domain, to notice when it has room again.
constexpr double kHighestPressure = 0.95;

// A domain whose summary shows no free slot may have one by now.
constexpr double kLeastFreePart = 0.05;

double UnitRandom(const Random& aRandom)
{
  constexpr std::uint64_t kSteps = 1U << 30U;
  return static_cast<double>(RandomBelow(aRandom, kSteps)) / kSteps;
}

} // namespace

void DomainPreference::CountRefusal(std::string_view aDomain, double aNow)
{
  auto found = this->byDomain.find(aDomain);
  if (found == this->byDomain.end()) {
    found = this->byDomain.emplace(std::string(aDomain), Recent{}).first;
  }
  Recent& recent = found->second;
  recent.refusals *= std::exp(-(aNow - recent.at) / kDecayMillis);
  const double most = std::log(1 - kHighestPressure) / -kPartPerRefusal;
  recent.refusals = std::min(most, recent.refusals + 1);
  recent.at = aNow;
}

double DomainPreference::Pressure(std::string_view aDomain, double aNow) const
{
  const auto found = this->byDomain.find(aDomain);
  if (found == this->byDomain.end()) {
    return 0;
  }
  const Recent& recent = found->second;
  const double refusals =
    recent.refusals * std::exp(-(aNow - recent.at) / kDecayMillis);
  return 1 - std::exp(-kPartPerRefusal * refusals);
}

void DomainPreference::Order(std::vector<DomainOption>& aOptions,
                             const Random& aRandom,
                             double aNow) const
{
  // Weighted random order within a distance, by exponential variates.
  for (DomainOption& option : aOptions) {
    const double unit = UnitRandom(aRandom);
    option.weight = -std::log(1 - unit) / std::max(1e-9, option.weight);
  }
  std::ranges::sort(aOptions, [](const auto& aLeft, const auto& aRight) {
    return aLeft.distance != aRight.distance ? aLeft.distance < aRight.distance
                                             : aLeft.weight < aRight.weight;
  });
  // Options that are passed over stay at the end, nearest first: when all are
  // full, distance decides.
  const auto isTaken = [&](const DomainOption& aOption) {
    const double pressure = this->Pressure(aOption.domain, aNow);
    return pressure <= 0 || UnitRandom(aRandom) >= pressure;
  };
  std::stable_partition(aOptions.begin(), aOptions.end(), isTaken);
}

double WeightOf(const DomainLoad& aLoad)
{
  const double least = kLeastFreePart * std::max(1, aLoad.slots);
  return std::max(least, static_cast<double>(aLoad.freeSlots)) /
         std::max(1.0, aLoad.slowdown);
}

} // namespace lacewingwharf
