#pragma once

#include "common/clock.h"

namespace lacewingwharf {

/** Times and shares that a site's rules state; defaults are those of a site. */
struct SiteBounds
{
  /** From SIGTERM to SIGKILL. */
  Millis stopTime = 6000;

  /** Until a new version is in force everywhere. */
  Millis versionTime = 2000;

  /** Retries of a service as a part of the requests for it. */
  double retryRatio = 0.2;

  /** Retries of a service beyond the ratio, in each window, of all daemons. */
  double retryExtra = 50;
  Millis retryWindow = 10000;
};

} // namespace lacewingwharf
