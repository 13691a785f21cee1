// Tests Distributor when the relays of its group are lost.

#include "common/hash.h"
#include "distribution/distributorfleet.h"
#include "distribution/wireconversion.h"

#include <criterion/criterion.h>

#include <utility>
#include <vector>

using namespace lacewingwharf;

// A relay that is paused or lost remains in the member list for a while, or for
// good if most of the members were lost with it. The others must not depend on
// it: a new version must be in force in time all the same.
Test(distributorrelays, a_version_is_in_force_in_time_after_all_relays_are_lost)
{
  constexpr Millis kRolloutTime = 12000;
  Fleet fleet(40, 1);
  const auto order = RendezvousOrder("feeder/d", fleet.sim.names);
  cr_assert_neq(order[0], "h0", "the acceptor is needed");
  cr_assert_neq(order[1], "h0", "the acceptor is needed");
  fleet.sim.hosts.at(order[0]).isPaused = true;
  fleet.sim.hosts.at(order[1]).isPaused = true;
  // The acceptor writes the version to the store, but reaches no member.
  fleet.sim.hosts.at("h0").isPartitioned = true;
  fleet.Edit();
  fleet.sim.Run(kRolloutTime);
  for (const std::string& name : fleet.sim.names) {
    if (name != order[0] && name != order[1]) {
      cr_expect_eq(
        fleet.Get(name).HeldSnapshot()->Version(), 2, "%s", name.c_str());
    }
  }
  const auto substitutes =
    std::ranges::count_if(fleet.sim.names, [&](const std::string& aName) {
      return fleet.Get(aName).IsRelaySubstitute();
    });
  // Each of the three that are lost cuts off at most two parts of the tree of
  // the first substitute, and each part finds another one.
  constexpr long kMaxSubstitutes = 1 + 3 * 2;
  cr_expect_geq(substitutes, 1);
  cr_expect_leq(substitutes, kMaxSubstitutes, "%ld", long(substitutes));
  // The relays are back, so the substitute gives way to them.
  fleet.sim.Resume(order[0]);
  fleet.sim.Resume(order[1]);
  fleet.sim.hosts.at("h0").isPartitioned = false;
  fleet.sim.Run(kRolloutTime);
  cr_expect(
    std::ranges::none_of(fleet.sim.names, [&](const std::string& aName) {
      return fleet.Get(aName).IsRelaySubstitute();
    }));
}

namespace {

SnapshotPtr
SnapshotOf(std::int64_t aVersion)
{
  const std::string text = ServiceText(fmt::format("o{}", aVersion));
  AcceptedEntries entries;
  entries["s"] = std::make_shared<const AcceptedEntry>(
    AcceptedEntry{ ParseEntry("s", text).assume_value(), aVersion, text });
  return Snapshot::Build({ aVersion, 0, 0 }, entries).assume_value();
}

wire::ConfigAnswer
AnswerWith(const Delta& aDelta)
{
  wire::ConfigAnswer answer;
  answer.held = aDelta.stamp.version;
  answer.bodies = { ToWire(aDelta) };
  return answer;
}

} // namespace

// If the store refuses a whole region, its daemons learn of a version only from
// another one. The first one that fetches it must push it to the others. One
// that fetches from its own region must not: the push there is on its way.
Test(distributorrelays, a_version_of_another_region_is_pushed_in_the_own_one)
{
  Log::SetLevel(LogLevel::Error);
  ManualClock clock(1000);
  std::vector<std::pair<std::string, std::int64_t>> pushes;
  DistributorHooks hooks;
  hooks.send = [&](const std::string& aHost, const wire::Envelope& aEnvelope) {
    if (aEnvelope.__isset.configPush) {
      pushes.emplace_back(aHost, aEnvelope.configPush.body.version);
    }
  };
  hooks.reply = [](SessionId, const wire::Envelope&) {};
  hooks.groupMembers = [] { return std::vector<std::string>{ "a", "b", "c" }; };
  hooks.acceptorCandidates = [] { return std::vector<std::string>(); };
  hooks.submit = [](const PlatformJob&) { return false; };
  hooks.onSnapshotChange = [](const SnapshotPtr&) {};
  hooks.readDocument = [](const ObjectStore&) {
    return PlatformResult<std::optional<CatalogueDocument>>(std::nullopt);
  };
  DistributorConfig config;
  config.host = "a";
  config.startWait = 0;
  Distributor distributor(config, clock.View(), SeededRandom(1), hooks);
  distributor.Tick();
  std::vector<SnapshotPtr> versions;
  for (const std::int64_t version : { 1, 2, 3 }) {
    versions.push_back(SnapshotOf(version));
  }
  distributor.HandleAnswer("far", AnswerWith(MakeWholeDelta(*versions[0])));
  cr_expect(pushes.empty(), "a whole version");
  distributor.HandleAnswer(
    "far", AnswerWith(DeltaBetween(*versions[0], *versions[1])));
  const std::vector<std::pair<std::string, std::int64_t>> expected{
    { "b", 2 }, { "c", 2 }
  };
  cr_expect(pushes == expected, "%zu pushes", pushes.size());
  distributor.HandleAnswer(
    "b", AnswerWith(DeltaBetween(*versions[1], *versions[2])));
  cr_expect_eq(distributor.HeldSnapshot()->Version(), 3);
  cr_expect_eq(pushes.size(), 2U, "from the own region");
}
