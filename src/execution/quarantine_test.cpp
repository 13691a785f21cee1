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
SilenceLogs()
{
  Log::SetLevel(LogLevel::Error);
}

} // namespace

TestSuite(quarantine, .init = SilenceLogs);

// A request must not crash one backend server after another.
Test(quarantine, SecondLossRefusesForTenMinutes)
{
  Daemon daemon("a");
  cr_assert_eq(daemon.quarantine.Check(7), QuarantineDecision::Free);
  daemon.quarantine.CountLoss(7);
  cr_assert_eq(daemon.quarantine.Check(7), QuarantineDecision::RunAlone);
  cr_assert_eq(daemon.quarantine.CountRefused(), 0U);
  daemon.quarantine.CountLoss(7);
  cr_assert_eq(daemon.quarantine.Check(7), QuarantineDecision::Refused);
  cr_assert_eq(daemon.quarantine.CountRefused(), 1U);
  daemon.clock.Advance(599999);
  cr_assert_eq(daemon.quarantine.Check(7), QuarantineDecision::Refused);
  daemon.clock.Advance(2);
  cr_assert_eq(daemon.quarantine.Check(7), QuarantineDecision::Free);
  cr_assert_eq(daemon.quarantine.CountRefused(), 0U);
}

// The losses that two daemons observe must add up, and a crash report must not
// count twice, whatever the order in which reports arrive.
Test(quarantine, CrashReportsOfTwoDaemonsAddUpInEveryOrder)
{
  std::vector<wire::QuarantineMark> reports;
  for (const char* host : { "a", "b" }) {
    Daemon daemon(host);
    daemon.quarantine.CountLoss(7);
    reports.push_back(daemon.quarantine.TakeCrashReports(1).front());
  }
  reports.push_back(reports.front());
  std::ranges::sort(reports, {}, &wire::QuarantineMark::origin);
  do {
    Daemon receiver("c");
    receiver.quarantine.Merge({ reports.front() });
    receiver.quarantine.Merge({ reports.front() });
    cr_assert_eq(receiver.quarantine.Check(7), QuarantineDecision::RunAlone);
    receiver.quarantine.Merge(reports);
    cr_assert_eq(receiver.quarantine.Check(7), QuarantineDecision::Refused);
    cr_assert_eq(receiver.quarantine.TakeCrashReports(9).size(), 2U);
  } while (
    std::ranges::next_permutation(reports, {}, &wire::QuarantineMark::origin)
      .found);
}

// Crash reports must not circulate for ever, and memory must stay bounded.
Test(quarantine, SendsAndDigestsAreBounded)
{
  Daemon daemon("a", 100);
  daemon.quarantine.CountLoss(-1);
  daemon.quarantine.CountLoss(-1);
  for (std::int64_t digest = 0; digest < 1000; ++digest) {
    daemon.quarantine.CountLoss(digest);
  }
  cr_assert_eq(daemon.quarantine.Size(), 100U);
  cr_assert_eq(daemon.quarantine.CountRefused(), 1U);
  cr_assert_eq(daemon.quarantine.Check(-1), QuarantineDecision::Refused);
  std::size_t sent = 0;
  while (!daemon.quarantine.TakeCrashReports(8).empty()) {
    ++sent;
  }
  cr_assert_leq(sent, 100U * 12U / 8U);
}

// A caller may send a crashing request to another daemon, so crash reports must
// reach every daemon.
Test(quarantine, CrashReportsSpreadByGossip)
{
  MemoryNetwork network(1);
  std::vector<std::unique_ptr<Quarantine>> quarantines;
  network.extendHooks = [&](std::size_t aNode, MembershipHooks& aHooks) {
    quarantines.push_back(std::make_unique<Quarantine>(
      QuarantineConfig{ fmt::format("host-{}", aNode) }, network.clock.View()));
    aHooks.takeCrashReports = [&quarantines, aNode] {
      return quarantines[aNode]->TakeCrashReports(8);
    };
    aHooks.mergeCrashReports = [&quarantines, aNode](const auto& aReports) {
      quarantines[aNode]->Merge(aReports);
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
