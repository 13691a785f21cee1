#pragma once

#include "common/clock.h"
#include "common/random.h"
#include "store/objectstore.h"

#include <optional>

namespace lacewingwharf {

struct BackoffConfig
{
  Millis baseDelay = 200;
  Millis maxDelay = 15000;
};

/**
 * Exponential backoff with full jitter. The jitter keeps daemons that fail at
 * the same time from retrying at the same time.
 */
class Backoff
{
public:
  Backoff(BackoffConfig aConfig, Random aRandom);

  /** Returns the delay after another failure, at least 1 ms. */
  Millis NextDelay();
  void Reset();

private:
  BackoffConfig config;
  Random random;
  Millis delayLimit;
};

struct CallBudgetConfig
{
  double callsPerSecond = 50;
  double burst = 10;
  BackoffConfig backoff;
};

/**
 * Decides when a call to the platform may be sent. A token bucket limits the
 * call rate. After a failure, calls are rejected until a jittered backoff has
 * passed. The next call then tests whether the platform works again.
 */
class CallBudget
{
public:
  CallBudget(CallBudgetConfig aConfig, Clock aClock, Random aRandom);

  /**
   * Returns the error that a call gets during a backoff instead of being sent,
   * or nothing if calls may be sent.
   */
  std::optional<PlatformError> BackoffError() const;

  /** Returns the remaining time of the backoff, 0 if there is none. */
  Millis RemainingBackoff() const;

  /**
   * Takes a token and returns 0, or takes none and returns the time until one
   * is available.
   */
  Millis TakeTokenOrGetDelay();

  /**
   * Records how a call ended. A failure starts a backoff. aFailure is empty if
   * the answer shows that the platform works, which ends the backoff.
   */
  void RecordResult(std::optional<PlatformErrorCode> aFailure);

private:
  void Refill();

  CallBudgetConfig config;
  Clock clock;
  Backoff backoff;
  double tokens;
  double refilledAt;
  Millis backoffUntil = 0;
  PlatformErrorCode backoffErrorCode = PlatformErrorCode::Unreachable;
};

} // namespace lacewingwharf
