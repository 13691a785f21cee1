#pragma once

#include "common/clock.h"
#include "common/random.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <queue>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lacewingwharf::bench {

/**
 * Event loop of a discrete-event simulation: runs events in the order of their
 * times and advances a manual clock to the time of each.
 */
class EventLoop
{
public:
  using Event = std::function<void()>;

  Clock View() const { return this->clock.View(); }
  double Now() const { return this->clock.View().PreciseNow(); }

  void After(double aMillis, Event aEvent)
  {
    this->events.push(
      { this->Now() + aMillis, this->sequence++, std::move(aEvent) });
  }

  void Every(double aMillis, const Event& aEvent)
  {
    this->After(aMillis, [this, aMillis, aEvent] {
      aEvent();
      this->Every(aMillis, aEvent);
    });
  }

  void RunUntil(double aTimeMillis)
  {
    while (!this->events.empty() && this->events.top().at <= aTimeMillis) {
      const ScheduledEvent next = this->events.top();
      this->events.pop();
      this->clock.Advance(std::max(0.0, next.at - this->Now()));
      next.event();
    }
  }

private:
  struct ScheduledEvent
  {
    double at;
    std::uint64_t sequence; // Orders events with equal times.
    Event event;

    bool operator<(const ScheduledEvent& aOther) const
    {
      return this->at != aOther.at ? this->at > aOther.at
                                   : this->sequence > aOther.sequence;
    }
  };

  ManualClock clock{ 1000 };
  std::priority_queue<ScheduledEvent> events;
  std::uint64_t sequence = 0;
};

/** Returns an exponentially distributed random value. */
inline double
Exponential(const Random& aRandom, double aMean)
{
  constexpr std::uint64_t kSteps = 1U << 30U;
  const double unit = static_cast<double>(RandomBelow(aRandom, kSteps)) /
                      static_cast<double>(kSteps);
  return -aMean * std::log(1 - unit);
}

inline double
QuantileOf(std::vector<double> aValues, double aQuantile)
{
  if (aValues.empty()) {
    return 0;
  }
  const auto index = static_cast<std::ptrdiff_t>(
    aQuantile * static_cast<double>(aValues.size() - 1));
  std::ranges::nth_element(aValues, aValues.begin() + index);
  return aValues[static_cast<std::size_t>(index)];
}

inline bool
IsCsv(int aCount, char** aArguments)
{
  return aCount > 1 && std::string_view(aArguments[1]) == "--csv";
}

} // namespace lacewingwharf::bench
