#include "execution/responsetimes.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <vector>

namespace lacewingwharf {

namespace {

constexpr std::size_t kMaxSamples = 256;

// A daemon that gets 15 calls a second for ten entries sees 50 answers of one
// entry in about half a minute.
constexpr double kMaxAgeMillis = 120000;
constexpr double kSummaryIntervalMillis = 100;

double
QuantileOf(std::vector<double>& aMillis, double aQuantile)
{
  const auto count = static_cast<double>(aMillis.size());
  const auto rank = static_cast<std::ptrdiff_t>(
    std::max(0.0, std::ceil(aQuantile * count) - 1));
  std::ranges::nth_element(aMillis, aMillis.begin() + rank);
  return aMillis[static_cast<std::size_t>(rank)];
}

} // namespace

ResponseTimes::ResponseTimes(double aHighQuantile)
  : highQuantile(aHighQuantile)
  , samples(kMaxSamples)
{
}

void
ResponseTimes::Add(double aMillis, double aNow)
{
  this->samples.push_back({ aNow, aMillis });
}

const ResponseTimeSummary&
ResponseTimes::Summary(double aNow)
{
  if (this->summarizedAt < 0 ||
      aNow - this->summarizedAt >= kSummaryIntervalMillis) {
    this->Summarize(aNow);
  }
  return this->summary;
}

bool
ResponseTimes::IsIdle(double aNow) const
{
  return this->samples.empty() ||
         aNow - this->samples.back().at > kMaxAgeMillis;
}

void
ResponseTimes::Summarize(double aNow)
{
  while (!this->samples.empty() &&
         aNow - this->samples.front().at > kMaxAgeMillis) {
    this->samples.pop_front();
  }
  this->summarizedAt = aNow;
  this->summary = {};
  if (this->samples.empty()) {
    return;
  }
  std::vector<double> millis;
  millis.reserve(this->samples.size());
  std::ranges::transform(
    this->samples, std::back_inserter(millis), &Sample::millis);
  this->summary.answers = millis.size();
  this->summary.median = QuantileOf(millis, 0.5);
  this->summary.high = QuantileOf(millis, this->highQuantile);
  this->summary.age = aNow - this->samples.back().at;
}

} // namespace lacewingwharf
