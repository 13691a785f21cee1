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

// A daemon without a configuration refuses all calls, so other daemons must not
// route calls to its servers until it can serve.
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

// A daemon that cannot serve publishes ready servers as starting. It must not
// do this to a draining server, which will not accept calls again.
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

// Members must know which hosts the store rejects, so that other hosts take
// over the roles of these. If the store rejects all hosts, all stay candidates.
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
