#include "daemon/usagemetrics.h"

#include "status/metricsregistry.h"

#include <algorithm>
#include <array>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr const char* kTokens = "lacewingwharf_usage_tokens";
constexpr const char* kPool = "lacewingwharf_usage_pool";

constexpr std::array<std::pair<const char*, std::int64_t UsageCounts::*>, 4>
  kKinds{ { { "requested", &UsageCounts::requested },
            { "granted", &UsageCounts::granted },
            { "returned", &UsageCounts::returned },
            { "refused", &UsageCounts::refused } } };

} // namespace

UsageMetrics::UsageMetrics(MetricsRegistry& aMetrics)
  : metrics(aMetrics)
{
}

void
UsageMetrics::Report(const std::vector<UsageState>& aStates)
{
  std::set<std::string> present;
  for (const UsageState& state : aStates) {
    present.insert(state.team);
    this->ReportTeam(state);
  }
  for (const std::string& team : this->teams) {
    if (!present.contains(team)) {
      this->RemoveTeam(team);
    }
  }
  this->teams = std::move(present);
}

void
UsageMetrics::ReportTeam(const UsageState& aState)
{
  for (const auto& [kind, count] : kKinds) {
    this->metrics
      .Gauge(kTokens,
             "Tokens of a team's cap at this daemon since its start",
             { { "team", aState.team }, { "kind", kind } })
      ->Set(static_cast<double>(aState.counts.*count));
  }
  this->metrics
    .Gauge(kPool,
           "Tokens of a team that this daemon can grant as an accountant",
           { { "team", aState.team } })
    ->Set(aState.poolLeft);
}

void
UsageMetrics::RemoveTeam(const std::string& aTeam)
{
  for (const auto& [kind, count] : kKinds) {
    this->metrics.Remove(kTokens, { { "team", aTeam }, { "kind", kind } });
  }
  this->metrics.Remove(kPool, { { "team", aTeam } });
}

} // namespace lacewingwharf
