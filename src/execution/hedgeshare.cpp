#include "execution/hedgeshare.h"

#include <cmath>

namespace lacewingwharf {

namespace {

constexpr double kIntervalMillis = 100;

std::int64_t
IntervalAt(double aTime)
{
  return static_cast<std::int64_t>(std::floor(aTime / kIntervalMillis));
}

} // namespace

void
HedgeShare::RecordCall(double aNow)
{
  ++this->CountsOf(aNow).calls;
}

void
HedgeShare::RecordSecondAttempt(double aNow)
{
  ++this->CountsOf(aNow).secondAttempts;
}

HedgeCounts
HedgeShare::Counts(double aNow) const
{
  const std::int64_t oldest = IntervalAt(aNow - kWindowMillis);
  HedgeCounts sum;
  for (const Interval& interval : this->intervals) {
    if (interval.number >= oldest) {
      sum.secondAttempts += interval.counts.secondAttempts;
    }
    if (interval.number > oldest) {
      sum.calls += interval.counts.calls;
    }
  }
  return sum;
}

bool
HedgeShare::HasRoom(double aShare, double aNow) const
{
  const HedgeCounts counts = this->Counts(aNow);
  return static_cast<double>(counts.secondAttempts + 1) <=
         aShare * static_cast<double>(counts.calls);
}

bool
HedgeShare::IsIdle(double aNow) const
{
  return this->intervals.empty() ||
         this->intervals.back().number < IntervalAt(aNow - kWindowMillis);
}

HedgeCounts&
HedgeShare::CountsOf(double aNow)
{
  const std::int64_t number = IntervalAt(aNow);
  const std::int64_t oldest = IntervalAt(aNow - kWindowMillis);
  while (!this->intervals.empty() && this->intervals.front().number < oldest) {
    this->intervals.pop_front();
  }
  if (this->intervals.empty() || this->intervals.back().number != number) {
    this->intervals.push_back({ number, {} });
  }
  return this->intervals.back().counts;
}

} // namespace lacewingwharf
