#include "testkit/fleet.h"
#include "testkit/httprequest.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <set>
#include <string>
#include <vector>

using namespace lacewingwharf;

namespace {

constexpr const char* kTeam = "pulo";
constexpr Millis kTimeout = 20000;

FleetConfig
OneDomain()
{
  FleetConfig config;
  config.domains = { { "east", "north", 3 } };
  config.settings = "[distribution]\nstartwait = 1000\n";
  return config;
}

nlohmann::json
UsageAt(const Fleet& aFleet, std::size_t aHost)
{
  const auto answer = SendTestRequest(
    "GET", aFleet.AdminUrl(aHost, std::string("/v1/entries/") + kTeam));
  const auto entry = nlohmann::json::parse(answer.body, nullptr, false);
  return entry.is_object() ? entry.value("usage", nlohmann::json::object())
                           : nlohmann::json::object();
}

int
HalvesAt(const Fleet& aFleet, const std::vector<std::size_t>& aHosts)
{
  int halves = 0;
  for (const std::size_t host : aHosts) {
    halves += UsageAt(aFleet, host).value("halves", 0);
  }
  return halves;
}

/** The accountants that these daemons ask. */
std::set<std::string>
AccountantsOf(const Fleet& aFleet, const std::vector<std::size_t>& aHosts)
{
  std::set<std::string> accountants;
  for (const std::size_t host : aHosts) {
    const auto usage = UsageAt(aFleet, host);
    for (const auto& name :
         usage.value("accountants", std::vector<std::string>())) {
      accountants.insert(name);
    }
  }
  return accountants;
}

} // namespace

// The halves of all members must reach two accountants over real sessions, and
// those of a killed accountant must move to a living one.
Test(usagefleet, shares_are_lent_and_move_when_an_accountant_is_killed)
{
  Fleet fleet(OneDomain());
  fleet.StartAll();
  cr_assert(fleet.Put(
    kTeam, R"({"kind":"team","owner":"pulo","keys":[],"rate":40,"burst":40})"));
  const std::vector<std::size_t> all = fleet.AllHosts();
  cr_assert(WaitUntil([&] { return HalvesAt(fleet, all) == 6; }, kTimeout));
  const std::set<std::string> accountants = AccountantsOf(fleet, all);
  cr_assert_eq(accountants.size(), 2U);
  // The pools fill at the rate of the team, up to a burst of 40, the tokens of
  // a token's life and the spare ones.
  cr_assert(WaitUntil(
    [&] {
      int left = 0;
      for (const std::size_t host : all) {
        left += UsageAt(fleet, host).value("left", 0);
      }
      return left >= 50 && left <= 64;
    },
    kTimeout));
  std::vector<std::size_t> living;
  std::size_t killed = 0;
  for (const std::size_t host : all) {
    if (fleet.HostName(host) == *accountants.begin()) {
      killed = host;
    } else {
      living.push_back(host);
    }
  }
  fleet.Daemon(killed).Kill();
  cr_assert(WaitUntil([&] { return HalvesAt(fleet, living) == 4; }, kTimeout));
  cr_assert_eq(AccountantsOf(fleet, living).count(fleet.HostName(killed)), 0U);
}
