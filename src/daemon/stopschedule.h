#pragma once

#include "common/clock.h"

namespace lacewingwharf {

/** The steps of a planned stop on a site, as times of the steady clock. */
struct StopSchedule
{
  /**
   * Until then all calls are accepted, because the platform still sends callers
   * to this daemon. Later ones are accepted only if they end in time.
   */
  Millis intakeEnd = 0;

  /** Calls that are still open then are answered by this daemon. */
  Millis callsEnd = 0;

  /** The threads are stopped from then on. */
  Millis end = 0;
};

/**
 * aStart is the time of the signal, and the process is killed aStopTimeout
 * later. The intake is shortened if there is no time for all of it.
 */
StopSchedule
MakeStopSchedule(Millis aStart, Millis aStopTimeout);

} // namespace lacewingwharf
