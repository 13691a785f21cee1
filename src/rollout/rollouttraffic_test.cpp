#include "rollout/rollouttraffic.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

using namespace lacewingwharf;

namespace {

wire::RolloutShare
ShareOf(const std::string& aDecider, std::int64_t aSequence)
{
  wire::RolloutShare share;
  share.decider = aDecider;
  share.serviceName = "orders";
  share.order = 7;
  share.state = wire::RolloutState::RUNNING;
  share.targetVersion = "v2";
  share.baseVersion = "v1";
  share.sequence = aSequence;
  return share;
}

} // namespace

// A decider without the store answers each report with an old share. Reporting
// each of these to it would make the two exchange messages without a pause, and
// its successor would get no reports.
Test(rollouttraffic, an_old_decider_is_not_answered_each_time)
{
  ManualClock clock{ 100000 };
  std::vector<std::string> reportedTo;
  RolloutTraffic traffic(
    "host", 1, clock.View(), [&](const std::string& aDecider, const auto&) {
      reportedTo.push_back(aDecider);
    });
  traffic.HandleShare(ShareOf("new", 20));
  for (int i = 0; i < 100; ++i) {
    traffic.HandleShare(ShareOf("old", 10));
    clock.Advance(10);
    traffic.Tick();
  }
  cr_expect_leq(std::ranges::count(reportedTo, "old"), 2);
  cr_expect_geq(std::ranges::count(reportedTo, "new"), 2);
}

// A successor has nothing of the evidence. It must get all routes of a large
// service in less than the time for a rollback, of which it needs the rest.
Test(rollouttraffic, a_new_decider_gets_all_routes_soon)
{
  constexpr std::size_t kRoutes = 100;
  ManualClock clock{ 100000 };
  std::set<std::string> known; // To the new decider.
  std::size_t mostDatagrams = 0;
  std::size_t datagrams = 0;
  RolloutTraffic traffic(
    "host",
    1,
    clock.View(),
    [&](const std::string& aDecider, const wire::RolloutReport& aReport) {
      ++datagrams;
      for (const wire::RolloutCounts& row : aReport.counts) {
        if (aDecider == "new") {
          known.insert(row.route + (row.isTarget ? "+" : "-"));
        }
      }
    });
  traffic.HandleShare(ShareOf("old", (std::int64_t{ 1 } << 40) + 5));
  for (std::size_t route = 0; route < kRoutes; ++route) {
    for (const char* version : { "v1", "v2" }) {
      EndpointInfo server;
      server.host = version;
      server.serverVersion = version;
      const auto order = traffic.RecordStart("orders", server);
      ServerResult result;
      result.isAnswer = true;
      result.serviceMillis = 40;
      traffic.RecordEnd(
        "orders", server, order, "/v3/route-" + std::to_string(route), result);
    }
  }
  const auto runFor = [&](Millis aTime) {
    for (Millis passed = 0; passed < aTime; passed += 50) {
      clock.Advance(50);
      datagrams = 0;
      traffic.Tick();
      mostDatagrams = std::max(mostDatagrams, datagrams);
    }
  };
  runFor(2000);
  mostDatagrams = 0;
  traffic.HandleShare(ShareOf("new", (std::int64_t{ 2 } << 40) + 5));
  runFor(2500);
  cr_expect_eq(known.size(), 2 * kRoutes);
  cr_expect_leq(mostDatagrams, 4U, "the link must not be filled at once");
}
