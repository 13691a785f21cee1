#pragma once

#include "membership/endpointview.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingwharf {

/** One part of a split, with the slots that it is in proportion to. */
struct SharePart
{
  std::string name;
  std::int64_t slots = 0;
  std::int64_t share = 0;
};

/**
 * Splits aTotal over aParts in proportion to their slots by the largest
 * remainder method. Equal remainders are ordered by a hash of aSalt and the
 * part's name, so that small limits do not all fall to the same host.
 */
void SplitByLargestRemainder(std::int64_t aTotal,
                             std::string_view aSalt,
                             std::vector<SharePart>& aParts);

/**
 * The slots behind a limit: per failure domain, and per host in the failure
 * domain of this daemon. The limit is split over the domains first and inside
 * a domain over its hosts, because only aggregates of the other domains are
 * known. Every daemon that has the same view computes the same split.
 */
class LimitShare
{
public:
  explicit LimitShare(std::string aHost);

  /**
   * aOwnSlots are the ready slots of this host. They count even when the view
   * does not list them yet, as this host's part of the overshoot bound.
   */
  void Add(const ServiceView& aView, std::int64_t aOwnSlots);

  std::int64_t Of(std::int64_t aTotal, std::string_view aSalt) const;

private:
  std::string OwnDomain(const ServiceView& aView) const;

  std::string host;
  std::string ownDomain;
  std::map<std::string, std::int64_t> domains;
  std::map<std::string, std::int64_t> hosts; // Of the own domain.
};

} // namespace lacewingwharf
