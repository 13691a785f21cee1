#include "common/hash.h"
#include "common/log.h"
#include "distribution/distributorfleet.h"

#include <criterion/criterion.h>

#include <optional>

using namespace lacewingwharf;

// A daemon that restarts during a partition must not serve without a version,
// and must get one after the partition ends.
Test(distributor, ADaemonRestartedIntoAPartitionWaitsForAVersion)
{
  Fleet fleet(6, 3);
  const std::string host = fleet.HostWithoutRole();
  fleet.SetIsolated(host, true);
  fleet.sim.Restart(host);
  fleet.sim.Run(10000);
  cr_assert_not(fleet.Get(host).IsReady());
  fleet.SetIsolated(host, false);
  fleet.sim.Run(4000);
  cr_assert(fleet.Get(host).IsReady());
  fleet.AssertAllHold(3);
}

// A daemon must be able to start while the platform is down.
Test(distributor, ADaemonStartsFromItsPeersWithoutThePlatform)
{
  Fleet fleet(6, 3);
  const std::string host = fleet.HostWithoutRole();
  fleet.sim.hosts.at(host).isCutOff = true;
  fleet.sim.Restart(host);
  fleet.sim.Run(2100);
  cr_assert(fleet.Get(host).IsReady());
  fleet.AssertAllHold(3);
}

// Requirement R1 must hold across a restart. The store was restored to version
// 1, so a new process must not serve before it has the version that its peers
// hold.
Test(distributor, AStartingDaemonTakesTheHighestVersionOfItsPeers)
{
  Fleet fleet(6, 1);
  const auto backup = fleet.sim.store.All();
  const std::int64_t revision = fleet.sim.store.Revision();
  for (int edit = 0; edit < 3; ++edit) {
    fleet.Edit();
    fleet.sim.Run(1000);
  }
  fleet.sim.store.Restore(backup, revision);
  const std::string host = fleet.HostWithoutRole();
  fleet.sim.Restart(host);
  for (int step = 0; step < 400 && !fleet.Get(host).IsReady(); ++step) {
    fleet.sim.Run(10);
  }
  cr_assert(fleet.Get(host).IsReady());
  cr_assert_geq(fleet.Get(host).HeldSnapshot()->Version(), 4);
}

// A new process does not know any members yet. If it took the relay and
// acceptor roles, each start would read the whole catalogue over the region
// link.
Test(distributor, ANewProcessHasNoRolesUntilItsStartupIsComplete)
{
  Log::SetLevel(LogLevel::Error);
  ManualClock clock(1000);
  DistributorConfig config;
  config.host = "h0";
  DistributorHooks hooks;
  hooks.send = [](const std::string&, const wire::Envelope&) {};
  hooks.groupMembers = [] { return std::vector<std::string>{ "h0" }; };
  hooks.acceptorCandidates = hooks.groupMembers;
  hooks.submit = [](const PlatformJob&) { return false; };
  hooks.onSnapshotChange = [](const SnapshotPtr&) {};
  Distributor distributor(config, clock.View(), SeededRandom(1), hooks);
  distributor.Tick();
  clock.Advance(1000);
  distributor.Tick();
  cr_assert_not(distributor.IsRelay());
  cr_assert_not(distributor.IsAcceptor());
  clock.Advance(1500);
  distributor.Tick();
  cr_assert(distributor.IsRelay());
  cr_assert(distributor.IsAcceptor());
}

