// What daemons know about whether their version is the newest.

#include "common/sha256.h"
#include "distribution/distributorfleet.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace lacewingwharf;

namespace {

constexpr Millis kRolloutTime = 12000; // The default of the distributor.

std::string
TeamText(int aKey)
{
  return R"({"kind":"team","owner":"t","keys":[")" +
         Sha256Hex(std::to_string(aKey)) + R"("]})";
}

/**
 * A fleet whose catalogue has a team, and the times at which its versions
 * appeared in the store.
 */
struct TeamFleet : Fleet
{
  explicit TeamFleet(int aHosts)
    : Fleet(aHosts, 1)
  {
    this->EditTeam();
    this->Step(2000);
  }

  void EditTeam()
  {
    this->sim.store.Edit("catalogue/team.t", TeamText(++this->keys));
  }

  /** Runs in small steps and checks all running daemons after each. */
  void Step(Millis aTime)
  {
    constexpr Millis kStep = 10;
    for (Millis done = 0; done < aTime; done += kStep) {
      this->sim.Run(kStep);
      if (this->sim.NewestAccepted() > this->Newest()) {
        this->appeared.push_back(this->sim.clock.View().Now());
      }
      std::ranges::for_each(this->sim.names, [this](const std::string& aHost) {
        this->Check(aHost);
      });
    }
  }

  /** How long ago the version of a daemon was confirmed, or -1. */
  Millis AgeAt(const std::string& aHost) const
  {
    const auto confirmedAt = this->Get(aHost).ConfirmedAt();
    return confirmedAt ? this->sim.clock.View().Now() - *confirmedAt : -1;
  }

  bool IsCurrent(const std::string& aHost) const
  {
    const Millis age = this->AgeAt(aHost);
    return age >= 0 && age <= kRolloutTime;
  }

  long CountCurrent() const
  {
    return std::ranges::count_if(
      this->sim.names,
      [this](const std::string& aHost) { return this->IsCurrent(aHost); });
  }

  std::int64_t Newest() const
  {
    return static_cast<std::int64_t>(this->appeared.size());
  }

  int keys = 0;
  int falseClaims = 0;
  std::vector<Millis> appeared; // By version, from 1.

private:
  /** A daemon must hold all versions from before its evidence. */
  void Check(const std::string& aHost)
  {
    // A heartbeat is on the way for some hops of at most 5 ms, and the times
    // in this test have steps of 10 ms.
    constexpr Millis kTolerance = 60;
    const auto confirmedAt = this->Get(aHost).ConfirmedAt();
    const auto held =
      static_cast<std::size_t>(this->Get(aHost).HeldSnapshot()->Version());
    if (!confirmedAt || this->sim.hosts.at(aHost).isPaused ||
        held >= this->appeared.size()) {
      return;
    }
    this->falseClaims +=
      this->appeared[held] + kTolerance < *confirmedAt ? 1 : 0;
  }
};

} // namespace

// In a fleet that works, each unknown key must get a final answer: every daemon
// must know at all times that its version is current, with some margin.
Test(versionconfirmation, all_daemons_of_a_working_fleet_are_current)
{
  TeamFleet fleet(24);
  for (int round = 0; round < 30; ++round) {
    fleet.Step(1000);
    for (const std::string& host : fleet.sim.names) {
      const Millis age = fleet.AgeAt(host);
      cr_expect(age >= 0 && age <= kRolloutTime / 2,
                "%s: %ld ms",
                host.c_str(),
                long(age));
    }
  }
  fleet.EditTeam();
  fleet.Step(2000);
  cr_expect_eq(fleet.CountCurrent(), 24);
  cr_expect_eq(fleet.falseClaims, 0);
}

// A daemon that is cut off cannot know of new keys, and neither can any daemon
// while the store is down.
Test(versionconfirmation, daemons_that_are_cut_off_are_not_current)
{
  TeamFleet fleet(12);
  const std::string host = fleet.HostWithoutRole();
  fleet.SetIsolated(host, true);
  fleet.EditTeam();
  fleet.Step(kRolloutTime + 100);
  cr_expect_not(fleet.IsCurrent(host));
  cr_expect_eq(fleet.CountCurrent(), 11);
  fleet.SetIsolated(host, false);
  fleet.Step(3000);
  cr_expect_eq(fleet.CountCurrent(), 12);
  for (auto& [name, other] : fleet.sim.hosts) {
    other.isCutOff = true;
  }
  fleet.Step(kRolloutTime + 100);
  cr_expect_eq(fleet.CountCurrent(), 0);
  cr_expect_eq(fleet.falseClaims, 0);
}

// A daemon that knows from gossip of a version that it lacks must not call its
// own version current, although it was confirmed a moment ago.
Test(versionconfirmation, a_known_newer_version_ends_the_confirmation)
{
  ManualClock clock(1000);
  DistributorHooks hooks;
  hooks.send = [](const std::string&, const wire::Envelope&) {};
  hooks.groupMembers = [] { return std::vector<std::string>{ "a", "b" }; };
  hooks.acceptorCandidates = hooks.groupMembers;
  hooks.submit = [](const PlatformJob&) { return true; };
  DistributorConfig config;
  config.host = "a";
  Distributor distributor(
    config, clock.View(), SeededRandom(1), std::move(hooks));
  cr_expect_not(distributor.ConfirmedAt().has_value());
  distributor.HandleWatchAnswer(900);
  cr_assert(distributor.ConfirmedAt().has_value());
  cr_expect_eq(*distributor.ConfirmedAt(), 900);
  distributor.HandlePeerVersion("b", 1);
  cr_expect_not(distributor.ConfirmedAt().has_value());
}

// A wrong claim refuses proper callers for good. Whatever is paused, cut off or
// lost, a daemon must have all versions from before the time of its evidence.
Test(versionconfirmation, no_schedule_leads_to_a_false_claim)
{
  constexpr int kSchedules = 40;
  constexpr int kActions = 60;
  constexpr int kHosts = 8;
  long versions = 0;
  long current = 0;
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    TeamFleet fleet(kHosts);
    const Random random = SeededRandom(seed);
    fleet.sim.faults.lossPercent = static_cast<int>(RandomBelow(random, 25));
    for (int action = 0; action < kActions; ++action) {
      const std::string& host = fleet.sim.names[RandomBelow(random, kHosts)];
      FleetSim::Host& state = fleet.sim.hosts.at(host);
      switch (RandomBelow(random, 5)) {
        case 0:
          state.isPartitioned = !state.isPartitioned;
          break;
        case 1:
          state.isCutOff = !state.isCutOff;
          break;
        case 2:
          if (state.isPaused) {
            fleet.sim.Resume(host);
          } else {
            state.isPaused = true;
          }
          break;
        default:
          fleet.EditTeam();
      }
      fleet.Step(static_cast<Millis>(RandomBelow(random, 2000)));
      current += fleet.CountCurrent();
    }
    versions += fleet.Newest();
    cr_expect_eq(fleet.falseClaims,
                 0,
                 "seed %lu: %d",
                 static_cast<unsigned long>(seed),
                 fleet.falseClaims);
  }
  // The schedules must not be so hard that nothing is ever claimed.
  cr_expect_geq(versions, 10L * kSchedules, "%ld versions", versions);
  cr_expect_geq(current, 1L * kSchedules * kActions, "%ld claims", current);
}
