#pragma once

#include <cstdint>
#include <deque>

namespace lacewingwharf {

/** Calls of a service and their second attempts in a window of time. */
struct HedgeCounts
{
  std::int64_t calls = 0;
  std::int64_t secondAttempts = 0;
};

/**
 * Counts the calls of a service and their second attempts in the last 10 s, so
 * that second attempts stay within a fraction of the calls. Counts are kept by
 * intervals of 100 ms. The oldest interval is counted with its second attempts
 * and without its calls, so that the fraction is never exceeded by rounding.
 */
class HedgeShare
{
public:
  static constexpr double kWindowMillis = 10000;

  void RecordCall(double aNow);
  void RecordSecondAttempt(double aNow);

  /** The counts of the window that ends now. */
  HedgeCounts Counts(double aNow) const;

  /** Whether one more second attempt is within the fraction of the calls. */
  bool HasRoom(double aShare, double aNow) const;

  /** Whether the window that ends now has no calls and no second attempts. */
  bool IsIdle(double aNow) const;

private:
  struct Interval
  {
    std::int64_t number = 0; // Since time 0.
    HedgeCounts counts;
  };

  HedgeCounts& CountsOf(double aNow);

  std::deque<Interval> intervals; // Oldest first.
};

} // namespace lacewingwharf
