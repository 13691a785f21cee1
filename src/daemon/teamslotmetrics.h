#pragma once

#include "admission/refusal.h"
#include "catalogue/snapshot.h"

#include <map>
#include <set>
#include <string>

namespace lacewingwharf {

class MetricsRegistry;

/**
 * Counts the slot time and the refused calls of teams at this destination
 * daemon in the metrics, and removes the series of teams that the catalogue no
 * longer has.
 */
class TeamSlotMetrics
{
public:
  explicit TeamSlotMetrics(MetricsRegistry& aMetrics);

  void AddSlotTime(const std::string& aTeam, double aMillis);
  void AddRefusal(const std::string& aTeam, RefusalReason aReason);
  void KeepTeams(const Snapshot& aSnapshot);

private:
  void RemoveTeam(const std::string& aTeam,
                  const std::set<RefusalReason>& aReasons);

  MetricsRegistry& metrics;

  /** Teams with series, and the reasons of their refusals. */
  std::map<std::string, std::set<RefusalReason>> teams;
};

} // namespace lacewingwharf
