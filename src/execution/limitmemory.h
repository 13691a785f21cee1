#pragma once

#include "admission/refusal.h"
#include "common/clock.h"
#include "execution/entrycall.h"
#include "membership/endpointview.h"

#include <map>
#include <set>
#include <string>
#include <tuple>

namespace lacewingwharf {

/** Whether a host refused a call because of its share of a fleet-wide limit. */
bool
IsLimitRefusal(RefusalReason aReason);

/**
 * Remembers for a short time which failure domains and hosts have reached their
 * share of an entry's limit. Limits are divided by slots while calls prefer the
 * nearest failure domain, so calls go to the next domain after a refusal. When
 * all shares are used up, calls are refused without contacting another daemon,
 * which limits what a flood of calls costs the other daemons.
 */
class LimitMemory
{
public:
  explicit LimitMemory(Clock aClock);

  /** Records that a destination refused the call's latest attempt. */
  void RecordRefusal(const EntryCall& aCall, const Refusal& aRefusal);

  /**
   * The endpoints that the call has tried and those known to be at the limit.
   */
  std::set<EndpointKey> ExcludedEndpoints(const EndpointView& aView,
                                          const EntryCall& aCall);

  /** The refusal to report when every endpoint is excluded. */
  Refusal RefusalFor(const EntryCall& aCall) const;

private:
  /**
   * Entry, failure domain and host. The host is set only if that host alone is
   * excluded because it has no share.
   */
  using Key = std::tuple<std::string, std::string, std::string>;

  bool IsExcluded(const EntryCall& aCall, const EndpointInfo& aEndpoint) const;

  Clock clock;
  std::map<Key, Millis> exclusions; // The value is the end of the exclusion.
  std::map<std::string, Refusal> latest; // By entry; see RefusalFor().
};

} // namespace lacewingwharf
