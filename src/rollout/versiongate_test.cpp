#include "rollout/versiongate.h"

#include <criterion/criterion.h>

using namespace lacewingwharf;

namespace {

constexpr std::int64_t kIncarnation = 50;

EndpointInfo
Server(const std::string& aHost,
       const std::string& aVersion,
       std::int64_t aIncarnation)
{
  EndpointInfo info;
  info.host = aHost;
  info.port = 80;
  info.incarnation = aIncarnation;
  info.serverVersion = aVersion;
  return info;
}

EndpointView
View(std::vector<EndpointInfo> aServers)
{
  EndpointView view;
  view.services["orders"].endpoints = std::move(aServers);
  return view;
}

EndpointView
OldAndNew()
{
  return View({ Server("n1", "v2", 200),
                Server("n2", "v2", 200),
                Server("o1", "v1", 100),
                Server("o2", "v1", 300) });
}

wire::RolloutShare
Share(wire::RolloutState::type aState, std::int64_t aSequence)
{
  wire::RolloutShare share;
  share.serviceName = "orders";
  share.order = 7;
  share.state = aState;
  share.targetVersion = "v2";
  share.baseVersion = "v1";
  share.sequence = aSequence;
  share.limit = 3;
  share.incarnation = kIncarnation;
  share.echo = 1000;
  share.validMillis = 500;
  return share;
}

std::set<EndpointKey>
Excluded(const VersionGate& aGate, VersionChoice aChoice)
{
  std::set<EndpointKey> excluded;
  aGate.Exclude("orders", aChoice, excluded);
  return excluded;
}

const std::set<EndpointKey> kOld{ { "o1", 80 }, { "o2", 80 } };
const std::set<EndpointKey> kNew{ { "n1", 80 }, { "n2", 80 } };

} // namespace

// New servers that start beside the old ones must get nothing without an order,
// also on a daemon that starts when both are present.
Test(versiongate, servers_of_a_new_version_get_nothing_without_an_order)
{
  const ManualClock clock(1000);
  VersionGate late(kIncarnation, clock.View());
  late.SetView(OldAndNew());
  cr_expect_eq(late.BaseVersion("orders"), "v1");
  cr_expect_eq(Excluded(late, VersionChoice::Base), kNew);
  VersionGate early(kIncarnation, clock.View());
  early.SetView(View({ Server("o1", "v1", 100) }));
  early.SetView(OldAndNew());
  cr_expect_eq(Excluded(early, VersionChoice::Base), kNew);
}

// The first view of a daemon may contain only the new server on its own host.
Test(versiongate, a_starting_daemon_corrects_its_first_choice)
{
  ManualClock clock(1000);
  VersionGate gate(kIncarnation, clock.View());
  gate.SetView(View({ Server("n1", "v2", 200) }));
  gate.SetView(OldAndNew());
  cr_expect_eq(gate.BaseVersion("orders"), "v1");
  clock.Advance(6000);
  gate.SetView(View({ Server("n1", "v2", 10), Server("o1", "v1", 100) }));
  cr_expect_eq(gate.BaseVersion("orders"), "v1", "it must not move later");
}

// When all servers of the version in use are gone, the service must not stop.
Test(versiongate, the_new_version_serves_when_the_old_one_is_gone)
{
  ManualClock clock(1000);
  VersionGate gate(kIncarnation, clock.View());
  gate.SetView(View({ Server("o1", "v1", 100) }));
  clock.Advance(10000);
  gate.SetView(View({ Server("n1", "v2", 200) }));
  cr_expect(Excluded(gate, VersionChoice::Base).empty());
  // A short absence does not change the version in use.
  gate.SetView(OldAndNew());
  cr_expect_eq(Excluded(gate, VersionChoice::Base), kNew);
  gate.SetView(View({ Server("n1", "v2", 200) }));
  clock.Advance(11000);
  gate.SetView(View({ Server("n1", "v2", 200), Server("n2", "v3", 300) }));
  cr_expect_eq(gate.BaseVersion("orders"), "v2");
}

// Without a valid share, and beyond its limit, nothing may be sent to the
// target.
Test(versiongate, a_share_has_a_limit_and_an_end)
{
  ManualClock clock(1200);
  VersionGate gate(kIncarnation, clock.View());
  gate.SetView(OldAndNew());
  cr_expect(gate.HandleShare(Share(wire::RolloutState::RUNNING, 5)));
  cr_expect(gate.MayUseTarget("orders", 2));
  cr_expect_not(gate.MayUseTarget("orders", 3));
  cr_expect_eq(Excluded(gate, VersionChoice::Target), kOld);
  cr_expect_eq(Excluded(gate, VersionChoice::Base), kNew);
  clock.Advance(300); // 1500: the echo and its time of validity.
  cr_expect_not(gate.MayUseTarget("orders", 0));
}

// The stamp of an earlier process of the host is of another clock.
Test(versiongate, a_share_for_an_earlier_process_is_not_valid)
{
  const ManualClock clock(1200);
  VersionGate gate(kIncarnation + 1, clock.View());
  gate.SetView(OldAndNew());
  gate.HandleShare(Share(wire::RolloutState::RUNNING, 5));
  cr_expect_not(gate.MayUseTarget("orders", 0));
}

