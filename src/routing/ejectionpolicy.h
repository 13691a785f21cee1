#pragma once

#include "routing/serverchooser.h"

#include <vector>

namespace lacewingwharf {

/**
 * Whether one endpoint should be left out because its calls fail. An ejection
 * lasts 2 s and doubles up to 30 s while the endpoint keeps failing.
 */
class EjectionPolicy
{
public:
  void RecordAttemptEnd(CallEnd aEnd, double aNow);

  bool WantsEjection(double aNow) const;

  /** The more often it was ejected, the stronger the evidence. */
  int Level() const;
  double EjectedUntil() const;

private:
  void Succeeded();
  void Failed(bool aIsCertain, double aNow);
  void Decay(double aNow);
  void Eject(double aNow);

  int consecutiveErrors = 0;
  int consecutiveSuccesses = 0;
  double errors = 0; // Both counts decay.
  double results = 0;
  double countedAt = 0;
  int level = 0;
  double ejectedUntil = -1;
};

/** An endpoint of a service that wants to be ejected. */
struct EjectionCandidate
{
  std::size_t index = 0; // In the list of the service's endpoints.
  Distance distance = Distance::SameDomain;
  int level = 0;
  double until = 0;
};

/**
 * Drops candidates until at most half of the service's endpoints are ejected.
 * Near endpoints and those with the strongest evidence stay ejected: when a
 * whole other region is unreachable, its endpoints are not used anyway and
 * must not use up the cap.
 */
void
CapEjections(std::vector<EjectionCandidate>& aCandidates,
             std::size_t aEndpoints);

inline bool
EjectionPolicy::WantsEjection(double aNow) const
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