// The startup must not complete before three peers and the platform have
// answered, or while a newer version is known but not yet fetched.
Test(distributor, StartupWaitsForThreePeersAndThePlatform)
{
  ManualClock clock(1000);
  StartRule rule(clock.View(), 2000);
  const std::vector<std::string> peers{ "a", "b", "c", "d", "e", "f" };
  cr_assert_eq(rule.TakeDue(peers).size(), 5U);
  cr_assert(rule.TakeDue(peers).empty());
  rule.RecordPlatformAnswer();
  rule.RecordPeerAnswer("a");
  rule.RecordPeerAnswer("b");
  cr_assert_not(rule.IsComplete(false));
  cr_assert_not(rule.MayPublish());
  clock.Advance(500);
  cr_assert_eq(rule.TakeDue(peers).size(),
               3U,
               "peers without an answer are queried again");
  rule.RecordPeerAnswer("c");
  cr_assert_not(rule.IsComplete(true));
  cr_assert(rule.MayPublish());
  cr_assert(rule.IsComplete(false));
  StartRule alone(clock.View(), 2000);
  cr_assert(alone.MayPublish());
  clock.Advance(1999);
  cr_assert_not(alone.IsComplete(false));
  clock.Advance(1);
  cr_assert(alone.IsComplete(false));
}

// Requirements R1 and R9 must hold when the store is restored to an older
// state.
Test(distributor, AFleetAcceptsEditsAfterAStoreRestore)
{
  Fleet fleet(6, 2);
  const auto backup = fleet.sim.store.All();
  const std::int64_t revision = fleet.sim.store.Revision();
  fleet.Edit();
  fleet.sim.Run(1000);
  fleet.AssertAllHold(3);
  const std::string text = fleet.Get("h0").HeldSnapshot()->Find("s")->text;
  fleet.sim.store.Restore(backup, revision);
  fleet.sim.Run(20000);
  fleet.AssertAllHold(1024);
  cr_assert_eq(fleet.Get("h3").HeldSnapshot()->Find("s")->text, text);
  fleet.Edit();
  fleet.sim.Run(3000);
  fleet.AssertAllHold(1025);
  cr_assert_eq(fleet.sim.violations.versionDecreases, 0);
  cr_assert_eq(fleet.sim.violations.contentMismatches, 0);
}

// A change must reach the members even while the first relay does not respond.
Test(distributor, TheSecondRelayPushesWhenTheFirstIsFrozen)
{
  Fleet fleet(40, 1);
  const auto order = RendezvousOrder("feeder/d", fleet.sim.names);
  cr_assert(fleet.Get(order[0]).IsRelay());
  cr_assert(fleet.Get(order[1]).IsRelay());
  cr_assert_neq(order[0], "h0", "the acceptor must not be frozen");
  fleet.sim.hosts.at(order[0]).isPaused = true;
  fleet.Edit();
  fleet.sim.Run(800);
  int holders = 0;
  for (const std::string& name : fleet.sim.names) {
    holders += fleet.Get(name).HeldSnapshot()->Version() == 2 ? 1 : 0;
  }
  cr_assert_gt(holders, 30, "only %d of 40 hold the new version", holders);
}

// A change must reach each member by one push. More messages would waste
// control traffic.
Test(distributor, AChangeCostsOneMessagePerMember)
{
  Fleet fleet(40, 1);
  const std::uint64_t before = fleet.sim.messages;
  fleet.Edit();
  fleet.sim.Run(5000);
  fleet.AssertAllHold(2);
  const std::uint64_t sent = fleet.sim.messages - before;
  cr_assert_leq(sent, 50U, "%lu messages", static_cast<unsigned long>(sent));
}

// R1 must hold when the acceptor restarts after the store was restored. The
// acceptor must not publish from the old version in the store.
Test(distributor, ARestartedAcceptorWaitsForTheVersionsOfItsPeers)
{
  Fleet fleet(6, 1);
  const auto backup = fleet.sim.store.All();
  const std::int64_t revision = fleet.sim.store.Revision();
  for (int edit = 0; edit < 3; ++edit) {
    fleet.Edit();
    fleet.sim.Run(1000);
  }
  fleet.sim.store.Restore(backup, revision);
  fleet.Edit();
  fleet.SetIsolated("h0", true);
  fleet.sim.Restart("h0");
  fleet.sim.hosts.at("h0").isCutOff = false;
  fleet.sim.Run(1900);
  fleet.SetIsolated("h0", false);
  fleet.sim.Run(20000);
  cr_assert_eq(fleet.sim.violations.contentMismatches, 0);
  cr_assert_eq(fleet.Get("h0").HeldSnapshot()->Stamp().storeEpoch, 1);
  // The fifth edit came before the restore was detected. It is therefore at or
  // below the floor revision and not accepted until it is made again.
  cr_assert_eq(fleet.Get("h0").HeldSnapshot()->Find("s")->text,
               ServiceText("o4"));
  fleet.Edit();
  fleet.sim.Run(3000);
  cr_assert_eq(fleet.Get("h0").HeldSnapshot()->Find("s")->text,
               ServiceText("o6"));
}

