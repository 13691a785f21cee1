#include "status/teamstats.h"

#include "admission/admissionharness.h"
#include "common/sha256.h"
#include "status/teamsummary.h"

#include <criterion/criterion.h>

#include <string>

using namespace lacewingwharf;
using namespace lacewingwharf::testing;

namespace {

SnapshotPtr
CatalogueWithTeam(std::int64_t aVersion, int aRate)
{
  Entry team;
  team.name = "team.tills";
  team.kind = EntryKind::Team;
  team.owner = "tills";
  team.team.keyDigests = { Sha256Hex("k1"), Sha256Hex("k2") };
  team.team.ratePerSecond = aRate;
  team.team.burst = 9;
  team.team.workClass = WorkClass::Critical;
  AcceptedEntries entries;
  AddEntry(entries, team);
  return Snapshot::Build({ aVersion, 0, 0 }, std::move(entries)).value();
}

} // namespace

// Operators must see the policy in force and the counts by their outcome, and
// must see neither keys nor their digests.
Test(teamstats, a_team_is_described_by_either_name_without_keys)
{
  TeamStats stats;
  stats.Record("tills", wire::CallOutcome::DONE, {});
  stats.Record("tills", wire::CallOutcome::UNKNOWN, {});
  stats.Record("tills", wire::CallOutcome::NOT_RUN, RefusalReason::QueueFull);
  const auto snapshot = CatalogueWithTeam(4, 7);
  for (const char* name : { "tills", "team.tills" }) {
    const auto team = stats.Describe(*snapshot, name);
    cr_expect_eq(team.at("team"), "tills");
    cr_expect_eq(team.at("version"), 4);
    cr_expect_eq(team.at("keys"), 2);
    cr_expect_eq(team.at("class"), "critical");
    cr_expect_eq(team.at("rate"), 7);
    cr_expect_eq(team.at("burst"), 9);
    cr_expect_eq(team.at("usage").at("calls"), 3);
    cr_expect_eq(team.at("usage").at("done"), 1);
    cr_expect_eq(team.at("usage").at("unknown"), 1);
    cr_expect_eq(team.at("usage").at("refused"), 1);
    cr_expect_eq(team.at("usage").at("refusals").at("queue-full"), 1);
    cr_expect(team.dump().find(Sha256Hex("k1")) == std::string::npos);
  }
  cr_expect(stats.Describe(*snapshot, "others").is_null());
}

// The counts of removed teams must not collect in the daemon.
Test(teamstats, counts_of_removed_teams_are_dropped)
{
  TeamStats stats;
  const auto snapshot = CatalogueWithTeam(4, 7);
  stats.Record("tills", wire::CallOutcome::DONE, {});
  stats.KeepTeams(*snapshot);
  cr_expect_eq(stats.Describe(*snapshot, "tills").at("usage").at("calls"), 1);
  stats.KeepTeams(*Snapshot::Empty());
  cr_expect_eq(stats.Describe(*snapshot, "tills").at("usage").at("calls"), 0);
}

// The sum over several daemons must contain each of them once, with the policy
// of the newest version, and must bear answers of other builds.
Test(teamstats, a_summary_adds_the_calls_of_all_daemons)
{
  TeamStats stats;
  stats.Record("tills", wire::CallOutcome::NOT_RUN, RefusalReason::QueueFull);
  TeamSummary summary;
  cr_expect(summary.IsEmpty());
  summary.Add(nlohmann::json::object());
  summary.Add(stats.Describe(*CatalogueWithTeam(5, 8), "tills"));
  summary.Add(stats.Describe(*CatalogueWithTeam(4, 7), "tills"));
  summary.Add({ { "team", "tills" }, { "usage", "odd" } });
  cr_expect_not(summary.IsEmpty());
  cr_expect_eq(summary.Text(),
               "team tills: 2 keys, class critical, rate 8/s, burst 9\n"
               "version 5, reported by 3 daemons\n"
               "2 calls: 0 done, 2 refused, 0 unknown\n"
               "  refused queue-full: 2\n");
  cr_expect_eq(summary.ToJson().at("usage").at("calls"), 2);
  cr_expect_eq(summary.ToJson().at("rate"), 8);
}
