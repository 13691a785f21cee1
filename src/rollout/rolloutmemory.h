#pragma once

#include "peer_types.h"
#include "rollout/rolloutstatus.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace lacewingwharf {

/**
 * What a daemon knows of the orders of services, from the store and from other
 * daemons. A store that was restored from a copy may lack a status. An order
 * that was begun anew would then get a second budget, and a version that was
 * rolled back would be tried again.
 */
class RolloutMemory
{
public:
  /** aEra: of the store that has this status; 0 if it reports none. */
  void LearnStatus(const std::string& aService,
                   const RolloutStatus& aStatus,
                   std::int64_t aEra);
  void LearnShare(const wire::RolloutShare& aShare);

  /**
   * The status that the order had before the store was restored, if the store
   * does not have it in this era. A status that is missing in the era in which
   * it was known was removed by an operator, who ordered the version again.
   */
  std::optional<RolloutStatus> FindLost(const StoredRollout& aStored,
                                        std::int64_t aEra) const;

  /** The highest number of an order of the service; 0 without one. */
  std::int64_t LatestOrder(const std::string& aService) const;

private:
  struct Known
  {
    RolloutStatus status;
    std::int64_t era = 0;
    std::set<Millis> durations; // With which the version was ordered.
  };
  using Targets = std::map<std::string, Known>;

  static void Learn(Targets& aTargets, const Known& aNew);

  std::map<std::string, Targets> services;
};

} // namespace lacewingwharf
