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

/** Refusals by a host's part of a fleet-wide limit. */
bool
IsLimit(RefusalReason aReason);

/**
 * Remembers for a short time where an entry's limit was met. Limits are split
 * by slots while calls prefer the nearest failure domain, so a refusal leads
 * to the next domain; when all are at their limit, calls are refused without
 * asking, which bounds what a flood of calls costs other daemons.
 */
class LimitMemory
{
public:
  explicit LimitMemory(Clock aClock);

  /** A destination refused the call's latest attempt. */
  void Note(const EntryCall& aCall, const Refusal& aRefusal);

  /** The endpoints tried by the call and those known to be at the limit. */
  std::set<EndpointKey> LeftOut(const EndpointView& aView,
                                const EntryCall& aCall);

  /** The refusal to report when every endpoint is left out. */
  Refusal RefusalFor(const EntryCall& aCall) const;

private:
  /** Entry, failure domain, and host when only that host has no part. */
  using Key = std::tuple<std::string, std::string, std::string>;

  bool IsMarked(const EntryCall& aCall, const EndpointInfo& aEndpoint) const;

  Clock clock;
  std::map<Key, Millis> marks;           // Until when.
  std::map<std::string, Refusal> latest; // By entry, while it has marks.
};

} // namespace lacewingwharf
