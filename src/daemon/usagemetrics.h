#pragma once

#include "usage/usagegate.h"

#include <set>
#include <string>
#include <vector>

namespace lacewingwharf {

class MetricsRegistry;

/**
 * Writes the usage of teams to the metrics, and removes the series of teams
 * that no longer have a cap.
 */
class UsageMetrics
{
public:
  explicit UsageMetrics(MetricsRegistry& aMetrics);

  /** aStates contains all teams with a cap. */
  void Report(const std::vector<UsageState>& aStates);

private:
  void ReportTeam(const UsageState& aState);
  void RemoveTeam(const std::string& aTeam);

  MetricsRegistry& metrics;
  std::set<std::string> teams; // With series.
};

} // namespace lacewingwharf
