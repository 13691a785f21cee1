#include "testkit/fleet.h"
#include "testkit/fleetreport.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <array>
#include <fstream>
#include <string>
#include <thread>

using namespace lacewingwharf;

namespace {

constexpr int kConflict = 3;
constexpr int kRejected = 4;

FleetConfig
OneDomain()
{
  FleetConfig config;
  config.domains = { { "east", "north", 2 } };
  config.settings = "[distribution]\nstartwait = 1000\n";
  return config;
}

std::string
ServiceText(const std::string& aOwner)
{
  return fmt::format(
    R"({{"kind":"service","owner":"{}","class":"interactive"}})", aOwner);
}

std::string
RouteText(const std::string& aService, const std::string& aPath)
{
  return fmt::format(
    R"({{"kind":"route","owner":"team","class":"interactive","service":"{}",
"match":{{"path":"{}","methods":["GET"]}},"limits":{{"deadline_ms":2000}}}})",
    aService,
    aPath);
}

std::string
WriteFile(const Fleet& aFleet,
          const std::string& aName,
          const std::string& aText)
{
  std::string path = aFleet.WorkDirectory() + "/" + aName + ".json";
  std::ofstream(path) << aText;
  return path;
}

std::string
RevisionOf(Fleet& aFleet, const std::string& aName)
{
  const std::string text = aFleet.Ctl({ "get", aName, "--json" }).output;
  const auto json = nlohmann::json::parse(text, nullptr, false);
  return json.is_object() ? json.at("revision").dump() : "";
}

/** Waits until all daemons have the entry's present text, or it is rejected. */
CtlRun
WaitForEntry(Fleet& aFleet, const std::string& aName)
{
  std::vector<std::string> arguments{ "wait", aName };
  for (const std::size_t host : aFleet.AllHosts()) {
    arguments.emplace_back("--daemon");
    arguments.push_back(
      fmt::format("{}:{}", aFleet.Address(host), Fleet::kAdminPort));
  }
  return aFleet.Ctl(arguments);
}

/** Waits until the entry is in force; prints the fleet if it is not. */
void
ExpectInForce(Fleet& aFleet, const std::string& aName)
{
  const CtlRun run = WaitForEntry(aFleet, aName);
  if (run.exitCode != 0) {
    fmt::print(stderr, "{}", DescribeFleet(aFleet, {}));
  }
  cr_expect_eq(run.exitCode, 0, "%s", run.output.c_str());
}

} // namespace

// When two operators edit the same entry at the same time, exactly one edit
// must succeed and the other operator must get a conflict.
Test(operatorsfleet, exactly_one_of_two_racing_edits_wins)
{
  constexpr int kRounds = 10;
  Fleet fleet(OneDomain());
  fleet.StartAll();
  cr_assert(fleet.Put("work", ServiceText("first")));
  for (int round = 0; round < kRounds; ++round) {
    const std::string revision = RevisionOf(fleet, "work");
    cr_assert(!revision.empty());
    std::array<CtlRun, 2> runs;
    const auto race = [&](std::size_t aOperator) {
      const std::string owner = fmt::format("owner-{}-{}", round, aOperator);
      const auto path = WriteFile(fleet, owner, ServiceText(owner));
      runs.at(aOperator) =
        fleet.Ctl({ "put", "work", path, "--expect", revision });
    };
    std::thread other(race, 1);
    race(0);
    other.join();
    const std::size_t winner = runs[0].exitCode == 0 ? 0 : 1;
    const CtlRun& loser = runs.at(1 - winner);
    cr_expect_eq(runs.at(winner).exitCode, 0);
    cr_expect_eq(loser.exitCode, kConflict, "%s", loser.output.c_str());
    const std::string winningOwner =
      fmt::format("\"owner-{}-{}\"", round, winner);
    cr_expect(loser.output.find(winningOwner) != std::string::npos,
              "%s",
              loser.output.c_str());
  }
  ExpectInForce(fleet, "work");
}

// An invalid entry must be rejected with a reason for the operator, and must
// not keep valid edits of the same time from coming into force.
Test(operatorsfleet, an_invalid_entry_is_rejected_and_valid_ones_are_not)
{
  Fleet fleet(OneDomain());
  fleet.StartAll();
  cr_assert(fleet.Put("work", ServiceText("first")));
  cr_assert(fleet.Put("bad", RouteText("missing", "/bad")));
  cr_assert(fleet.Put("good", RouteText("work", "/good")));
  ExpectInForce(fleet, "good");
  const CtlRun bad = WaitForEntry(fleet, "bad");
  cr_expect_eq(bad.exitCode, kRejected, "%s", bad.output.c_str());
  cr_expect(
    bad.output.find("missing") != std::string::npos, "%s", bad.output.c_str());
}

// A service that a route still uses must not be removed, and explain must name
// the route to the operator.
Test(operatorsfleet, explain_names_the_route_that_keeps_a_deleted_service)
{
  Fleet fleet(OneDomain());
  fleet.StartAll();
  cr_assert(fleet.Put("work", ServiceText("first")));
  cr_assert(fleet.Put("work-route", RouteText("work", "/jobs")));
  cr_assert_eq(WaitForEntry(fleet, "work-route").exitCode, 0);
  cr_assert_eq(fleet.Ctl({ "delete", "work", "--force" }).exitCode, 0);
  CtlRun explained;
  cr_expect(WaitUntil([&] {
              explained = fleet.Ctl({ "explain", "work" });
              return explained.output.find("work-route") != std::string::npos;
            }),
            "%s",
            explained.output.c_str());
  fmt::print(stderr, "explain of a removed service: {}", explained.output);
  cr_assert(fleet.Put("more", ServiceText("second")));
  ExpectInForce(fleet, "more");
}
