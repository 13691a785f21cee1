#include "testkit/fleet.h"
#include "testkit/fleetcaller.h"
#include "testkit/fleetreport.h"
#include "testkit/httprequest.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <sstream>
#include <string>
#include <vector>

using namespace lacewingwharf;

namespace {

constexpr int kBackendPort = 19000;
constexpr const char* kService =
  R"({"kind":"service","owner":"team","class":"interactive"})";
constexpr const char* kRoute =
  R"({"kind":"route","owner":"team","class":"interactive","service":"work",
"match":{"path":"/jobs","methods":["GET","POST"]},
"limits":{"deadline_ms":8000,"queue_ms":3000,"retries":1}})";

FleetConfig
TwoDomains(std::size_t aFirst, std::size_t aSecond)
{
  FleetConfig config;
  config.domains = { { "east", "north", aFirst },
                     { "west", "north", aSecond } };
  return config;
}

void
StartServer(Fleet& aFleet, std::size_t aHost)
{
  aFleet.StartBackend(
    aHost, "work", kBackendPort, { "--slots", "16", "--service-ms", "60" });
}

bool
IsServing(const Fleet& aFleet, std::size_t aHost)
{
  const auto answer =
    SendTestRequest("GET", aFleet.CallUrl(aHost, "/jobs"), {}, {}, 3000);
  return answer.status == 200;
}

/** Starts all processes and waits until each daemon serves the route. */
void
StartServing(Fleet& aFleet, const std::vector<std::size_t>& aServers)
{
  aFleet.StartAll();
  for (const std::size_t host : aServers) {
    StartServer(aFleet, host);
  }
  cr_assert(aFleet.Put("work", kService));
  cr_assert(aFleet.Put("work-route", kRoute));
  for (const std::size_t host : aFleet.AllHosts()) {
    cr_assert(WaitUntil([&] { return IsServing(aFleet, host); }),
              "host %zu does not serve",
              host);
  }
  cr_assert(WaitUntil([&] { return aFleet.HaveConverged(aFleet.AllHosts()); }));
}

FleetCallerConfig
MakeLoad(const Fleet& aFleet, const std::string& aMethod)
{
  FleetCallerConfig config;
  for (const std::size_t host : aFleet.AllHosts()) {
    config.urls.push_back(aFleet.CallUrl(host, "/jobs/item"));
  }
  config.method = aMethod;
  config.threads = 6;
  config.pauseBetweenCalls = 5;
  return config;
}

/**
 * Makes a load with a low rate, because each key needs claim writes, which the
 * budget of platform calls limits.
 */
FleetCallerConfig
MakeKeyedLoad(const Fleet& aFleet)
{
  FleetCallerConfig config = MakeLoad(aFleet, "POST");
  config.threads = 3;
  config.pauseBetweenCalls = 200;
  config.hasIdempotencyKeys = true;
  return config;
}

/** Prints the calls and, if some of them failed, what the daemons logged. */
void
PrintCalls(const Fleet& aFleet, const char* aLabel, const FleetCalls& aCalls)
{
  fmt::print(stderr, "{}: {}\n", aLabel, aCalls.Describe());
  PrintProblems(aFleet, aCalls);
}

/** Adds the runs of each key on one backend server. */
void
AddRuns(std::map<std::string, int>& aRuns, const nlohmann::json& aAll)
{
  for (const auto& [key, count] : aAll.at("keys").items()) {
    aRuns[key] += count.get<int>();
  }
}

/** Counts the calls of peers that a daemon refused before it had a version. */
int
CountRefusalsWithoutVersion(const Fleet& aFleet, std::size_t aHost)
{
  std::istringstream log(aFleet.Log(aHost));
  int count = 0;
  for (std::string line; std::getline(log, line);) {
    const bool isRefusal = line.find("event=call-refused") != std::string::npos;
    count += isRefusal && line.find("no-configuration") != std::string::npos;
  }
  return count;
}

/**
 * Returns how often each host is replaced: LWW_REPLACEMENTS or once. Five
 * rounds take over two minutes.
 */
int
ReplacementRounds()
{
  const char* const text = std::getenv("LWW_REPLACEMENTS");
  return text == nullptr ? 1 : std::max(1, std::atoi(text));
}

void
ExpectNothingLost(const FleetCalls& aCalls)
{
  cr_expect_gt(aCalls.done, 0U);
  cr_expect_eq(aCalls.broken, 0U, "%s", aCalls.Describe().c_str());
  cr_expect_eq(aCalls.unknown, 0U, "%s", aCalls.Describe().c_str());
  cr_expect_eq(aCalls.notRun, 0U, "%s", aCalls.Describe().c_str());
  cr_expect_eq(aCalls.failed, 0U, "%s", aCalls.Describe().c_str());
}

} // namespace

