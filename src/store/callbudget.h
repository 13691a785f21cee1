#pragma once

#include "common/clock.h"
#include "common/random.h"
#include "store/objectstore.h"

#include <optional>

namespace lacewingwharf {

struct BackoffConfig
{
  Millis first = 200;
  Millis maxDelay = 15000;
};

/** Exponential backoff with full jitter, so that daemons do not act at once. */
class Backoff
{
public:
  Backoff(BackoffConfig aConfig, Random aRandom);

  /** The time to wait after one more failure; at least 1 ms. */
  Millis Next();
  void Reset();

private:
  BackoffConfig config;
  Random random;
  Millis ceiling;
};

struct CallBudgetConfig
{
  double callsPerSecond = 50;
  double burst = 10;
  BackoffConfig backoff;
};

/**
 * Decides when a call to the platform may be sent. A token bucket bounds the
 * rate; after a failure calls are refused until a jittered backoff has passed,
 * and then one call at a time tries the platform again.
 */
class CallBudget
{
public:
  CallBudget(CallBudgetConfig aConfig, Clock aClock, Random aRandom);

  /** Set while the backoff runs: the error to return without sending. */
  std::optional<PlatformError> Refusal() const;

  /** What is left of the backoff, or 0. */
  Millis RefusedFor() const;

  /** Takes a token and returns 0, or the time until there is one. */
  Millis TakeOrWait();

  /** How the call ended; empty for any answer that shows a working platform. */
  void Report(std::optional<PlatformErrorCode> aFailure);

private:
  void Refill();

  CallBudgetConfig config;
  Clock clock;
  Backoff backoff;
  double tokens;
  double refilledAt;
  Millis refusedUntil = 0;
  PlatformErrorCode refusalCode = PlatformErrorCode::Unreachable;
};

} // namespace lacewingwharf
