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
  double weight = 1; // Against others at the same distance.
};

/**
 * The order in which the failure domains of one service are tried: nearest
 * first, except that calls pass over a domain in proportion to its recent
 * refusals for lack of slots. The passed-over part grows with each refusal and
 * decays, so just enough calls go further away.
 */
class DomainPreference
{
public:
  void CountRefusal(std::string_view aDomain, double aNow);

  /** The part of the calls that passes over the domain, 0 to below 1. */
  double Pressure(std::string_view aDomain, double aNow) const;

  /** Puts aOptions, sorted by distance, in the order to try. */
  void Order(std::vector<DomainOption>& aOptions,
             const Random& aRandom,
             double aNow) const;

private:
  struct Recent
  {
    double refusals = 0;
    double at = 0;
  };

  std::map<std::string, Recent, std::less<>> byDomain;
};

/** Slots that a domain has free, by its latest summary and its slowdown. */
double WeightOf(const DomainLoad& aLoad);

} // namespace lacewingwharf
