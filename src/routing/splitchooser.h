#pragma once

#include "catalogue/entry.h"
#include "common/random.h"

#include <map>
#include <string>
#include <vector>

namespace lacewingwharf {

/**
 * Divides the requests of a route among the services of its split by weight.
 *
 * The requests for each service are evenly spread, so that the shares also hold
 * over short periods. They hold approximately for the requests that run, too:
 * while one service refuses requests for lack of capacity, the others get fewer
 * requests.
 */
class SplitChooser
{
public:
  explicit SplitChooser(Random aRandom);

  /** Chooses the service for the next request of aRoute. */
  const std::string& ChooseService(const Entry& aRoute);

  /**
   * Records that a request did not run because aService had no capacity for it.
   */
  void RecordRefusal(const Entry& aRoute, const std::string& aService);

private:
  struct SplitState
  {
    std::vector<ServiceShare> split;
    std::vector<double> credit; // In units of weight, by position.

    /**
     * Number of recent requests that ran or may still run, by position in
     * split. Older requests count less.
     */
    std::vector<double> recentCounts;
  };

  SplitState CreateState(const Entry& aRoute) const;
  SplitState& StateOf(const Entry& aRoute);

  Random random;
  std::map<std::string, SplitState, std::less<>> states; // By route.
};

} // namespace lacewingwharf
