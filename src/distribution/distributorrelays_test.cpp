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

/** The members of a group in the order in which they become relays. */
std::vector<std::string>
GroupOrder(int aMembers)
{
  std::vector<std::string> hosts;
  hosts.reserve(static_cast<std::size_t>(aMembers));
  for (int index = 0; index < aMembers; ++index) {
    hosts.push_back(fmt::format("h{}", index));
  }
  return RendezvousOrder("feeder/d", hosts);
}

/** A member of a group with one relay whose watch of the store works. */
struct GroupMember
{
  GroupMember(const std::string& aHost, std::vector<std::string> aMembers)
    : members(std::move(aMembers))
    , candidates(this->members)
    , distributor(Config(aHost),
                  this->clock.View(),
                  SeededRandom(1),
                  this->Hooks())
  {
    Log::SetLevel(LogLevel::Error);
    this->Run();
  }

  static DistributorConfig Config(const std::string& aHost)
  {
    DistributorConfig config;
    config.host = aHost;
    config.group = "d";
    config.relays = 1;
    config.startWait = 0;
    return config;
  }

  DistributorHooks Hooks()
  {
    DistributorHooks hooks;
    hooks.send = [](const std::string&, const wire::Envelope&) {};
    hooks.reply = [](SessionId, const wire::Envelope&) {};
    hooks.groupMembers = [this] { return this->members; };
    hooks.relayCandidates = [this] { return this->candidates; };
    hooks.acceptorCandidates = [] { return std::vector<std::string>(); };
    hooks.submit = [](const PlatformJob&) { return false; };
    hooks.onSnapshotChange = [](const SnapshotPtr&) {};
    hooks.readDocument = [](const ObjectStore&) {
      return PlatformResult<std::optional<CatalogueDocument>>(std::nullopt);
    };
    hooks.isWatchWorking = [this] { return this->isWatchWorking; };
    return hooks;
  }

  /** Runs until the roles have been computed from the present members. */
  void Run()
  {
    this->distributor.Tick();
    this->clock.Advance(1000);
    this->distributor.Tick();
  }

  ManualClock clock{ 1000 };
  std::vector<std::string> members;
  std::vector<std::string> candidates;
  bool isWatchWorking = true;
  Distributor distributor;
};

} // namespace

// While the store refuses most of a group, no member gets a rank. The relay
// that it still serves may be the only one that reads new versions: without its
// role, the group would wait for a substitute.
Test(distributorrelays, a_relay_keeps_its_role_while_the_store_serves_only_it)
{
  const auto order = GroupOrder(12);
  GroupMember relay(order.front(), order);
  cr_assert(relay.distributor.IsRelay());
  relay.candidates = { order.front(), order.back() };
  relay.Run();
  cr_expect(relay.distributor.IsRelay());
  // The members change while the others are refused.
  relay.members.push_back("h12");
  relay.Run();
  cr_expect(relay.distributor.IsRelay());
  GroupMember other(order.back(), order);
  other.candidates = { order.front(), order.back() };
  other.Run();
  cr_expect_not(other.distributor.IsRelay(), "it was no relay before");
}

// A relay whose watch has failed, too, must give up its role, so that the
// members of its group try the store in turn and not all of them at once.
Test(distributorrelays, a_relay_that_is_refused_with_most_others_is_none)
{
  const auto order = GroupOrder(12);
  GroupMember relay(order.front(), order);
  relay.candidates = { order.front(), order.back() };
  relay.Run();
  cr_assert(relay.distributor.IsRelay());
  relay.isWatchWorking = false;
  relay.candidates = { order.back() };
  relay.Run();
  cr_expect_not(relay.distributor.IsRelay(), "after most of the others");
  GroupMember together(order.front(), order);
  together.isWatchWorking = false;
  together.candidates = { order.front(), order.back() };
  together.Run();
  cr_expect_not(together.distributor.IsRelay(), "together with the others");
}

// A relay must give way to a member that precedes it in the order, although its
// watch works. Each relay costs the store as many calls as the group needs.
Test(distributorrelays, a_relay_gives_way_while_the_store_serves_the_group)
{
  const auto order = GroupOrder(13);
  GroupMember relay(order[1], { order.begin() + 1, order.end() });
  cr_assert(relay.distributor.IsRelay());
  relay.members = order;
  relay.candidates = order;
  relay.Run();
  cr_expect_not(relay.distributor.IsRelay());
}

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
