#include "routing/endpointstats.h"

#include <algorithm>
#include <cmath>

namespace lacewingwharf {

namespace {

constexpr double kLatencyDecayMillis = 5000;
constexpr double kSlowStartMillis = 5000;
constexpr double kSlowStartFloor = 0.1;

// A report loses most of its weight in the time in which a busy server's queue
// turns over.
constexpr double kReportDecayMillis = 500;

// Bounds what a false report can gain or lose: a factor of two in the score.
constexpr double kReportCap = 1;

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
  // A refusal or a failed connection is quick and says nothing of the latency.
  const bool isAnswer = aObservation.end == CallEnd::Succeeded ||
                        aObservation.end == CallEnd::Failed;
  if (isAnswer) {
    this->AddLatency(aObservation.latencyMillis, aNow);
  }
  if (aObservation.running >= 0 && aObservation.slots > 0) {
    const int calls = aObservation.running + std::max(0, aObservation.waiting);
    this->reported = static_cast<double>(calls) / aObservation.slots;
    this->reportedAt = aNow;
  }
}

void
EndpointStats::BecameReady(double aNow)
{
  this->readySince = aNow;
}

bool
EndpointStats::IsInSlowStart(double aNow) const
{
  return this->readySince >= 0 && aNow - this->readySince < kSlowStartMillis;
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
  // An endpoint without recent answers is compared by the default, so that one
  // slow answer does not exclude it for good.
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
  const double part = (aNow - this->readySince) / kSlowStartMillis;
  return std::max(kSlowStartFloor, part);
}

double
EndpointStats::ReportedLoad(double aNow) const
{
  if (this->reportedAt < 0) {
    return 0;
  }
  const double weight =
    std::exp(-(aNow - this->reportedAt) / kReportDecayMillis);
  return weight * std::min(kReportCap, this->reported);
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
