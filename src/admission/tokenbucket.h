#pragma once

namespace lacewingwharf {

/** Calls per second with a bounded burst. Times are in milliseconds. */
class TokenBucket
{
public:
  /** Keeps the tokens that are left; a bucket that never had a rate is full. */
  void SetRate(double aPerSecond, double aBurst);

  bool HasToken(double aNow);
  void Take(double aNow);

  /** Counts an attempt, granted or not. */
  void CountAttempt(double aNow);

  /** Attempts in the last second, interpolated over two fixed seconds. */
  double AttemptsPerSecond(double aNow);

  /** Time until a whole token is available; 0 when one is. */
  double MillisToToken(double aNow);

private:
  void Refill(double aNow);
  void RollSecond(double aNow);

  double perMilli = 0;
  double burst = 0;
  double tokens = -1; // Negative before the first rate is set.
  double refilledAt = 0;
  double secondStart = 0;
  double inSecond = 0;
  double inSecondBefore = 0;
};

} // namespace lacewingwharf
