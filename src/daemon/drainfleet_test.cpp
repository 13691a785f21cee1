#include "testkit/fleet.h"
#include "testkit/fleetcaller.h"
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

/** Starts everything and waits until each daemon serves the route. */
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
  cr_assert(WaitUntil([&] { return aFleet.AllAgree(aFleet.AllHosts()); }));
}

FleetCallerConfig
Load(const Fleet& aFleet, const std::string& aMethod)
{
  FleetCallerConfig config;
  for (const std::size_t host : aFleet.AllHosts()) {
    config.urls.push_back(aFleet.CallUrl(host, "/jobs/item"));
  }
  config.method = aMethod;
  config.threads = 6;
  config.gap = 5;
  return config;
}

/** Each key costs writes of claims, which the platform's budget bounds. */
FleetCallerConfig
KeyedLoad(const Fleet& aFleet)
{
  FleetCallerConfig config = Load(aFleet, "POST");
  config.threads = 3;
  config.gap = 200;
  config.hasKeys = true;
  return config;
}

void
Print(const char* aLabel, const FleetCalls& aCalls)
{
  fmt::print(stderr, "{}: {}\n", aLabel, aCalls.Describe());
}

/** Adds the runs per key of one backend server. */
void
AddRuns(std::map<std::string, int>& aRuns, const nlohmann::json& aAll)
{
  for (const auto& [key, count] : aAll.at("keys").items()) {
    aRuns[key] += count.get<int>();
  }
}

/** How often the host's present daemon refused peers for want of a version. */
int
RefusedUnconfigured(const Fleet& aFleet, std::size_t aHost)
{
  std::istringstream log(aFleet.Log(aHost));
  int count = 0;
  for (std::string line; std::getline(log, line);) {
    const bool isRefusal = line.find("event=call-refused") != std::string::npos;
    count += isRefusal && line.find("no-configuration") != std::string::npos;
  }
  return count;
}

/** LWW_REPLACEMENTS=5 replaces every host five times, in over two minutes. */
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

// Guards against daemons of the own or another failure domain that go on
// sending work to a backend server which announced that it drains.
Test(drainfleet, no_new_work_after_a_server_announced_draining)
{
  constexpr Millis kBound = 3000;
  constexpr std::size_t kMoreCalls = 300;
  Fleet fleet(TwoDomains(2, 2));
  // The other failure domain depends on the servers of this one.
  StartServing(fleet, { 0, 1 });
  FleetCaller gets(Load(fleet, "GET"));
  FleetCaller posts(Load(fleet, "POST"));
  cr_assert(WaitUntil([&] { return posts.Ended() > 15; }));
  const auto url =
    fmt::format("http://{}:{}/test/behaviour", fleet.Address(0), kBackendPort);
  cr_assert_eq(SendTestRequest("POST", url, R"({"drain":true})").status, 200);
  PauseFor(kBound);
  const int runs = fleet.Runs(0, kBackendPort, "total");
  const std::size_t ended = gets.Ended() + posts.Ended();
  cr_expect(WaitUntil(
    [&] { return gets.Ended() + posts.Ended() > ended + kMoreCalls; }));
  cr_expect_eq(fleet.Runs(0, kBackendPort, "total"), runs);
  const FleetCalls getCalls = gets.Stop();
  const FleetCalls postCalls = posts.Stop();
  Print("draining, GET", getCalls);
  Print("draining, POST", postCalls);
  ExpectNothingLost(getCalls);
  ExpectNothingLost(postCalls);
}

// Guards against a stop that cuts calls in flight: those that entered at the
// daemon, and those that other daemons of both failure domains sent to it.
Test(drainfleet, a_daemon_that_stops_under_load_cuts_no_call)
{
  Fleet fleet(TwoDomains(2, 2));
  // The other failure domain depends on the servers of this one.
  StartServing(fleet, { 0, 1 });
  FleetCaller gets(Load(fleet, "GET"));
  FleetCaller posts(Load(fleet, "POST"));
  cr_assert(WaitUntil([&] { return posts.Ended() > 15; }));
  // A summary has just been sent, so the next one, which tells the other
  // failure domain that the daemon leaves, comes as late as it can.
  fleet.StartBackend(1, "work", kBackendPort + 1);
  cr_assert(WaitUntil([&] {
    return fleet.Members(0).dump().find(std::to_string(kBackendPort + 1)) !=
           std::string::npos;
  }));
  fleet.Daemon(0).Terminate();
  cr_expect_eq(fleet.Daemon(0).Wait(30000).value_or(-1), 0);
  const std::size_t ended = gets.Ended() + posts.Ended();
  cr_expect(
    WaitUntil([&] { return gets.Ended() + posts.Ended() > ended + 200; }));
  const FleetCalls getCalls = gets.Stop();
  const FleetCalls postCalls = posts.Stop();
  Print("stop, GET", getCalls);
  Print("stop, POST", postCalls);
  ExpectNothingLost(getCalls);
  ExpectNothingLost(postCalls);
}

// Guards against calls that are lost or run twice while every host, daemon
// and backend server, is replaced one after the other, and against peers that
// send calls to a daemon before it has a version.
Test(drainfleet, replacing_every_host_loses_and_doubles_no_call)
{
  Fleet fleet(TwoDomains(2, 1));
  std::map<std::string, int> runs;
  StartServing(fleet, fleet.AllHosts());
  FleetCaller gets(Load(fleet, "GET"));
  FleetCaller posts(KeyedLoad(fleet));
  cr_assert(WaitUntil([&] { return posts.Ended() > 15; }));
  std::vector<std::size_t> replaced;
  for (int round = 0; round < ReplacementRounds(); ++round) {
    const auto all = fleet.AllHosts();
    replaced.insert(replaced.end(), all.begin(), all.end());
  }
  for (const std::size_t host : replaced) {
    // The backend server drains but stays until its counts have been read.
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
    cr_assert(WaitUntil([&] { return fleet.AllAgree(fleet.AllHosts()); }));
  }
  const FleetCalls getCalls = gets.Stop();
  const FleetCalls postCalls = posts.Stop();
  for (const std::size_t host : fleet.AllHosts()) {
    AddRuns(runs, fleet.AllRuns(host, kBackendPort));
    cr_expect_eq(RefusedUnconfigured(fleet, host), 0);
  }
  Print("replacement, GET", getCalls);
  Print("replacement, POST", postCalls);
  ExpectNothingLost(getCalls);
  ExpectNothingLost(postCalls);
  cr_expect(std::ranges::all_of(
    runs, [](const auto& aPair) { return aPair.second == 1; }));
  cr_expect(
    std::ranges::all_of(postCalls.doneKeys, [&](const std::string& aKey) {
      return runs.contains(aKey);
    }));
}
