#include "testkit/loopbacknetwork.h"

#include <criterion/criterion.h>

#include <memory>
#include <set>
#include <vector>

using namespace lacewingwharf;

// Two fleets that start at the same time must not share a network. Otherwise a
// daemon of one of them cannot bind its ports, or becomes a member of the other
// fleet, and the test of either fleet fails for no fault of the product.
Test(loopbacknetwork, every_fleet_has_a_network_of_its_own)
{
  constexpr std::size_t kFleets = 100;
  std::set<std::string> prefixes;
  std::vector<std::unique_ptr<LoopbackNetwork>> networks;
  for (std::size_t i = 0; i < kFleets; ++i) {
    networks.push_back(std::make_unique<LoopbackNetwork>());
    prefixes.insert(networks.back()->Prefix());
  }
  cr_expect_eq(prefixes.size(), kFleets);
}
