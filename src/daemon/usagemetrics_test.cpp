#include "daemon/usagemetrics.h"

#include "status/metricsregistry.h"

#include <criterion/criterion.h>

#include <string>

using namespace lacewingwharf;

namespace {

UsageState
StateOf(const std::string& aTeam)
{
  UsageState state;
  state.team = aTeam;
  state.counts = { 4, 3, 2, 1 };
  state.poolLeft = 9;
  return state;
}

bool
Contains(const MetricsRegistry& aMetrics, const std::string& aText)
{
  return aMetrics.Text().find(aText) != std::string::npos;
}

} // namespace

// Dashboards would show a team that was removed, or one without a cap, with its
// last values for as long as the daemon runs.
Test(usagemetrics, series_of_removed_teams_disappear)
{
  MetricsRegistry metrics;
  UsageMetrics usage(metrics);
  usage.Report({ StateOf("pulo"), StateOf("tills") });
  cr_assert(Contains(metrics, "pulo"));
  cr_assert(Contains(metrics, "granted"));
  cr_assert(Contains(metrics, "tills"));
  usage.Report({ StateOf("tills") });
  cr_assert_not(Contains(metrics, "pulo"));
  cr_assert(Contains(metrics, "tills"));
  usage.Report({ StateOf("pulo"), StateOf("tills") });
  cr_assert(Contains(metrics, "pulo"));
  usage.Report({});
  cr_assert_not(Contains(metrics, "tills"));
}