/**
 * One distributor without a network. It records the versions of what it sends.
 */
struct SingleDistributor
{
  ManualClock clock{ 1000 };
  std::vector<std::int64_t> fetches; // The version each fetch starts from.
  std::vector<std::int64_t> pushes;  // The versions forwarded.
  Distributor distributor{
    MakeConfig(),
    clock.View(),
    SeededRandom(1),
    { [this](const std::string&, const wire::Envelope& aEnvelope) {
       if (aEnvelope.__isset.configPush) {
         this->pushes.push_back(aEnvelope.configPush.body.version);
       } else {
         this->fetches.push_back(aEnvelope.configFetch.held);
       }
     },
      [](SessionId, const wire::Envelope&) {},
      [] {
        return std::vector<std::string>{ "a", "b", "c" };
      },
      [] { return std::vector<std::string>{ "b" }; },
      [](const PlatformJob&) { return false; },
      [](const SnapshotPtr&) {} }
  };

  static DistributorConfig MakeConfig()
  {
    DistributorConfig config;
    config.host = "a";
    config.startWait = 0;
    config.fanout = 1;
    return config;
  }
};

SnapshotPtr
SnapshotWithOneService(std::int64_t aVersion)
{
  const std::string text = ServiceText(fmt::format("o{}", aVersion));
  AcceptedEntries entries;
  entries["s"] = std::make_shared<const AcceptedEntry>(
    AcceptedEntry{ ParseEntry("s", text).assume_value(), aVersion, text });
  return Snapshot::Build({ aVersion, 0, 0 }, entries).assume_value();
}

// Requirement R3: a body that was changed in transit must be refused. The
// daemon must then fetch the whole version from the peer.
Test(distributor, ARefusedPushLeadsToAWholeFetch)
{
  Log::SetLevel(LogLevel::Error);
  SingleDistributor single;
  Distributor& distributor = single.distributor;
  distributor.Tick();
  single.fetches.clear();
  const SnapshotPtr first = SnapshotWithOneService(1);
  const SnapshotPtr second = SnapshotWithOneService(2);
  wire::ConfigPush push;
  push.root = "b";
  push.body = ToWire(MakeWholeDelta(*first));
  distributor.HandlePush("b", push);
  push.body = ToWire(DeltaBetween(*first, *second));
  push.body.changed.front().revision = 9;
  distributor.HandlePush("b", push);
  cr_assert_eq(distributor.HeldSnapshot()->Version(), 1);
  single.clock.Advance(300);
  distributor.Tick();
  cr_assert_eq(single.fetches, std::vector<std::int64_t>{ 0 });
  wire::ConfigAnswer answer;
  answer.held = 2;
  answer.bodies = { ToWire(MakeWholeDelta(*second)) };
  distributor.HandleAnswer("b", answer);
  cr_assert_eq(distributor.HeldSnapshot()->ContentHash(),
               second->ContentHash());
}

