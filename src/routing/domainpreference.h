#pragma once

#include "common/random.h"
#include "routing/serverchooser.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingwharf {

/** A failure domain that has endpoints of a service. */
struct DomainOption
{
  std::string_view domain;
  Distance distance = Distance::SameDomain;
  double weight = 1; // Relative to others at the same distance.
};

/**
 * Determines the order in which the failure domains of one service are tried.
 *
 * Nearer domains come first, but a fraction of the calls skips a domain that
 * has recently refused calls for lack of slots. This fraction grows with each
 * refusal and decays over time, so that only as many calls as necessary go to
 * more distant domains.
 */
class DomainPreference
{
public:
  void RecordRefusal(std::string_view aDomain, double aNow);

  /** Fraction of the calls that skips the domain, from 0 to below 1. */
  double DiversionRate(std::string_view aDomain, double aNow) const;

  /** Sorts aOptions into the order in which to try them. */
  void SortByPreference(std::vector<DomainOption>& aOptions,
                        const Random& aRandom,
                        double aNow) const;

private:
  struct RecentRefusals
  {
    double refusals = 0;
    double updatedAt = 0;
  };

  std::map<std::string, RecentRefusals, std::less<>> byDomain;
};

/** Free slots of the domain by its latest summary, divided by its slowdown. */
double
DomainWeight(const DomainLoad& aLoad);

} // namespace lacewingwharf
