#pragma once

#include "routing/serverchooser.h"

namespace lacewingwharf {

/**
 * What this daemon knows of the load of one endpoint. The latency average
 * jumps up to a new peak at once and decays down over several seconds, so a
 * server that slows down is avoided from its first slow answer on.
 */
class EndpointStats
{
public:
  void RecordAttemptStart();
  void RecordAttemptEnd(const Observation& aObservation, double aNow);

  /** A slow start of the endpoint begins at this time. */
  void BecameReady(double aNow);

  int Outstanding() const;
  bool IsInSlowStart(double aNow) const;

  /** 0 until the first answer. */
  double Latency(double aNow) const;

  /** Load to compare; aDefaultLatency stands for endpoints without answers. */
  double Score(double aDefaultLatency, double aNow) const;

private:
  double SlowStartWeight(double aNow) const;
  double ReportedLoad(double aNow) const;
  void AddLatency(double aMillis, double aNow);

  int outstanding = 0;
  double latency = 0;
  double latencyAt = 0;
  double readySince = -1; // Negative when there is no slow start.
  double reported = 0;    // Running and waiting calls per slot.
  double reportedAt = -1;
};

inline int
EndpointStats::Outstanding() const
{
  return this->outstanding;
}

} // namespace lacewingwharf
