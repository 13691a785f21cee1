#pragma once

#include "membership/endpointview.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingwharf {

/** One recipient in a split. Its share is in proportion to its slots. */
struct SharePart
{
  std::string name;
  std::int64_t slots = 0;
  std::int64_t share = 0;
};

/**
 * Splits aTotal over aParts in proportion to their slots by the largest
 * remainder method. Equal remainders are ordered by a hash of aSalt and the
 * part's name, so that small limits do not all go to the same host.
 */
void
SplitByLargestRemainder(std::int64_t aTotal,
                        std::string_view aSalt,
                        std::vector<SharePart>& aParts);

/**
 * Computes this host's share of a limit from the slots of the services that the
 * limit covers.
 *
 * The limit is split over the failure domains first and then, in each domain,
 * over its hosts, because a daemon only has aggregates of the other domains.
 * All daemons with the same view compute the same split.
 */
class LimitShare
{
public:
  explicit LimitShare(std::string aHost);

  /**
   * aOwnSlots are the ready slots of this host. They count even before the view
   * lists them. The calls that this admits in excess of the limit are part of
   * the overshoot that is allowed while views differ.
   */
  void AddService(const ServiceView& aView, std::int64_t aOwnSlots);

  std::int64_t ShareOf(std::int64_t aTotal, std::string_view aSalt) const;

private:
  std::string OwnDomain(const ServiceView& aView) const;

  std::string host;
  std::string ownDomain;
  std::map<std::string, std::int64_t> slotsByDomain;
  std::map<std::string, std::int64_t> slotsByHost; // In ownDomain.
};

} // namespace lacewingwharf
