#pragma once

#include "common/clock.h"

namespace lacewingwharf {

/**
 * How long members that are not among the first candidates leave the watch to
 * those after the store has refused them.
 */
inline constexpr Millis kStoreRetryDelay = 8000;

/**
 * Returns the time from one try of the store to the next while it is down; the
 * first candidates take turns. aRolloutTime is the time within which a new
 * version must be in force.
 */
Millis
StoreTryInterval(Millis aRolloutTime);

/**
 * Returns how long a member counts as refused after a call that failed. That is
 * longer than the time until its next try has failed, also if the store does
 * not answer it within aStoreTimeout.
 */
Millis
RefusedTime(Millis aRolloutTime, Millis aStoreTimeout);

} // namespace lacewingwharf
