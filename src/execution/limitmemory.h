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

/** Whether a call was refused because a host's share of a limit is used up. */
bool
IsLimitRefusal(RefusalReason aReason);

/**
 * Remembers for a short time which failure domains and hosts have reached their
 * share of an entry's limit. Shares are in proportion to slots, but calls go to
 * the nearest failure domain first, so its share may be used up while others
 * have room. After a refusal, calls therefore go to the next domain. When all
 * shares are used up, calls are refused without contacting another daemon,
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
  /** By entry; used only while the entry has an exclusion. */
  std::map<std::string, Refusal> latestRefusals;
};

} // namespace lacewingwharf