// Late messages must not revive what has ended or a share that was replaced.
Test(versiongate, late_shares_change_nothing)
{
  const ManualClock clock(1200);
  VersionGate gate(kIncarnation, clock.View());
  gate.SetView(OldAndNew());
  gate.HandleShare(Share(wire::RolloutState::RUNNING, 5));
  cr_expect_not(gate.HandleShare(Share(wire::RolloutState::RUNNING, 4)));
  // How an order ended is also told by daemons that did not decide it.
  cr_expect(gate.HandleShare(Share(wire::RolloutState::ROLLED_BACK, 0)));
  cr_expect_not(gate.HandleShare(Share(wire::RolloutState::RUNNING, 9)));
  cr_expect_not(gate.MayUseTarget("orders", 0));
  cr_expect_eq(Excluded(gate, VersionChoice::Base), kNew);
  // Not even when nothing else is left.
  gate.SetView(View({ Server("n1", "v2", 200) }));
  cr_expect_eq(Excluded(gate, VersionChoice::Base).size(), 1U);
}

// After a success, the old servers stop without draining.
Test(versiongate, after_a_success_the_old_version_gets_nothing)
{
  const ManualClock clock(1200);
  VersionGate gate(kIncarnation, clock.View());
  gate.SetView(OldAndNew());
  gate.HandleShare(Share(wire::RolloutState::SUCCEEDED, 0));
  cr_expect_eq(Excluded(gate, VersionChoice::Base), kOld);
}

// Few servers of the target must see full load, the same on all daemons.
Test(versiongate, a_share_may_name_a_number_of_servers)
{
  const ManualClock clock(1200);
  VersionGate gate(kIncarnation, clock.View());
  gate.SetView(OldAndNew());
  auto share = Share(wire::RolloutState::RUNNING, 5);
  share.servers = 1;
  gate.HandleShare(share);
  cr_expect_eq(Excluded(gate, VersionChoice::Target).size(), 3U);
}

// Servers that were replaced more than 10 s ago must not become the version in
// use again when one of them returns, also if no view came in between.
Test(versiongate, a_replaced_version_does_not_return)
{
  ManualClock clock(1000);
  VersionGate gate(kIncarnation, clock.View());
  gate.SetView(View({ Server("o1", "v1", 100) }));
  clock.Advance(10000);
  gate.SetView(View({ Server("n1", "v2", 200), Server("n2", "v2", 200) }));
  clock.Advance(11000);
  gate.SetView(OldAndNew());
  cr_expect_eq(gate.BaseVersion("orders"), "v2");
  cr_expect_eq(Excluded(gate, VersionChoice::Base), kOld);
}

// An order that is taken up while the last old server is away would limit the
// service to the share, although no other version exists. Until the old version
// counts as replaced, all servers serve without the order.
Test(versiongate, an_order_waits_until_the_version_in_use_is_known)
{
  ManualClock clock(1000);
  VersionGate gate(kIncarnation, clock.View());
  cr_expect_eq(gate.VersionToReplace("orders", "v2"), "");
  gate.SetView(View({ Server("o1", "v1", 100) }));
  clock.Advance(10000);
  gate.SetView(OldAndNew());
  cr_expect_eq(gate.VersionToReplace("orders", "v2"), "v1");
  gate.SetView(View({ Server("n1", "v2", 200) }));
  clock.Advance(9000);
  cr_expect_eq(gate.VersionToReplace("orders", "v2"), "");
  cr_expect(Excluded(gate, VersionChoice::Base).empty());
  gate.SetView(OldAndNew());
  cr_expect_eq(gate.VersionToReplace("orders", "v2"), "v1");
  gate.SetView(View({ Server("n1", "v2", 200) }));
  clock.Advance(10000);
  cr_expect_eq(gate.VersionToReplace("orders", "v2"), "v2");
  cr_expect_eq(gate.VersionToReplace("orders", "v3"), "v2");
}

// A daemon that started beside new servers only takes their version for the one
// in use, but an order for that version replaces the other one.
Test(versiongate, an_order_for_the_version_in_use_replaces_the_other_one)
{
  const ManualClock clock(1000);
  VersionGate gate(kIncarnation, clock.View());
  gate.SetView(View({ Server("n1", "v2", 50), Server("o1", "v1", 100) }));
  cr_expect_eq(gate.VersionToReplace("orders", "v2"), "v1");
}

// Two versions stand side by side without an order, and the daemon that started
// first is one of the new version. A daemon that starts must use the same
// version as those that saw which one served first.
Test(versiongate, a_starting_daemon_is_told_the_version_in_use)
{
  ManualClock clock(1000);
  const auto view = View({ Server("n1", "v2", 10), Server("o1", "v1", 20) });
  VersionGate early(30, clock.View());
  early.SetView(View({ Server("o1", "v1", 20) }));
  cr_expect(early.DisputedVersions().empty());
  clock.Advance(6000);
  early.SetView(view);
  cr_assert_eq(early.DisputedVersions().size(), 1U);
  cr_expect_eq(early.DisputedVersions().at("orders"), "v1");
  VersionGate late(kIncarnation, clock.View());
  late.SetView(view);
  cr_expect_eq(late.BaseVersion("orders"), "v2");
  wire::RolloutShare told;
  told.serviceName = "orders";
  told.state = wire::RolloutState::NONE;
  told.baseVersion = "v1";
  told.deciderIncarnation = 30;
  told.sequence = -30;
  cr_expect(late.HandleShare(told));
  late.SetView(view);
  cr_expect_eq(late.BaseVersion("orders"), "v1");
  // A daemon that started later than the first one knows less.
  told.baseVersion = "v2";
  told.deciderIncarnation = 40;
  told.sequence = -40;
  cr_expect_not(late.HandleShare(told));
  cr_expect_not(early.HandleShare(told));
  cr_expect_eq(late.BaseVersion("orders"), "v1");
  // An order stands above it, and the version can still be replaced.
  cr_expect(late.HandleShare(Share(wire::RolloutState::SUCCEEDED, 0)));
  cr_expect_eq(late.BaseVersion("orders"), "v2");
}
