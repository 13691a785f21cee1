#include "testkit/fleet.h"

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
ServiceOf(const std::string& aOwner)
{
  return fmt::format(
    R"({{"kind":"service","owner":"{}","class":"interactive"}})", aOwner);
}

std::string
RouteTo(const std::string& aService, const std::string& aPath)
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

/** Waits until every daemon has the entry as it stands, or its rejection. */
CtlRun
WaitFor(Fleet& aFleet, const std::string& aName)
{
  std::vector<std::string> arguments{ "wait", aName };
  for (const std::size_t host : aFleet.AllHosts()) {
    arguments.emplace_back("--daemon");
    arguments.push_back(
      fmt::format("{}:{}", aFleet.Address(host), Fleet::kAdminPort));
  }
  return aFleet.Ctl(arguments);
}

} // namespace

// Guards against two operators who both believe that their edit of the same
// entry is in force.
Test(operatorsfleet, exactly_one_of_two_racing_edits_wins)
{
  constexpr int kRounds = 10;
  Fleet fleet(OneDomain());
  fleet.StartAll();
  cr_assert(fleet.Put("work", ServiceOf("first")));
  for (int round = 0; round < kRounds; ++round) {
    const std::string revision = RevisionOf(fleet, "work");
    cr_assert(!revision.empty());
    std::array<CtlRun, 2> runs;
    const auto race = [&](std::size_t aOperator) {
      const std::string owner = fmt::format("owner-{}-{}", round, aOperator);
      const auto path = WriteFile(fleet, owner, ServiceOf(owner));
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
    const std::string difference =
      fmt::format("\"owner-{}-{}\"", round, winner);
    cr_expect(loser.output.find(difference) != std::string::npos,
              "%s",
              loser.output.c_str());
  }
  cr_expect_eq(WaitFor(fleet, "work").exitCode, 0);
}

// Guards against a bad entry that keeps the good edits made with it out, and
// against a rejection that the operator is not told.
Test(operatorsfleet, a_bad_entry_is_rejected_and_its_neighbours_are_not)
{
  Fleet fleet(OneDomain());
  fleet.StartAll();
  cr_assert(fleet.Put("work", ServiceOf("first")));
  cr_assert(fleet.Put("bad", RouteTo("missing", "/bad")));
  cr_assert(fleet.Put("good", RouteTo("work", "/good")));
  cr_expect_eq(WaitFor(fleet, "good").exitCode, 0);
  const CtlRun bad = WaitFor(fleet, "bad");
  cr_expect_eq(bad.exitCode, kRejected, "%s", bad.output.c_str());
  cr_expect(
    bad.output.find("missing") != std::string::npos, "%s", bad.output.c_str());
}

// Guards against a route without its service after a removal, and against an
// operator who is not told why the removal is not in force.
Test(operatorsfleet, status_says_why_a_used_service_stays)
{
  Fleet fleet(OneDomain());
  fleet.StartAll();
  cr_assert(fleet.Put("work", ServiceOf("first")));
  cr_assert(fleet.Put("work-route", RouteTo("work", "/jobs")));
  cr_assert_eq(WaitFor(fleet, "work-route").exitCode, 0);
  cr_assert_eq(fleet.Ctl({ "delete", "work", "--force" }).exitCode, 0);
  CtlRun explained;
  cr_expect(WaitUntil([&] {
              explained = fleet.Ctl({ "explain", "work" });
              return explained.output.find("work-route") != std::string::npos;
            }),
            "%s",
            explained.output.c_str());
  fmt::print(stderr, "explain of a removed service: {}", explained.output);
  cr_assert(fleet.Put("more", ServiceOf("second")));
  cr_expect_eq(WaitFor(fleet, "more").exitCode, 0);
}
