#include "status/latencyrecorder.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace lacewingwharf {

namespace {

namespace acc = boost::accumulators;

// In the order of LatencyQuantile.
constexpr std::array<double, 3> kProbabilities{ 0.5, 0.9, 0.99 };

// P-square estimates are inaccurate for few samples, before the markers of the
// algorithm have spread.
constexpr std::size_t kMaxExactSamples = 64;

double
ExactQuantile(std::vector<double> aSamples, double aProbability)
{
  const auto count = static_cast<double>(aSamples.size());
  const auto rank = static_cast<std::size_t>(
    std::max(0.0, std::ceil(aProbability * count) - 1));
  const auto position = aSamples.begin() + static_cast<std::ptrdiff_t>(rank);
  std::ranges::nth_element(aSamples, position);
  return *position;
}

} // namespace

LatencyRecorder::HalfWindow::HalfWindow()
  : accumulator(acc::extended_p_square_probabilities = kProbabilities)
{
}

void
LatencyRecorder::HalfWindow::Add(double aMillis)
{
  if (this->firstSamples.size() < kMaxExactSamples) {
    this->firstSamples.push_back(aMillis);
  }
  this->accumulator(aMillis);
}

double
LatencyRecorder::HalfWindow::Quantile(LatencyQuantile aQuantile) const
{
  const auto index = static_cast<std::size_t>(aQuantile);
  if (this->firstSamples.empty()) {
    return 0;
  }
  if (this->Count() <= kMaxExactSamples) {
    return ExactQuantile(this->firstSamples, kProbabilities.at(index));
  }
  const auto estimates = acc::extended_p_square(this->accumulator);
  return estimates[static_cast<std::ptrdiff_t>(index)];
}

std::size_t
LatencyRecorder::HalfWindow::Count() const
{
  return acc::count(this->accumulator);
}

LatencyRecorder::LatencyRecorder(Millis aWindow)
  : halfWindowMillis(static_cast<double>(aWindow) / 2)
{
}

void
LatencyRecorder::Add(double aMillis, double aNow)
{
  this->RotateWindow(aNow);
  this->current.Add(aMillis);
}

double
LatencyRecorder::Quantile(LatencyQuantile aQuantile, double aNow)
{
  this->RotateWindow(aNow);
  const auto newer = static_cast<double>(this->current.Count());
  const auto older = static_cast<double>(this->previous.Count());
  if (newer + older == 0) {
    return 0;
  }
  return (newer * this->current.Quantile(aQuantile) +
          older * this->previous.Quantile(aQuantile)) /
         (newer + older);
}

std::size_t
LatencyRecorder::Count(double aNow)
{
  this->RotateWindow(aNow);
  return this->current.Count() + this->previous.Count();
}

void
LatencyRecorder::RotateWindow(double aNow)
{
  const double age = aNow - this->currentStart;
  if (age < this->halfWindowMillis) {
    return;
  }
  const bool isAdjacent = age < 2 * this->halfWindowMillis;
  this->previous = isAdjacent ? this->current : HalfWindow();
  this->current = HalfWindow();
  this->currentStart =
    isAdjacent ? this->currentStart + this->halfWindowMillis : aNow;
}

} // namespace lacewingwharf
