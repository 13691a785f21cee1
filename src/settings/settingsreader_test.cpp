#include "settings/settingsreader.h"

#include <criterion/criterion.h>

using namespace lacewingwharf;

namespace {

constexpr std::string_view kRequiredSettings = "[daemon]\n"
                                               "host = host-1\n"
                                               "address = 127.0.1.1\n"
                                               "region = de-cymru\n"
                                               "domain = caerfyrddin\n"
                                               "[platform]\n"
                                               "address = 127.0.0.1:7000\n"
                                               "region = de-cymru\n";

} // namespace

// Values from the file must replace the defaults.
Test(settingsreader, ReadsACompleteFile)
{
  const auto settings =
    ParseSettings(std::string(kRequiredSettings) +
                  "[membership]\npeers = 127.0.1.1:7100, 127.0.1.2:7100\n");
  cr_assert(settings.has_value());
  cr_assert_eq(settings.value().host, "host-1");
  cr_assert_eq(settings.value().platform.port, 7000);
  cr_assert_eq(settings.value().peers.size(), 2U);
  cr_assert_eq(settings.value().relays, 2);
}

// A misspelt key must be an error. All errors must be reported at once, so that
// the file can be corrected in one step.
Test(settingsreader, ReportsAllErrorsWithTheirLines)
{
  const auto settings = ParseSettings("[daemon]\n"
                                      "host = host-1\n"
                                      "adress = 127.0.1.1\n"
                                      "region = a b\n"
                                      "[peer]\n"
                                      "port = 70000\n"
                                      "port = 7000\n");
  cr_assert(settings.has_error());
  const SettingsErrors& errors = settings.error();
  const auto count = [&errors](SettingsErrorCode aCode, int aLine) {
    return std::ranges::count_if(errors, [=](const SettingsError& aError) {
      return aError.code == aCode && aError.line == aLine;
    });
  };
  cr_expect_eq(count(SettingsErrorCode::UnknownKey, 3), 1);
  cr_expect_eq(count(SettingsErrorCode::BadValue, 4), 1);
  cr_expect_eq(count(SettingsErrorCode::BadValue, 6), 1);
  cr_expect_eq(count(SettingsErrorCode::Duplicate, 7), 1);
  cr_expect_eq(count(SettingsErrorCode::MissingKey, 0), 4);
}

// A file that is not INI must not be read as empty settings.
Test(settingsreader, ReportsSyntaxErrors)
{
  const auto settings = ParseSettings("[daemon\nhost\n");
  cr_assert(settings.has_error());

  cr_expect(std::ranges::any_of(settings.error(), [](const auto& aError) {
    return aError.code == SettingsErrorCode::Syntax && aError.line == 1;
  }));
}

// Wrongly parsed forwards would send frames to the wrong peer. The key may be
// repeated because inih limits a line to less than 200 bytes.
Test(settingsreader, ReadsForwardsFromSeveralLines)
{
  const auto settings =
    ParseSettings(std::string(kRequiredSettings) +
                  "[peer]\nforwards = 127.0.1.1:7100>127.0.9.1:9001\n"
                  "forwards = 127.0.1.2:7100 > 127.0.9.1:9002\n");
  cr_assert(settings.has_value());
  cr_assert_eq(settings.value().forwards.size(), 2U);
  cr_assert_eq(settings.value().forwards[1].peer.address, "127.0.1.2");
  cr_assert_eq(settings.value().forwards[1].forwarder.port, 9002);
  const auto broken = ParseSettings(std::string(kRequiredSettings) +
                                    "[peer]\nforwards = 127.0.1.1:7100\n");
  cr_assert(broken.has_error());
}

// A platform may not tell the rate of the link. The daemon must start then, but
// not with a rate that is no number.
Test(settingsreader, TheRateOfTheLinkMayBeMissing)
{
  const auto read = [](const char* aLine) {
    return ParseSettings(std::string(kRequiredSettings) + "[daemon]\n" + aLine +
                         "\n");
  };
  cr_expect_eq(read("linkrate = 10.5").value().linkRate, 10.5);
  for (const char* line : { "", "linkrate =", "linkrate = {{a.b}}" }) {
    const auto settings = read(line);
    cr_assert(settings.has_value(), "%s", line);
    cr_expect_eq(settings.value().linkRate, 0);
  }
  for (const char* line :
       { "linkrate = -1", "linkrate = fast", "linkrate = nan" }) {
    cr_expect_not(read(line).has_value(), "%s", line);
  }
}

// A share above a fifth is more work than second attempts are meant for, and a
// text that is no fraction must not silently turn them on or off.
Test(settingsreader, TheShareOfSecondAttemptsIsAFractionOrOff)
{
  const auto read = [](const char* aLine) {
    return ParseSettings(std::string(kRequiredSettings) + "[calls]\n" + aLine +
                         "\n");
  };
  cr_expect_eq(read("").value().hedgeShare, 0);
  cr_expect_eq(read("hedgeshare = 0").value().hedgeShare, 0);
  cr_expect_eq(read("hedgeshare = 0.05").value().hedgeShare, 0.05);
  cr_expect_eq(read("hedgeshare = 0.2").value().hedgeShare, 0.2);
  for (const char* line : { "hedgeshare =",
                            "hedgeshare = 0.21",
                            "hedgeshare = -0.01",
                            "hedgeshare = 5%",
                            "hedgeshare = nan" }) {
    cr_expect_not(read(line).has_value(), "%s", line);
  }
}
