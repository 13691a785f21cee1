#include "routing/endpointstats.h"

#include <algorithm>
#include <cmath>

namespace lacewingwharf {

namespace {

constexpr double kLatencyDecayMillis = 5000;
constexpr double kSlowStartMillis = 5000;

// An endpoint whose attempts are all given up is assumed to take up to 16 times
// as long as they were waited for. With the time that they were waited for, a
// slow endpoint got more calls than without second attempts, and p99 rose.
constexpr int kMaxSlowInARow = 4;
constexpr double kMinSlowStartWeight = 0.1;

// A load report loses most of its weight in the time in which the queue of a
// busy server is replaced by other calls.
constexpr double kReportDecayMillis = 500;

// Limits the effect of a false load report to a factor of two in the score.
constexpr double kMaxReportedLoad = 1;

} // namespace

void
EndpointStats::RecordAttemptStart()
{
  ++this->outstanding;
}

void
EndpointStats::RecordAttemptEnd(const Observation& aObservation, double aNow)
{
  this->outstanding = std::max(0, this->outstanding - 1);
  // Refusals and failed connections end quickly and say nothing about the
  // latency.
  const bool isAnswer = aObservation.end == CallEnd::Succeeded ||
                        aObservation.end == CallEnd::Failed;
  if (isAnswer) {
    this->AddLatency(aObservation.latencyMillis, aNow);
    this->slowInARow = 0;
  } else if (aObservation.end == CallEnd::Slow) {
    this->AddLowerBound(aObservation.latencyMillis, aNow);
  }
  if (aObservation.running >= 0 && aObservation.slots > 0) {
    const int calls = aObservation.running + std::max(0, aObservation.waiting);
    this->reported = static_cast<double>(calls) / aObservation.slots;
    this->reportedAt = aNow;
  }
}

void
EndpointStats::BeginSlowStart(double aNow)
{
  this->slowStartAt = aNow;
}

bool
EndpointStats::IsInSlowStart(double aNow) const
{
  return this->slowStartAt >= 0 && aNow - this->slowStartAt < kSlowStartMillis;
}

double
EndpointStats::Latency(double aNow) const
{
  return this->latency *
         std::exp(-(aNow - this->latencyAt) / kLatencyDecayMillis);
}

double
EndpointStats::Score(double aDefaultLatency, double aNow) const
{
  // An endpoint without answers is compared by the default latency. A known
  // latency decays, so that one slow answer does not exclude it for good.
  const double known = this->Latency(aNow);
  const double base = known > 0 ? known : aDefaultLatency;
  const double load = (this->outstanding + 1) * std::max(base, 1e-3);
  return load * (1 + this->ReportedLoad(aNow)) / this->SlowStartWeight(aNow);
}

double
EndpointStats::SlowStartWeight(double aNow) const
{
  if (!this->IsInSlowStart(aNow)) {
    return 1;
  }
  const double elapsedFraction = (aNow - this->slowStartAt) / kSlowStartMillis;
  return std::max(kMinSlowStartWeight, elapsedFraction);
}

double
EndpointStats::ReportedLoad(double aNow) const
{
  if (this->reportedAt < 0) {
    return 0;
  }
  const double weight =
    std::exp(-(aNow - this->reportedAt) / kReportDecayMillis);
  return weight * std::min(kMaxReportedLoad, this->reported);
}

/**
 * The latency of an attempt that was given up is at least aMillis. The longer
 * the endpoint gives no answer, the higher it is assumed to be. It only raises
 * the average.
 */
void
EndpointStats::AddLowerBound(double aMillis, double aNow)
{
  this->slowInARow = std::min(this->slowInARow + 1, kMaxSlowInARow);
  const double assumed = std::ldexp(aMillis, this->slowInARow);
  if (assumed > this->Latency(aNow)) {
    this->AddLatency(assumed, aNow);
  }
}

void
EndpointStats::AddLatency(double aMillis, double aNow)
{
  const double decayed = this->Latency(aNow);
  const double weight =
    std::exp(-(aNow - this->latencyAt) / kLatencyDecayMillis);
  this->latency = aMillis > decayed
                    ? aMillis
                    : this->latency * weight + aMillis * (1 - weight);
  this->latencyAt = aNow;
}

} // namespace lacewingwharf
