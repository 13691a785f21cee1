#pragma once

#include "common/clock.h"

namespace lacewingwharf {

/**
 * Limits on times and retries that the rules of a site set. The defaults are
 * the limits of one such site.
 */
struct SiteBounds
{
  /** Time from SIGTERM to SIGKILL. */
  Millis stopTimeout = 6000;

  /** Time until a new version is in force on every daemon. */
  Millis versionRolloutTime = 2000;

  /** Retries of a service as a share of the requests for it. */
  double retryRatio = 0.2;

  /**
   * Retries of a service that all daemons together may send in each window in
   * addition to that share.
   */
  double extraRetries = 50;
  Millis retryWindow = 10000;
};

} // namespace lacewingwharf