// Daemons of this and of another failure domain must stop sending calls to a
// backend server within a time limit after it has announced that it drains.
Test(drainfleet, no_new_work_after_a_server_announced_draining)
{
  constexpr Millis kStopSendingLimit = 3000;
  constexpr std::size_t kMoreCalls = 300;
  Fleet fleet(TwoDomains(2, 2));
  // The other failure domain has no backend servers of its own.
  StartServing(fleet, { 0, 1 });
  FleetCaller gets(MakeLoad(fleet, "GET"));
  FleetCaller posts(MakeLoad(fleet, "POST"));
  cr_assert(WaitUntil([&] { return posts.EndedCount() > 15; }));
  const auto url =
    fmt::format("http://{}:{}/test/behaviour", fleet.Address(0), kBackendPort);
  cr_assert_eq(SendTestRequest("POST", url, R"({"drain":true})").status, 200);
  PauseFor(kStopSendingLimit);
  const int runs = fleet.Runs(0, kBackendPort, "total");
  const std::size_t ended = gets.EndedCount() + posts.EndedCount();
  cr_expect(WaitUntil([&] {
    return gets.EndedCount() + posts.EndedCount() > ended + kMoreCalls;
  }));
  cr_expect_eq(fleet.Runs(0, kBackendPort, "total"), runs);
  const FleetCalls getCalls = gets.Stop();
  const FleetCalls postCalls = posts.Stop();
  PrintCalls(fleet, "draining, GET", getCalls);
  PrintCalls(fleet, "draining, POST", postCalls);
  ExpectNothingLost(getCalls);
  ExpectNothingLost(postCalls);
}

// A daemon that stops must finish its calls in flight: those that entered there
// and those that daemons of both failure domains sent to it.
Test(drainfleet, a_daemon_that_stops_under_load_cuts_no_call)
{
  Fleet fleet(TwoDomains(2, 2));
  // The other failure domain has no backend servers of its own.
  StartServing(fleet, { 0, 1 });
  FleetCaller gets(MakeLoad(fleet, "GET"));
  FleetCaller posts(MakeLoad(fleet, "POST"));
  cr_assert(WaitUntil([&] { return posts.EndedCount() > 15; }));
  // The new server causes a summary just before the stop. So the next summary,
  // which notifies the other failure domain of the shutdown, is sent as late as
  // possible.
  fleet.StartBackend(1, "work", kBackendPort + 1);
  const bool isKnown = WaitUntil([&] {
    return fleet.Members(0).dump().find(std::to_string(kBackendPort + 1)) !=
           std::string::npos;
  });
  if (!isKnown) {
    fmt::print(stderr,
               "members of host-00: {}\n{}",
               fleet.Members(0).dump(),
               DescribeFleet(fleet, {}));
  }
  cr_assert(isKnown);
  fleet.Daemon(0).Terminate();
  cr_expect_eq(fleet.Daemon(0).Wait(30000).value_or(-1), 0);
  const std::size_t ended = gets.EndedCount() + posts.EndedCount();
  cr_expect(WaitUntil(
    [&] { return gets.EndedCount() + posts.EndedCount() > ended + 200; }));
  const FleetCalls getCalls = gets.Stop();
  const FleetCalls postCalls = posts.Stop();
  PrintCalls(fleet, "stop, GET", getCalls);
  PrintCalls(fleet, "stop, POST", postCalls);
  ExpectNothingLost(getCalls);
  ExpectNothingLost(postCalls);
}

// Every host, with its daemon and backend server, is replaced one after the
// other. No call may be lost or run twice, and no peer may send calls to a
// daemon that has no version yet.
Test(drainfleet, replacing_every_host_loses_and_doubles_no_call)
{
  Fleet fleet(TwoDomains(2, 1));
  std::map<std::string, int> runs;
  StartServing(fleet, fleet.AllHosts());
  FleetCaller gets(MakeLoad(fleet, "GET"));
  FleetCaller posts(MakeKeyedLoad(fleet));
  cr_assert(WaitUntil([&] { return posts.EndedCount() > 15; }));
  std::vector<std::size_t> replaced;
  for (int round = 0; round < ReplacementRounds(); ++round) {
    const auto all = fleet.AllHosts();
    replaced.insert(replaced.end(), all.begin(), all.end());
  }
  for (const std::size_t host : replaced) {
    // The drained backend server runs until its counts have been read.
    const auto url = fmt::format(
      "http://{}:{}/test/behaviour", fleet.Address(host), kBackendPort);
    cr_assert_eq(SendTestRequest("POST", url, R"({"drain":true})").status, 200);
    fleet.Daemon(host).Terminate();
    cr_expect_eq(fleet.Daemon(host).Wait(30000).value_or(-1), 0);
    AddRuns(runs, fleet.AllRuns(host, kBackendPort));
    fleet.Backend(host, kBackendPort).Terminate();
    cr_expect_eq(fleet.Backend(host, kBackendPort).Wait(30000).value_or(-1), 0);
    fleet.Start(host);
    StartServer(fleet, host);
    cr_assert(WaitUntil([&] { return IsServing(fleet, host); }));
    cr_assert(WaitUntil([&] { return fleet.HaveConverged(fleet.AllHosts()); }));
  }
  const FleetCalls getCalls = gets.Stop();
  const FleetCalls postCalls = posts.Stop();
  for (const std::size_t host : fleet.AllHosts()) {
    AddRuns(runs, fleet.AllRuns(host, kBackendPort));
    cr_expect_eq(CountRefusalsWithoutVersion(fleet, host), 0);
  }
  PrintCalls(fleet, "replacement, GET", getCalls);
  PrintCalls(fleet, "replacement, POST", postCalls);
  ExpectNothingLost(getCalls);
  ExpectNothingLost(postCalls);
  cr_expect(std::ranges::all_of(
    runs, [](const auto& aPair) { return aPair.second == 1; }));
  cr_expect(
    std::ranges::all_of(postCalls.doneKeys, [&](const std::string& aKey) {
      return runs.contains(aKey);
    }));
}
