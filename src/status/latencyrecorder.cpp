#include "status/latencyrecorder.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace lacewingwharf {

namespace {

namespace acc = boost::accumulators;

// In the order of LatencyQuantile.
constexpr std::array<double, 3> kProbabilities{ 0.5, 0.9, 0.99 };

// The P-square estimate is poor before its markers have spread.
constexpr std::size_t kExactSamples = 64;

double
ExactQuantile(std::vector<double> aSamples, double aProbability)
{
  const auto count = static_cast<double>(aSamples.size());
  const auto rank = static_cast<std::size_t>(
    std::max(0.0, std::ceil(aProbability * count) - 1));
  const auto place = aSamples.begin() + static_cast<std::ptrdiff_t>(rank);
  std::ranges::nth_element(aSamples, place);
  return *place;
}

} // namespace

LatencyRecorder::Half::Half()
  : accumulator(acc::extended_p_square_probabilities = kProbabilities)
{
}

void
LatencyRecorder::Half::Add(double aMillis)
{
  if (this->first.size() < kExactSamples) {
    this->first.push_back(aMillis);
  }
  this->accumulator(aMillis);
}

double
LatencyRecorder::Half::Quantile(LatencyQuantile aQuantile) const
{
  const auto index = static_cast<std::size_t>(aQuantile);
  if (this->first.empty()) {
    return 0;
  }
  if (this->Count() <= kExactSamples) {
    return ExactQuantile(this->first, kProbabilities.at(index));
  }
  const auto estimates = acc::extended_p_square(this->accumulator);
  return estimates[static_cast<std::ptrdiff_t>(index)];
}

std::size_t
LatencyRecorder::Half::Count() const
{
  return acc::count(this->accumulator);
}

LatencyRecorder::LatencyRecorder(Millis aWindow)
  : halfWindow(static_cast<double>(aWindow) / 2)
{
}

void
LatencyRecorder::Add(double aMillis, double aNow)
{
  this->Roll(aNow);
  this->current.Add(aMillis);
}

double
LatencyRecorder::Quantile(LatencyQuantile aQuantile, double aNow)
{
  this->Roll(aNow);
  const auto newer = static_cast<double>(this->current.Count());
  const auto older = static_cast<double>(this->before.Count());
  if (newer + older == 0) {
    return 0;
  }
  return (newer * this->current.Quantile(aQuantile) +
          older * this->before.Quantile(aQuantile)) /
         (newer + older);
}

std::size_t
LatencyRecorder::Count(double aNow)
{
  this->Roll(aNow);
  return this->current.Count() + this->before.Count();
}

void
LatencyRecorder::Roll(double aNow)
{
  const double age = aNow - this->halfStart;
  if (age < this->halfWindow) {
    return;
  }
  const bool isNext = age < 2 * this->halfWindow;
  this->before = isNext ? this->current : Half();
  this->current = Half();
  this->halfStart = isNext ? this->halfStart + this->halfWindow : aNow;
}

} // namespace lacewingwharf
