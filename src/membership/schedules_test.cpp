#include "membership/memorynetwork.h"

#include "common/log.h"

#include <criterion/criterion.h>

#include <map>
#include <vector>

using namespace lacewingwharf;

namespace {

constexpr std::size_t kMembers = 24;

/** The table of a daemon that keeps the last record to arrive of each host. */
using NaiveTable = std::map<std::string, wire::MemberRecord>;

struct ErrorCounts
{
  std::size_t wrong = 0;
  std::size_t naiveWrong = 0;
};

void
StoreLastRecords(std::vector<NaiveTable>& aTables,
                 std::size_t aTo,
                 const wire::Envelope& aEnvelope)
{
  const auto* records = &aEnvelope.memberSync.records;
  if (aEnvelope.__isset.ping) {
    records = &aEnvelope.ping.updates;
  } else if (aEnvelope.__isset.ack) {
    records = &aEnvelope.ack.updates;
  }
  for (const wire::MemberRecord& record : *records) {
    aTables[aTo][record.host] = record;
  }
}

void
InjectFault(MemoryNetwork& aNetwork)
{
  const std::size_t node = RandomBelow(aNetwork.random, kMembers);
  MemoryNetwork::Node& target = aNetwork.nodes[node];
  switch (RandomBelow(aNetwork.random, 5)) {
    case 0:
      if (target.isDown) {
        aNetwork.Start(node);
      } else if (node >= 3) {
        aNetwork.Crash(node);
      }
      break;
    case 1:
      if (!target.isDown && !target.isFrozen) {
        aNetwork.Freeze(node);
      } else if (target.isFrozen) {
        aNetwork.Unfreeze(node, RandomBelow(aNetwork.random, 2) == 0);
      }
      break;
    default:
      if (aNetwork.IsUp(node)) {
        const int slots = static_cast<int>(RandomBelow(aNetwork.random, 50));
        aNetwork.Announce(
          node, { "orders", 9000, slots, 110, wire::EndpointState::READY });
      }
  }
}

void
UnfreezeAll(MemoryNetwork& aNetwork)
{
  for (std::size_t node = 0; node < kMembers; ++node) {
    if (aNetwork.nodes[node].isFrozen) {
      aNetwork.Unfreeze(node, true);
    }
  }
}

/**
 * Whether aRecord is correct for a node: equal to the node's own record, or not
 * live if the node is down.
 */
bool
IsCorrect(MemoryNetwork& aNetwork,
          std::size_t aSubject,
          const wire::MemberRecord* aRecord)
{
  if (aNetwork.nodes[aSubject].isDown) {
    return aRecord == nullptr || !IsLive(*aRecord);
  }
  return aRecord != nullptr && *aRecord == aNetwork.At(aSubject).Self();
}

ErrorCounts
RunSchedule(std::uint64_t aSeed)
{
  MemoryNetwork network(aSeed);
  std::vector<NaiveTable> naive(kMembers);
  for (std::size_t node = 0; node < kMembers; ++node) {
    network.Add("north", "bangor");
  }
  network.onMessage = [&naive](std::size_t aTo,
                               const wire::Envelope& aEnvelope) {
    StoreLastRecords(naive, aTo, aEnvelope);
  };
  network.faults = { 20, 10, 1, 400 };
  for (int step = 0; step < 60; ++step) {
    InjectFault(network);
    network.Run(500);
  }
  UnfreezeAll(network);
  network.faults = { 5, 5, 1, 50 };
  network.Run(50000);
  // Without loss, no member is suspect when the tables are compared.
  network.faults = { 0, 5, 1, 50 };
  network.Run(10000);
  ErrorCounts counts;
  for (std::size_t node = 0; node < kMembers; ++node) {
    if (network.nodes[node].isDown) {
      continue;
    }
    for (std::size_t subject = 0; subject < kMembers; ++subject) {
      const std::string& host = network.nodes[subject].config.host;
      const auto held = naive[node].find(host);
      counts.wrong +=
        IsCorrect(network, subject, network.At(node).Table().Find(host)) ? 0
                                                                         : 1;
      counts.naiveWrong +=
        node == subject ||
            IsCorrect(network,
                      subject,
                      held == naive[node].end() ? nullptr : &held->second)
          ? 0
          : 1;
    }
  }
  return counts;
}

void
SilenceLogs()
{
  Log::SetLevel(LogLevel::Error);
}

} // namespace

TestSuite(schedules, .init = SilenceLogs);

// All tables must be correct after loss, delay, reordering, duplication, pauses
// and restarts. The naive table keeps the last arrival and must be wrong in
// some cases, which shows that the schedules are hard enough.
Test(schedules, TablesAgreeAfterEverySchedule, .timeout = 200)
{
  std::size_t naiveWrong = 0;
  for (std::uint64_t seed = 1; seed <= 400; ++seed) {
    const ErrorCounts counts = RunSchedule(seed);
    cr_assert_eq(counts.wrong, 0U, "seed %lu: %zu", seed, counts.wrong);
    naiveWrong += counts.naiveWrong;
  }
  cr_assert_gt(naiveWrong, 0U, "the naive table has to be wrong sometimes");
}

// Many daemons that start at once must not send their first sync requests at
// the same time.
Test(schedules, FirstSyncsAreSpread)
{
  MemoryNetwork network(13);
  for (int member = 0; member < 100; ++member) {
    network.Add("north", "bangor");
  }
  int requests = 0;
  network.onMessage = [&requests](std::size_t,
                                  const wire::Envelope& aEnvelope) {
    requests +=
      aEnvelope.__isset.memberSync && !aEnvelope.memberSync.isReply ? 1 : 0;
  };
  network.Run(300);
  cr_assert_gt(requests, 0);
  cr_assert_lt(requests, 60);
}
