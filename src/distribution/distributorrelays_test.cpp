// Tests Distributor when the relays of its group are lost.

#include "common/hash.h"
#include "distribution/distributorfleet.h"

#include <criterion/criterion.h>

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
