#include "membership/memorynetwork.h"

#include "common/log.h"

#include <criterion/criterion.h>

using namespace lacewingwharf;

namespace {

void
SilenceLogs()
{
  Log::SetLevel(LogLevel::Error);
}

} // namespace

TestSuite(serving, .init = SilenceLogs);

// Guards against calls that are sent to a daemon which has no configuration yet
// and could only refuse them.
Test(serving, servers_of_a_daemon_that_cannot_serve_are_offered_no_calls)
{
  MemoryNetwork network(7);
  for (int index = 0; index < 4; ++index) {
    network.Add("north", "bangor");
  }
  network.At(0).SetServing(false);
  network.Announce(0, { "orders", 9000, 6, 110, wire::EndpointState::READY });
  network.Run(3000);
  cr_expect_eq(EndpointCount(network, 0), 0U);
  cr_expect_eq(EndpointCount(network, 3), 0U);
  network.At(0).SetServing(true);
  network.At(0).PublishChanges();
  network.Run(1000);
  cr_expect_eq(EndpointCount(network, 0), 1U);
  cr_expect_eq(EndpointCount(network, 3), 1U);
}

// Guards against a draining server that counts as starting, and so as one that
// will take calls.
Test(serving, a_draining_server_stays_draining)
{
  MemoryNetwork network(8);
  network.Add("north", "bangor");
  network.At(0).SetServing(false);
  network.Announce(0,
                   { "orders", 9000, 6, 110, wire::EndpointState::DRAINING });
  network.Run(200);
  const auto& endpoints = network.At(0).Self().endpoints;
  cr_assert_eq(endpoints.size(), 1U);
  cr_expect_eq(endpoints.front().state, wire::EndpointState::DRAINING);
}

// Guards against daemons that do not learn whom the store turns away, and
// against a fleet without a candidate when it turns away all.
Test(serving, members_know_which_hosts_the_store_serves)
{
  MemoryNetwork network(9);
  network.adjustConfig = [](MembershipConfig& aConfig) {
    aConfig.isFleetWide = true;
  };
  network.Add("north", "bangor");
  network.Add("north", "wrecsam");
  network.Add("south", "abertawe");
  network.Run(5000);
  const auto served = [&network] {
    return network.At(1).HostsWithStoreAccess();
  };
  cr_assert_eq(served().size(), 2U);
  network.At(0).SetStoreLost(true);
  network.At(0).PublishChanges();
  network.Run(1000);
  cr_expect_eq(served(), std::vector<std::string>{ "wrecsam-0001" });
  network.At(1).SetStoreLost(true);
  cr_expect_eq(served().size(), 1U); // Not published yet.
  network.At(1).PublishChanges();
  cr_expect_eq(served().size(), 2U);
}
