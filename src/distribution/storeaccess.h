#pragma once

#include "common/clock.h"

#include <optional>
#include <utility>

namespace lacewingwharf {

/**
 * Whether this daemon is known to the others as one that the store refuses, so
 * that it is no relay.
 */
class StoreAccess
{
public:
  /**
   * A failure counts for aRefusedTime. If the reports of all members ended
   * before these try the store again, the whole group would try it; see
   * RefusedTime().
   */
  StoreAccess(Clock aClock, Millis aRefusedTime);

  /**
   * Records that a call of the watch has failed. A daemon that is neither a
   * relay nor known to be refused does not report it: only the choice of relays
   * depends on it.
   */
  void RecordFailure(bool aIsRelay);
  void RecordAnswer();
  bool IsRefused() const;

private:
  Clock clock;
  Millis refusedTime;
  std::optional<Millis> refusedUntil;
};

inline StoreAccess::StoreAccess(Clock aClock, Millis aRefusedTime)
  : clock(std::move(aClock))
  , refusedTime(aRefusedTime)
{
}

inline void
StoreAccess::RecordAnswer()
{
  this->refusedUntil.reset();
}

} // namespace lacewingwharf
