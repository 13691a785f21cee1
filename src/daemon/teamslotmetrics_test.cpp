#include "daemon/teamslotmetrics.h"

#include "admission/admissionharness.h"
#include "status/metricsregistry.h"

#include <criterion/criterion.h>

#include <string>

using namespace lacewingwharf;
using namespace lacewingwharf::testing;

namespace {

bool
Contains(const MetricsRegistry& aMetrics, const std::string& aText)
{
  return aMetrics.Text().find(aText) != std::string::npos;
}

SnapshotPtr
CatalogueWithTeam(const std::string& aName)
{
  AcceptedEntries entries;
  Entry team;
  team.name = "team." + aName;
  team.kind = EntryKind::Team;
  team.owner = aName;
  team.team.keyDigests = { aName };
  AddEntry(entries, team);
  return Snapshot::Build({ 1, 0, 0 }, std::move(entries)).value();
}

} // namespace

// Dashboards divide slot time by seconds, so it must be in seconds and add up.
Test(teamslotmetrics, slot_time_and_refusals_add_up)
{
  MetricsRegistry metrics;
  TeamSlotMetrics slots(metrics);
  slots.AddSlotTime("tills", 250);
  slots.AddSlotTime("tills", 500);
  slots.AddRefusal("tills", RefusalReason::QueueFull);
  cr_expect(Contains(metrics, "team=\"tills\"} 0.75"));
  cr_expect(Contains(metrics, "queue-full"));
}

// Series of teams that come and go must not fill the memory of a daemon.
Test(teamslotmetrics, series_of_removed_teams_disappear)
{
  MetricsRegistry metrics;
  TeamSlotMetrics slots(metrics);
  slots.AddSlotTime("tills", 250);
  slots.AddRefusal("tills", RefusalReason::QueueFull);
  slots.AddRefusal("pulo", RefusalReason::QueueWait);
  slots.KeepTeams(*CatalogueWithTeam("pulo"));
  cr_expect_not(Contains(metrics, "tills"));
  cr_expect(Contains(metrics, "pulo"));
  slots.KeepTeams(*Snapshot::Empty());
  cr_expect_not(Contains(metrics, "pulo"));
}
