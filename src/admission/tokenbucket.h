#pragma once

namespace lacewingwharf {

/** Limits calls per second with a bounded burst. Times are in milliseconds. */
class TokenBucket
{
public:
  /**
   * Keeps the available tokens, up to the new burst. A bucket without an
   * earlier rate starts full.
   */
  void SetRate(double aPerSecond, double aBurst);

  bool HasToken(double aNow);
  void TakeToken(double aNow);

  /** Counts an attempt, whether or not it gets a token. */
  void CountAttempt(double aNow);

  /** Attempts in the last second, interpolated from two one-second windows. */
  double AttemptsPerSecond(double aNow);

  /** Time until a token is available; 0 when one is or when the rate is 0. */
  double MillisUntilToken(double aNow);

private:
  void Refill(double aNow);
  void AdvanceWindow(double aNow);

  double perMilli = 0;
  double burst = 0;
  double tokens = -1; // Negative before the first rate is set.
  double refilledAt = 0;
  double windowStart = 0;
  double attemptsInWindow = 0;
  double attemptsInPreviousWindow = 0;
};

} // namespace lacewingwharf
