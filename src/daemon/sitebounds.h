#pragma once

#include "common/clock.h"
#include "usage/usagetimes.h"

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

  /** Of the usage caps of teams. */
  UsageBound usage;

  /**
   * Requests that may be sent to a version which turns out to be bad: a share
   * of all requests to the service during the rollout, and a fixed number.
   */
  double exposureShare = 0.1;
  double exposureSlack = 50;

  /** Time from the 50th bad answer until no request is sent to the version. */
  Millis rollbackTime = 5000;
};

} // namespace lacewingwharf
