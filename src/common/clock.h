#pragma once

#include <cstdint>
#include <functional>
#include <memory>

namespace lacewingwharf {

/** Milliseconds, for deadlines, intervals and time stamps. */
using Millis = std::int64_t;

/**
 * A source of time in milliseconds. Code that depends on the time receives a
 * clock by value, so that tests can pass a manual clock.
 */
class Clock
{
public:
  using Source = std::function<double()>;

  explicit Clock(Source aSource);

  /** Monotonic time, only comparable within this process. */
  static Clock Steady();

  /** Monotonic time that continues while the host is suspended. */
  static Clock SinceBoot();

  /** Time since the Unix epoch, for records that outlive the process. */
  static Clock Wall();

  Millis Now() const;

  /** Fractional milliseconds, to measure latencies below one millisecond. */
  double PreciseNow() const;

private:
  Source source;
};

/** A clock that moves only by Advance(), for tests and simulations. */
class ManualClock
{
public:
  explicit ManualClock(Millis aStart = 0);

  /** Returns a clock that reads this one and may outlive it. */
  Clock View() const;
  void Advance(double aMillis);

private:
  std::shared_ptr<double> now;
};

inline Millis
Clock::Now() const
{
  return static_cast<Millis>(this->source());
}

inline double
Clock::PreciseNow() const
{
  return this->source();
}

} // namespace lacewingwharf
