#include "membership/threedomains.h"

#include "common/log.h"

#include <criterion/criterion.h>

#include <string>

using namespace lacewingwharf;

namespace {

void
SilenceLogs()
{
  Log::SetLevel(LogLevel::Error);
}

} // namespace

TestSuite(domainrelays, .init = SilenceLogs);

// A relay that has just started or resumed does not know all endpoints yet. It
// must not report the missing ones to other domains as removed.
Test(domainrelays, NewRelayDoesNotHideEndpoints)
{
  for (const bool isRestart : { true, false }) {
    MemoryNetwork network(14);
    AddDomains(network, 10);
    network.Announce(1, ReadyAnnouncement("fonts"));
    network.Run(30000);
    std::size_t relay = 4;
    while (!network.At(relay).IsRelay()) {
      relay += 3;
    }
    if (isRestart) {
      network.Start(relay);
    } else {
      network.Freeze(relay);
      network.Run(2500);
      network.Unfreeze(relay, true);
    }
    for (int step = 0; step < 150; ++step) {
      network.Run(100);
      cr_assert(network.At(0).View()->services.contains("fonts"));
      cr_assert(network.At(2).View()->services.contains("fonts"));
    }
  }
}

// A frozen first relay must not keep a change from other domains, neither in
// the domain of the change nor in a receiving domain.
Test(domainrelays, DrainingIsKnownElsewhereWithAFrozenRelay)
{
  for (const std::size_t domain : { 0U, 1U }) {
    MemoryNetwork network(15);
    AddDomains(network, 10);
    network.Announce(1, ReadyAnnouncement("fonts"));
    network.Run(30000);
    const std::string first = network.At(domain).Relays().front();
    for (std::size_t node = 0; node < 30; ++node) {
      if (node != 1 && network.nodes[node].config.host == first) {
        network.Freeze(node);
      }
    }
    Announcement draining = ReadyAnnouncement("fonts");
    draining.state = wire::EndpointState::DRAINING;
    network.Announce(1, draining);
    network.Run(3000);
    for (std::size_t node = 0; node < 30; ++node) {
      cr_assert(!network.IsUp(node) ||
                  !network.At(node).View()->services.contains("fonts"),
                "domain %zu node %zu",
                domain,
                node);
    }
  }
}
