#include "daemon/teamslotmetrics.h"

#include "status/metricsregistry.h"

#include <algorithm>

namespace lacewingwharf {

namespace {

constexpr const char* kSlotSeconds = "lacewingwharf_team_slot_seconds_total";
constexpr const char* kRefused = "lacewingwharf_team_slot_refusals_total";
constexpr double kMillisPerSecond = 1000;

MetricLabels
RefusalLabels(const std::string& aTeam, RefusalReason aReason)
{
  return { { "team", aTeam },
           { "reason", std::string(kRefusalReasonNames.NameOf(aReason)) } };
}

} // namespace

TeamSlotMetrics::TeamSlotMetrics(MetricsRegistry& aMetrics)
  : metrics(aMetrics)
{
}

void
TeamSlotMetrics::AddSlotTime(const std::string& aTeam, double aMillis)
{
  this->teams.try_emplace(aTeam);
  this->metrics
    .Counter(kSlotSeconds,
             "Time for which calls of a team had slots of servers of this host",
             { { "team", aTeam } })
    ->Add(aMillis / kMillisPerSecond);
}

void
TeamSlotMetrics::AddRefusal(const std::string& aTeam, RefusalReason aReason)
{
  this->teams[aTeam].insert(aReason);
  this->metrics
    .Counter(kRefused,
             "Calls of a team that this destination daemon refused",
             RefusalLabels(aTeam, aReason))
    ->Add();
}

void
TeamSlotMetrics::KeepTeams(const Snapshot& aSnapshot)
{
  std::erase_if(this->teams, [&](const auto& aRow) {
    const auto& [team, reasons] = aRow;
    const bool isKept =
      std::ranges::find(aSnapshot.Teams(), team, &Entry::owner) !=
      aSnapshot.Teams().end();
    if (!isKept) {
      this->RemoveTeam(team, reasons);
    }
    return !isKept;
  });
}

void
TeamSlotMetrics::RemoveTeam(const std::string& aTeam,
                            const std::set<RefusalReason>& aReasons)
{
  this->metrics.Remove(kSlotSeconds, { { "team", aTeam } });
  std::ranges::for_each(aReasons, [&](RefusalReason aReason) {
    this->metrics.Remove(kRefused, RefusalLabels(aTeam, aReason));
  });
}

} // namespace lacewingwharf
