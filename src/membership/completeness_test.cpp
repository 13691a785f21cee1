// A daemon that starts divides fleet-wide caps by the number of members, so it
// must not take those that it has heard of at first for all.

#include "membership/memorynetwork.h"

#include "common/log.h"

#include <criterion/criterion.h>

#include <memory>

using namespace lacewingwharf;

namespace {

void
SilenceLogs()
{
  Log::SetLevel(LogLevel::Error);
}

std::size_t
MemberCount(MemoryNetwork& aNetwork, std::size_t aNode)
{
  return aNetwork.At(aNode).View()->members.size();
}

bool
IsComplete(MemoryNetwork& aNetwork, std::size_t aNode)
{
  return aNetwork.At(aNode).View()->isComplete;
}

} // namespace

TestSuite(completeness, .init = SilenceLogs);

// While it is cut off, a process that has just started must not take itself for
// the whole fleet, however long that lasts.
Test(completeness, a_process_that_starts_cut_off_stays_incomplete)
{
  MemoryNetwork network(1);
  constexpr std::size_t kNodes = 6;
  for (std::size_t node = 0; node < kNodes; ++node) {
    network.Add("north", "bangor");
  }
  network.Run(15000);
  for (std::size_t node = 0; node < kNodes; ++node) {
    cr_assert(IsComplete(network, node));
  }
  const std::string cutOff = network.nodes.back().config.host;
  network.isBlocked = [&cutOff](const auto& aFrom, const auto& aTo) {
    return (aFrom.config.host == cutOff) != (aTo.config.host == cutOff);
  };
  network.Crash(kNodes - 1);
  network.Start(kNodes - 1);
  network.Run(30000);
  cr_assert_not(IsComplete(network, kNodes - 1));
  network.isBlocked = nullptr;
  network.Run(3000);
  cr_assert(IsComplete(network, kNodes - 1));
  cr_assert_eq(MemberCount(network, kNodes - 1), kNodes);
}

// When all daemons start at once, no answer to a sync is complete. None may
// count as complete before it knows all others.
Test(completeness, members_of_a_new_fleet_are_known_before_it_is_complete)
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    MemoryNetwork network(seed);
    network.faults = { 2, 0, 1, 10 };
    constexpr std::size_t kNodes = 80;
    for (std::size_t node = 0; node < kNodes; ++node) {
      network.Add("north", "bangor");
    }
    for (int step = 0; step < 150; ++step) {
      network.Run(100);
      for (std::size_t node = 0; node < kNodes; ++node) {
        cr_assert(!IsComplete(network, node) ||
                    MemberCount(network, node) == kNodes,
                  "seed %d node %zu step %d: %zu members",
                  int(seed),
                  node,
                  step,
                  MemberCount(network, node));
      }
    }
    for (std::size_t node = 0; node < kNodes; ++node) {
      cr_assert(IsComplete(network, node));
    }
  }
}

// Two daemons that are cut off from the others and restart together sync with
// each other. Without the store they must not take themselves for all members.
Test(completeness, on_a_site_only_a_complete_member_or_the_store_is_evidence)
{
  MemoryNetwork network(3);
  const auto isStoreRead = std::make_shared<bool>(false);
  network.extendHooks = [isStoreRead](std::size_t, MembershipHooks& aHooks) {
    aHooks.hasStoredMembers = [isStoreRead] { return *isStoreRead; };
  };
  network.Add("north", "bangor", 2);
  network.Add("north", "bangor", 2);
  network.Run(30000);
  cr_assert_eq(MemberCount(network, 0), 2U);
  cr_assert_not(IsComplete(network, 0));
  cr_assert_not(IsComplete(network, 1));
  *isStoreRead = true;
  network.Run(100);
  cr_assert(IsComplete(network, 0));
  *isStoreRead = false;
  network.Add("north", "bangor", 2);
  network.Run(3000);
  cr_assert(IsComplete(network, 2));
}
