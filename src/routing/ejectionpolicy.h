#pragma once

#include "routing/serverchooser.h"

#include <vector>

namespace lacewingwharf {

/**
 * Decides whether one endpoint is excluded because its calls fail. The first
 * ejection lasts 2 s, and each further one twice as long, up to 30 s, while the
 * endpoint keeps failing.
 */
class EjectionPolicy
{
public:
  void RecordAttemptEnd(CallEnd aEnd, double aNow);

  bool IsEjectionActive(double aNow) const;

  /**
   * Number of ejections in a row, up to a maximum. A higher level is stronger
   * evidence of a fault.
   */
  int Level() const;
  double EjectedUntil() const;

private:
  void HandleSuccess();
  void HandleFailure(bool aIsLost, double aNow);
  void Decay(double aNow);
  void Eject(double aNow);

  int consecutiveErrors = 0;
  int consecutiveSuccesses = 0;
  double errors = 0; // Both counts decay over time.
  double results = 0;
  double countedAt = 0;
  int level = 0;
  double ejectedUntil = -1;
};

/** An endpoint with an active ejection, before CapEjections(). */
struct EjectionCandidate
{
  std::size_t index = 0; // In the list of the service's endpoints.
  Distance distance = Distance::SameDomain;
  int level = 0;
  double until = 0;
};

/**
 * Removes candidates until at most half of the service's endpoints are ejected.
 * Near candidates and, among them, those with the strongest evidence stay: when
 * a whole region is unreachable, its endpoints are not used anyway and must not
 * use up the cap.
 */
void
CapEjections(std::vector<EjectionCandidate>& aCandidates,
             std::size_t aEndpoints);

inline bool
EjectionPolicy::IsEjectionActive(double aNow) const
{
  return aNow < this->ejectedUntil;
}

inline int
EjectionPolicy::Level() const
{
  return this->level;
}

inline double
EjectionPolicy::EjectedUntil() const
{
  return this->ejectedUntil;
}

} // namespace lacewingwharf
