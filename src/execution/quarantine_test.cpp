#include "execution/quarantine.h"

#include "common/log.h"
#include "membership/memorynetwork.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace lacewingwharf;

namespace {

struct Daemon
{
  explicit Daemon(const std::string& aHost, std::size_t aMaxDigests = 4096)
    : quarantine({ aHost, 600000, aMaxDigests, 12 }, this->clock.View())
  {
  }

  ManualClock clock;
  Quarantine quarantine;
};

void
Quiet()
{
  Log::SetLevel(LogLevel::Error);
}

} // namespace

TestSuite(quarantine, .init = Quiet);

// Guards against a request that crashes one backend server after another.
Test(quarantine, SecondLossRefusesForTenMinutes)
{
  Daemon daemon("a");
  cr_assert_eq(daemon.quarantine.Check(7), QuarantineDecision::Free);
  daemon.quarantine.CountLoss(7);
  cr_assert_eq(daemon.quarantine.Check(7), QuarantineDecision::RunAlone);
  daemon.quarantine.CountLoss(7);
  cr_assert_eq(daemon.quarantine.Check(7), QuarantineDecision::Refused);
  daemon.clock.Advance(599999);
  cr_assert_eq(daemon.quarantine.Check(7), QuarantineDecision::Refused);
  daemon.clock.Advance(2);
  cr_assert_eq(daemon.quarantine.Check(7), QuarantineDecision::Free);
}

// Guards against losses seen by two daemons that are not added up, and against
// marks that count twice because they arrive twice or in another order.
Test(quarantine, MarksOfTwoDaemonsAddUpInEveryOrder)
{
  std::vector<wire::QuarantineMark> marks;
  for (const char* host : { "a", "b" }) {
    Daemon daemon(host);
    daemon.quarantine.CountLoss(7);
    marks.push_back(daemon.quarantine.TakeCrashReports(1).front());
  }
  marks.push_back(marks.front());
  std::ranges::sort(marks, {}, &wire::QuarantineMark::origin);
  do {
    Daemon receiver("c");
    receiver.quarantine.Merge({ marks.front() });
    receiver.quarantine.Merge({ marks.front() });
    cr_assert_eq(receiver.quarantine.Check(7), QuarantineDecision::RunAlone);
    receiver.quarantine.Merge(marks);
    cr_assert_eq(receiver.quarantine.Check(7), QuarantineDecision::Refused);
    cr_assert_eq(receiver.quarantine.TakeCrashReports(9).size(), 2U);
  } while (
    std::ranges::next_permutation(marks, {}, &wire::QuarantineMark::origin)
      .found);
}

// Guards against marks that circulate for ever and against unbounded memory.
Test(quarantine, SendsAndDigestsAreBounded)
{
  Daemon daemon("a", 100);
  daemon.quarantine.CountLoss(-1);
  daemon.quarantine.CountLoss(-1);
  for (std::int64_t digest = 0; digest < 1000; ++digest) {
    daemon.quarantine.CountLoss(digest);
  }
  cr_assert_eq(daemon.quarantine.Size(), 100U);
  cr_assert_eq(daemon.quarantine.Check(-1), QuarantineDecision::Refused);
  std::size_t sent = 0;
  while (!daemon.quarantine.TakeCrashReports(8).empty()) {
    ++sent;
  }
  cr_assert_leq(sent, 100U * 12U / 8U);
}

// Guards against a crashing request that its caller sends to another daemon.
Test(quarantine, MarksSpreadByGossip)
{
  MemoryNetwork network(1);
  std::vector<std::unique_ptr<Quarantine>> quarantines;
  network.extendHooks = [&](std::size_t aNode, MembershipHooks& aHooks) {
    quarantines.push_back(std::make_unique<Quarantine>(
      QuarantineConfig{ fmt::format("host-{}", aNode) }, network.clock.View()));
    aHooks.takeCrashReports = [&quarantines, aNode] {
      return quarantines[aNode]->TakeCrashReports(8);
    };
    aHooks.mergeCrashReports = [&quarantines, aNode](const auto& aMarks) {
      quarantines[aNode]->Merge(aMarks);
    };
  };
  for (int node = 0; node < 30; ++node) {
    network.Add("north", "bangor");
  }
  network.Run(10000);
  quarantines[3]->CountLoss(7);
  quarantines[20]->CountLoss(7);
  network.Run(10000);
  for (const auto& quarantine : quarantines) {
    cr_assert_eq(quarantine->Check(7), QuarantineDecision::Refused);
  }
  cr_assert_leq(network.largestDatagram, kMaxDatagramBytes);
}
