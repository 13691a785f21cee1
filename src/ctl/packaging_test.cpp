#include "catalogue/cataloguecheck.h"
#include "catalogue/cataloguereview.h"
#include "ctl/cataloguereviewer.h"
#include "ctl/options.h"
#include "documentreview.h"
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

/** Returns the example file with its commented-out default keys enabled. */
std::string
UncommentDefaults()
{
  return std::regex_replace(SourceText("packaging/lacewingwharfd.ini.example"),
                            std::regex("\n;([a-z]+ =)"),
                            "\n$1");
}

} // namespace

// The example file must be valid, list every key and show the defaults that the
// daemon uses when the keys stay commented out.
Test(packaging, ExampleHasEveryKeyWithItsDefault)
{
  const std::string text = UncommentDefaults();
  const auto exampleAsShipped =
    ParseSettings(SourceText("packaging/lacewingwharfd.ini.example"));
  const auto exampleUncommented = ParseSettings(text);
  cr_assert(exampleAsShipped.has_value() && exampleUncommented.has_value());
  for (const SettingsKey& key : SettingsKeys()) {
    const std::string line = fmt::format("\n{} = ", key.name);
    cr_expect(text.find(line) != std::string::npos,
              "[%s] %s is missing",
              std::string(key.section).c_str(),
              std::string(key.name).c_str());
  }
  const Settings& actual = exampleAsShipped.value();
  const Settings& documented = exampleUncommented.value();
  cr_expect_eq(actual.logLevel, documented.logLevel);
  cr_expect_eq(actual.stopLimit, documented.stopLimit);
  cr_expect_eq(actual.peerPort, documented.peerPort);
  cr_expect_eq(actual.callPort, documented.callPort);
  cr_expect_eq(actual.adminPort, documented.adminPort);
  cr_expect_eq(actual.maxBodyBytes, documented.maxBodyBytes);
  cr_expect_eq(actual.maxConnections, documented.maxConnections);
  cr_expect_eq(actual.hedgeShare, documented.hedgeShare);
  cr_expect_eq(actual.platformTimeout, documented.platformTimeout);
  cr_expect_eq(actual.platformCallsPerSecond,
               documented.platformCallsPerSecond);
  cr_expect_eq(actual.gossipInterval, documented.gossipInterval);
  cr_expect_eq(actual.suspicionTime, documented.suspicionTime);
  cr_expect_eq(actual.endpointTimeout, documented.endpointTimeout);
  cr_expect_eq(actual.relays, documented.relays);
  cr_expect_eq(actual.fanout, documented.fanout);
  cr_expect_eq(actual.startWait, documented.startWait);
  cr_expect_eq(actual.claimRetention, documented.claimRetention);
  cr_expect_eq(actual.claimWait, documented.claimWait);
  cr_expect_eq(actual.claimCallsPerSecond, documented.claimCallsPerSecond);
  cr_expect_eq(actual.reportInterval, documented.reportInterval);
}

// The operations page must list every key with the range that the daemon
// accepts.
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
        std::regex_search(
          key.valueDescription, range, std::regex("from (.*)$"))) {
      const std::string line =
        page.substr(start + 1, page.find('\n', start + 1) - start);
      cr_expect(line.find(range[1].str()) != std::string::npos,
                "%s: %s",
                row.c_str(),
                key.valueDescription.c_str());
    }
  }
}

// Operators look up commands, exit statuses and the codes of warnings in these
// pages.
Test(packaging, PagesListEveryCommandAndWarning)
{
  // Hyphens have a backslash in man pages.
  const std::string manual = std::regex_replace(
    SourceText("docs/man/lacewingwharfctl.1"), std::regex("\\\\-"), "-");
  const std::string catalogue = SourceText("docs/catalogue.md");
  for (const auto& [command, name] : kCtlCommandNames.Rows()) {
    const std::regex heading(fmt::format("\n\\.TP\n\\.BI?R? \"?{}\\b", name));
    cr_expect(std::regex_search(manual, heading),
              "%s is missing",
              std::string(name).c_str());
  }
  for (int code = 0; code <= static_cast<int>(ExitCode::Warnings); ++code) {
    const std::string heading = fmt::format("\n.TP\n.B {}\n", code);
    cr_expect(manual.find(heading) != std::string::npos, "%d", code);
  }
  std::vector<std::string> codes = { kRepeatedNameCode,
                                     kVersionNotNewerCode,
                                     kVersionNotPositiveCode,
                                     platform::kRateBelowOneCode };
  for (const auto& [code, name] : kWarningNames.Rows()) {
    codes.emplace_back(name);
  }
  for (const std::string& code : codes) {
    cr_expect(manual.find(code) != std::string::npos, "%s", code.c_str());
    cr_expect(catalogue.find(fmt::format("\n| `{}` |", code)) !=
                std::string::npos,
              "%s",
              code.c_str());
  }
}

// If the unit's stop timeout were shorter than the daemon's stop limit, systemd
// would kill the daemon and interrupt calls in flight.
Test(packaging, UnitWaitsForTheStopLimit)
{
  const std::string unit = SourceText("packaging/lacewingwharfd.service.in");
  std::smatch stopTimeout;
  cr_assert(std::regex_search(
    unit, stopTimeout, std::regex("\nTimeoutStopSec=([0-9]+)s\n")));
  constexpr Millis kSecondMillis = 1000;
  constexpr Millis kShutdownNoticeMillis = 2000;
  cr_expect_geq(std::stoll(stopTimeout[1].str()) * kSecondMillis,
                Settings().stopLimit + kShutdownNoticeMillis);
  cr_expect(unit.find("RestartPreventExitStatus=2") != std::string::npos);
}
