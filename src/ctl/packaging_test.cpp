#include "settings/settingskeys.h"
#include "settings/settingsreader.h"

#include <criterion/criterion.h>

#include <fmt/format.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <regex>
#include <sstream>

using namespace lacewingwharf;

namespace {

std::string
SourceText(const std::string& aFile)
{
  const auto root =
    std::filesystem::path(__FILE__).parent_path().parent_path().parent_path();
  std::ifstream stream(root / aFile);
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

/** The example with the keys that show defaults switched on. */
std::string
WithDefaults()
{
  return std::regex_replace(SourceText("packaging/lacewingwharfd.ini.example"),
                            std::regex("\n;([a-z]+ =)"),
                            "\n$1");
}

} // namespace

// Guards against an example file that the daemon refuses, or that lacks keys
// or shows other defaults than the daemon has.
Test(packaging, ExampleHasEveryKeyWithItsDefault)
{
  const std::string text = WithDefaults();
  const auto plain =
    ParseSettings(SourceText("packaging/lacewingwharfd.ini.example"));
  const auto full = ParseSettings(text);
  cr_assert(plain.has_value() && full.has_value());
  for (const SettingsKey& key : SettingsKeys()) {
    const std::string line = fmt::format("\n{} = ", key.name);
    cr_expect(text.find(line) != std::string::npos,
              "[%s] %s is missing",
              std::string(key.section).c_str(),
              std::string(key.name).c_str());
  }
  const Settings& left = plain.value();
  const Settings& right = full.value();
  cr_expect_eq(left.logLevel, right.logLevel);
  cr_expect_eq(left.stopLimit, right.stopLimit);
  cr_expect_eq(left.peerPort, right.peerPort);
  cr_expect_eq(left.callPort, right.callPort);
  cr_expect_eq(left.adminPort, right.adminPort);
  cr_expect_eq(left.maxBodyBytes, right.maxBodyBytes);
  cr_expect_eq(left.maxConnections, right.maxConnections);
  cr_expect_eq(left.platformTimeout, right.platformTimeout);
  cr_expect_eq(left.platformCallsPerSecond, right.platformCallsPerSecond);
  cr_expect_eq(left.gossipInterval, right.gossipInterval);
  cr_expect_eq(left.suspicionTime, right.suspicionTime);
  cr_expect_eq(left.endpointTimeout, right.endpointTimeout);
  cr_expect_eq(left.relays, right.relays);
  cr_expect_eq(left.fanout, right.fanout);
  cr_expect_eq(left.startWait, right.startWait);
  cr_expect_eq(left.claimRetention, right.claimRetention);
  cr_expect_eq(left.claimWait, right.claimWait);
  cr_expect_eq(left.claimCallsPerSecond, right.claimCallsPerSecond);
  cr_expect_eq(left.reportInterval, right.reportInterval);
}

// Guards against settings that operators cannot find in the documentation, or
// find with a range that the daemon refuses.
Test(packaging, OperationsPageListsEveryKeyWithItsRange)
{
  const std::string page = SourceText("docs/OPERATIONS.md");
  for (const SettingsKey& key : SettingsKeys()) {
    const std::string row =
      fmt::format("\n| {} | `{}` |", key.section, key.name);
    const auto start = page.find(row);
    cr_expect(start != std::string::npos, "%s", row.c_str());
    std::smatch range;
    if (start != std::string::npos &&
        std::regex_search(key.accepts, range, std::regex("from (.*)$"))) {
      const std::string line =
        page.substr(start + 1, page.find('\n', start + 1) - start);
      cr_expect(line.find(range[1].str()) != std::string::npos,
                "%s: %s",
                row.c_str(),
                key.accepts.c_str());
    }
  }
}

// Guards against a unit that kills the daemon before its own stop limit has
// passed, which would interrupt calls in flight.
Test(packaging, UnitWaitsForTheStopLimit)
{
  const std::string unit = SourceText("packaging/lacewingwharfd.service.in");
  std::smatch bound;
  cr_assert(
    std::regex_search(unit, bound, std::regex("\nTimeoutStopSec=([0-9]+)s\n")));
  constexpr Millis kSecond = 1000;
  constexpr Millis kNotices = 2000;
  cr_expect_geq(std::stoll(bound[1].str()) * kSecond,
                Settings().stopLimit + kNotices);
  cr_expect(unit.find("RestartPreventExitStatus=2") != std::string::npos);
}
