#include "routing/domainpreference.h"

#include <algorithm>
#include <cmath>

namespace lacewingwharf {

namespace {

constexpr double kRefusalDecayMillis = 2000;

// Each recent refusal diverts this fraction of the calls that still go to the
// domain.
constexpr double kDiversionPerRefusal = 0.05;

// Some calls still go to a full domain, so that this daemon notices when the
// domain has free slots again.
constexpr double kMaxDiversionRate = 0.95;

// A domain counts as having at least this fraction of its slots free, because a
// summary that shows no free slot may be out of date.
constexpr double kMinFreeFraction = 0.05;

double
RandomFraction(const Random& aRandom)
{
  constexpr std::uint64_t kSteps = 1U << 30U;
  return static_cast<double>(RandomBelow(aRandom, kSteps)) / kSteps;
}

} // namespace

void
DomainPreference::RecordRefusal(std::string_view aDomain, double aNow)
{
  auto found = this->byDomain.find(aDomain);
  if (found == this->byDomain.end()) {
    found =
      this->byDomain.emplace(std::string(aDomain), RecentRefusals{}).first;
  }
  RecentRefusals& recent = found->second;
  recent.refusals *= std::exp(-(aNow - recent.updatedAt) / kRefusalDecayMillis);
  const double maxRefusals =
    std::log(1 - kMaxDiversionRate) / -kDiversionPerRefusal;
  recent.refusals = std::min(maxRefusals, recent.refusals + 1);
  recent.updatedAt = aNow;
}

double
DomainPreference::DiversionRate(std::string_view aDomain, double aNow) const
{
  const auto found = this->byDomain.find(aDomain);
  if (found == this->byDomain.end()) {
    return 0;
  }
  const RecentRefusals& recent = found->second;
  const double refusals =
    recent.refusals *
    std::exp(-(aNow - recent.updatedAt) / kRefusalDecayMillis);
  return 1 - std::exp(-kDiversionPerRefusal * refusals);
}

void
DomainPreference::SortByPreference(std::vector<DomainOption>& aOptions,
                                   const Random& aRandom,
                                   double aNow) const
{
  // Sorting by an exponential variate divided by the weight gives a weighted
  // random order among the domains at one distance.
  for (DomainOption& option : aOptions) {
    const double unit = RandomFraction(aRandom);
    option.weight = -std::log(1 - unit) / std::max(1e-9, option.weight);
  }
  std::ranges::sort(aOptions, [](const auto& aLeft, const auto& aRight) {
    return aLeft.distance != aRight.distance ? aLeft.distance < aRight.distance
                                             : aLeft.weight < aRight.weight;
  });
  // The skipped options move to the end and keep their order, so that distance
  // decides when all domains are full.
  const auto isPreferred = [&](const DomainOption& aOption) {
    const double diversionRate = this->DiversionRate(aOption.domain, aNow);
    return diversionRate <= 0 || RandomFraction(aRandom) >= diversionRate;
  };
  std::stable_partition(aOptions.begin(), aOptions.end(), isPreferred);
}

double
DomainWeight(const DomainLoad& aLoad)
{
  const double minFree = kMinFreeFraction * std::max(1, aLoad.slots);
  return std::max(minFree, static_cast<double>(aLoad.freeSlots)) /
         std::max(1.0, aLoad.slowdown);
}

} // namespace lacewingwharf
