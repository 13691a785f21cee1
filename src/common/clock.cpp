#include "common/clock.h"

#include <chrono>
#include <ctime>
#include <utility>

namespace lacewingwharf {

namespace {

template<typename ChronoClock>
double
CurrentMillis()
{
  const auto sinceEpoch = ChronoClock::now().time_since_epoch();
  return std::chrono::duration<double, std::milli>(sinceEpoch).count();
}

double
MillisSinceBoot()
{
  constexpr double kMillisPerSecond = 1e3;
  constexpr double kNanosPerMilli = 1e6;
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return static_cast<double>(now.tv_sec) * kMillisPerSecond +
         static_cast<double>(now.tv_nsec) / kNanosPerMilli;
}

} // namespace

Clock::Clock(Source aSource)
  : source(std::move(aSource))
{
}

Clock
Clock::Steady()
{
  return Clock(CurrentMillis<std::chrono::steady_clock>);
}

Clock
Clock::SinceBoot()
{
  return Clock(MillisSinceBoot);
}

Clock
Clock::Wall()
{
  return Clock(CurrentMillis<std::chrono::system_clock>);
}

ManualClock::ManualClock(Millis aStart)
  : now(std::make_shared<double>(static_cast<double>(aStart)))
{
}

Clock
ManualClock::View() const
{
  return Clock([value = this->now] { return *value; });
}

void
ManualClock::Advance(double aMillis)
{
  *this->now += aMillis;
}

} // namespace lacewingwharf
