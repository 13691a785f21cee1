// Members that are gone must not count as members for longer than stated: caps
// are divided among all of them, so that each one takes away a part.

#include "membership/memorynetwork.h"

#include "common/log.h"

#include <criterion/criterion.h>

using namespace lacewingwharf;

namespace {

constexpr double kMinute = 60000;
constexpr double kHour = 60 * kMinute;

void
SilenceLogs()
{
  Log::SetLevel(LogLevel::Error);
}

/** Four daemons that know each other. */
struct Fleet
{
  explicit Fleet(std::uint64_t aSeed = 1)
    : network(aSeed)
  {
    for (std::size_t node = 0; node < kNodes; ++node) {
      this->network.Add("north", "bangor");
    }
    this->network.Run(15000);
  }

  void CutOff(std::size_t aNode)
  {
    const std::string host = this->network.nodes[aNode].config.host;
    this->network.isBlocked = [host](const auto& aFrom, const auto& aTo) {
      return (aFrom.config.host == host) != (aTo.config.host == host);
    };
  }

  std::size_t Count(std::size_t aNode)
  {
    return this->network.At(aNode).View()->members.size();
  }

  void CheckCounts(std::size_t aNodes, std::size_t aExpected)
  {
    for (std::size_t node = 0; node < aNodes; ++node) {
      cr_assert_eq(this->Count(node),
                   aExpected,
                   "node %zu counts %zu",
                   node,
                   this->Count(node));
    }
  }

  static constexpr std::size_t kNodes = 4;
  MemoryNetwork network;
};

} // namespace

TestSuite(formermembers, .init = SilenceLogs);

// A host that stops properly gives its part back at once.
Test(formermembers, a_member_that_left_does_not_count)
{
  Fleet fleet;
  fleet.network.At(3).Leave();
  fleet.network.Run(1000);
  fleet.network.Crash(3);
  fleet.CheckCounts(3, 3);
  fleet.network.Run(40000);
  fleet.CheckCounts(3, 3);
}

// A daemon that was cut off when another one left has it as dead, and must not
// tell those who knew better.
Test(formermembers, a_member_that_left_does_not_return_by_gossip)
{
  Fleet fleet;
  fleet.CutOff(2);
  fleet.network.At(3).Leave();
  fleet.network.Run(1000);
  fleet.network.Crash(3);
  fleet.network.Run(20000);
  fleet.CheckCounts(2, 3);
  cr_assert_eq(fleet.Count(2), 4U);
  fleet.network.clock.Advance(30 * kMinute);
  fleet.network.Run(15000);
  fleet.network.isBlocked = nullptr;
  fleet.network.Run(90000);
  fleet.CheckCounts(3, 3);
}

// A dead member may be cut off, and counts for a day from its death. A daemon
// that restarts meanwhile learns of it later than the others, and must not
// renew it for another day.
Test(formermembers, a_dead_member_counts_for_a_day)
{
  Fleet fleet;
  fleet.network.Crash(3);
  fleet.network.Run(20000);
  fleet.network.clock.Advance(20 * kHour);
  fleet.network.Run(10000);
  fleet.network.Crash(0);
  fleet.network.Start(0);
  fleet.network.Run(20000);
  fleet.network.clock.Advance(3.9 * kHour);
  fleet.network.Run(20000);
  fleet.CheckCounts(3, 4);
  fleet.network.clock.Advance(0.1 * kHour);
  fleet.network.Run(60000);
  fleet.CheckCounts(3, 3);
}

// Prunings happen at different times; a record that one member has removed must
// not come back from another one.
Test(formermembers, a_removed_record_is_not_taken_back)
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    Fleet fleet(seed);
    fleet.network.Crash(3);
    fleet.network.Run(20000);
    fleet.network.clock.Advance(24 * kHour - 40000);
    fleet.network.Run(120000);
    fleet.CheckCounts(3, 3);
  }
}

// Entries of hosts that were replaced stay in the store. A daemon that starts
// reads them, finds the hosts dead, and must not tell the others.
Test(formermembers, an_old_entry_in_the_store_adds_no_member)
{
  Fleet fleet;
  fleet.network.Crash(0);
  fleet.network.Start(0);
  wire::MemberRecord stored;
  stored.host = "replaced";
  stored.address = "10.9.9.9";
  stored.peerPort = 7000;
  stored.region = "north";
  stored.domain = "bangor";
  stored.incarnation = 1;
  stored.state = wire::MemberState::ALIVE;
  fleet.network.At(0).AddStoredMember(stored);
  fleet.network.Run(20000);
  fleet.CheckCounts(Fleet::kNodes, Fleet::kNodes);
  fleet.network.At(0).AddStoredMember(stored);
  fleet.network.Run(20000);
  fleet.CheckCounts(Fleet::kNodes, Fleet::kNodes);
}
