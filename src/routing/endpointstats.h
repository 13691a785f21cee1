#pragma once

#include "routing/serverchooser.h"

namespace lacewingwharf {

/**
 * Load of one endpoint, as measured by this daemon and as reported by the
 * destination daemon.
 *
 * The latency average rises to a new peak at once and decays over several
 * seconds, so that calls avoid a server from its first slow answer on.
 */
class EndpointStats
{
public:
  void RecordAttemptStart();
  void RecordAttemptEnd(const Observation& aObservation, double aNow);

  /** Begins a period in which the endpoint gets fewer calls. */
  void BeginSlowStart(double aNow);

  int Outstanding() const;
  bool IsInSlowStart(double aNow) const;

  /** Average latency in milliseconds; 0 until the first answer. */
  double Latency(double aNow) const;

  /**
   * Load estimate by which endpoints are compared; lower is better.
   * aDefaultLatency is used for endpoints without answers.
   */
  double Score(double aDefaultLatency, double aNow) const;

private:
  double SlowStartWeight(double aNow) const;
  double ReportedLoad(double aNow) const;
  void AddLatency(double aMillis, double aNow);
  void AddLowerBound(double aMillis, double aNow);

  int outstanding = 0;
  double latency = 0;
  double latencyAt = 0;
  double slowStartAt = -1; // Negative before the first slow start.
  double reported = 0;     // Running and waiting calls per slot.
  double reportedAt = -1;
  int slowInARow = 0; // Attempts given up since the last answer.
};

inline int
EndpointStats::Outstanding() const
{
  return this->outstanding;
}

} // namespace lacewingwharf