// To limit the control traffic, a push that arrives again or is older than the
// held version must not be forwarded. A push from another root must be, because
// its tree is a different one.
Test(distributor, APushIsForwardedOncePerRoot)
{
  SingleDistributor single;
  single.distributor.Tick();
  const SnapshotPtr first = SnapshotWithOneService(1);
  wire::ConfigPush push;
  push.root = "c"; // The tree of degree 1 is then c, a, b.
  push.body = ToWire(MakeWholeDelta(*SnapshotWithOneService(2)));
  single.distributor.HandlePush("c", push);
  single.distributor.HandlePush("c", push);
  cr_assert_eq(single.pushes, std::vector<std::int64_t>{ 2 });
  push.body = ToWire(MakeWholeDelta(*first));
  push.root = "a";
  single.distributor.HandlePush("b", push);
  cr_assert_eq(single.pushes, std::vector<std::int64_t>{ 2 });
  push.body = ToWire(MakeWholeDelta(*SnapshotWithOneService(2)));
  single.distributor.HandlePush("b", push);
  cr_assert_eq(single.pushes, (std::vector<std::int64_t>{ 2, 2 }));
}

// If the store refuses the only relay of a group, another member must become a
// relay. Otherwise nobody in the group reads new versions.
Test(distributor, OtherCandidatesBecomeRelaysWhenTheStoreRefusesTheRelay)
{
  Log::SetLevel(LogLevel::Error);
  ManualClock clock(1000);
  std::vector<std::string> candidates{ "h0", "h1", "h2" };
  std::vector<std::unique_ptr<Distributor>> all;
  for (const std::string& host : candidates) {
    DistributorConfig config;
    config.host = host;
    config.relays = 1;
    DistributorHooks hooks;
    hooks.send = [](const std::string&, const wire::Envelope&) {};
    hooks.groupMembers = [] {
      return std::vector<std::string>{ "h0", "h1", "h2" };
    };
    hooks.relayCandidates = [&candidates] { return candidates; };
    hooks.acceptorCandidates = hooks.groupMembers;
    hooks.submit = [](const PlatformJob&) { return false; };
    hooks.onSnapshotChange = [](const SnapshotPtr&) {};
    all.push_back(std::make_unique<Distributor>(
      config, clock.View(), SeededRandom(1), hooks));
  }
  const auto relays = [&] {
    clock.Advance(3000);
    std::vector<std::string> hosts;
    for (std::size_t index = 0; index < all.size(); ++index) {
      all[index]->Tick();
      if (all[index]->IsRelay()) {
        hosts.push_back("h" + std::to_string(index));
      }
    }
    return hosts;
  };
  relays(); // Completes the startup of the processes.
  const auto first = relays();
  cr_assert_eq(first.size(), 1U);
  std::erase(candidates, first.front());
  const auto second = relays();
  // All remaining candidates are relays, because the store may refuse the next
  // one too.
  cr_expect_eq(second, candidates);
}

// Only a relay calls the store in calm. After a restore it must tell its group
// at once, and not with the next heartbeat that is due anyway.
Test(distributor, ARelaySendsANewEraAtOnce)
{
  SingleDistributor single;
  std::vector<std::int64_t> eras;
  std::optional<std::int64_t> era;
  DistributorHooks hooks;
  hooks.send = [](const std::string&, const wire::Envelope&) {};
  hooks.groupMembers = [] { return std::vector<std::string>{ "a", "b" }; };
  hooks.acceptorCandidates = hooks.groupMembers;
  hooks.submit = [](const PlatformJob&) { return false; };
  hooks.sendDatagram = [&eras](const std::string&,
                               const wire::Envelope& aSent) {
    eras.push_back(aSent.relayHeartbeat.__isset.storeEra
                     ? aSent.relayHeartbeat.storeEra
                     : -1);
  };
  hooks.isWatchWorking = [] { return true; };
  hooks.storeEra = [&era] { return era; };
  Distributor distributor(SingleDistributor::MakeConfig(),
                          single.clock.View(),
                          SeededRandom(1),
                          hooks);
  for (int tick = 0; tick < 10 && eras.empty(); ++tick) {
    single.clock.Advance(1000);
    distributor.Tick();
  }
  cr_assert_eq(eras, std::vector<std::int64_t>{ -1 });
  distributor.Tick();
  cr_expect_eq(eras.size(), 1U);
  era = 5;
  distributor.HandleStoreRise();
  distributor.Tick();
  cr_expect_eq(eras, (std::vector<std::int64_t>{ -1, 5 }));
}
