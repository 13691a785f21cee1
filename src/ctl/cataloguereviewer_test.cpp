#include "ctl/reviewharness.h"

using namespace lacewingwharf;

namespace {

const std::string kService =
  R"({"kind":"service","owner":"shop","class":"interactive"})";

std::string
RouteTo(const std::string& aService, const std::string& aPath)
{
  return fmt::format(R"({{"kind":"route","owner":"shop","class":"interactive",)"
                     R"("service":"{}","match":{{"path":"{}"}}}})",
                     aService,
                     aPath);
}

bool
Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace

// A correct catalogue must give exit status 0, or operators can't use the
// command in scripts.
Test(cataloguereviewer, a_correct_catalogue_gives_nothing)
{
  const ReviewHarness harness;
  const std::string service = harness.WriteFile("orders.json", kService);
  const std::string route =
    harness.WriteFile("orders-route.json", RouteTo("orders", "/orders"));
  const CtlRun run = harness.Run({ service, route });
  cr_expect_eq(run.code, ExitCode::Ok, "%s", run.out.c_str());
  cr_expect_eq(run.out, "2 entries, 0 errors, 0 warnings\n");
}

// All errors must be reported, not only the first, each with the code of the
// daemons' validation.
Test(cataloguereviewer, every_error_is_reported_with_its_code)
{
  const ReviewHarness harness;
  harness.WriteFile("all/orders.json", kService);
  harness.WriteFile("all/a.json", RouteTo("orders", "/orders"));
  harness.WriteFile("all/b.json", RouteTo("orders", "/orders"));
  harness.WriteFile("all/c.json", RouteTo("fonts", "/fonts"));
  harness.WriteFile("all/d.json", "{");
  const std::string file =
    harness.WriteFile("all/e.json", R"({"kind":"service","owner":"shop"})");
  harness.WriteFile("all/notes.txt", "not an entry");
  const std::string directory =
    std::filesystem::path(file).parent_path().string();
  const CtlRun run = harness.Run({ directory });
  cr_expect_eq(run.code, ExitCode::Rejected);
  for (const char* line :
       { "error duplicate-match b: routes 'a' and 'b' match the same method",
         "error dangling-reference c: route 'c' names the service 'fonts'",
         "error bad-json d: the text is not valid JSON",
         "error bad-field e: class",
         "6 entries, 4 errors, 0 warnings\n" }) {
    cr_expect(Contains(run.out, line), "%s:\n%s", line, run.out.c_str());
  }
  const CtlRun json = harness.Run({ directory, "--json" });
  cr_expect_eq(json.code, ExitCode::Rejected);
  const auto report = nlohmann::json::parse(json.out);
  cr_expect_eq(report.at("errors"), 4);
  cr_expect_eq(report.at("findings").at(0).at("code"), "duplicate-match");
  cr_expect_eq(report.at("findings").at(0).at("entry"), "b");
  cr_expect_eq(report.at("findings").at(0).at("level"), "error");
}

// Scripts must be able to tell warnings from errors and from nothing.
Test(cataloguereviewer, warnings_alone_have_an_exit_status_of_their_own)
{
  const ReviewHarness harness;
  const std::string service = harness.WriteFile("orders.json", kService);
  const CtlRun warned = harness.Run({ service });
  cr_expect_eq(static_cast<int>(warned.code), 7);
  cr_expect(Contains(warned.out, "warning service-without-route orders: "));
  cr_expect(Contains(warned.out, "1 entries, 0 errors, 1 warnings\n"));
  const CtlRun wrong =
    harness.Run({ service, harness.WriteFile("bad.json", "{") });
  cr_expect_eq(static_cast<int>(wrong.code), 4);
}

// Files that can't be read must not pass as a catalogue without their entries.
Test(cataloguereviewer, unusable_files_are_a_usage_error)
{
  const ReviewHarness harness;
  const std::string service = harness.WriteFile("x/orders.json", kService);
  const std::string twice = harness.WriteFile("y/orders.json", kService);
  const std::string text = harness.WriteFile("empty/readme.txt", "");
  const std::string empty = std::filesystem::path(text).parent_path().string();
  const CtlRun missing = harness.Run({ service, service + ".missing" });
  cr_expect_eq(missing.code, ExitCode::Usage);
  cr_expect(missing.ErrorContains("cannot be read"));
  cr_expect(missing.out.empty());
  const CtlRun same = harness.Run({ service, twice });
  cr_expect_eq(same.code, ExitCode::Usage);
  cr_expect(same.ErrorContains("'orders' is given twice"));
  cr_expect_eq(harness.Run({ empty }).code, ExitCode::Usage);
  cr_expect(harness.Run({}).ErrorContains("at least one FILE"));
}

// A catalogue that the acceptor can't store must not pass as correct.
Test(cataloguereviewer, a_catalogue_above_the_limit_of_the_store_is_an_error)
{
  const ReviewHarness harness;
  // The padding is random, so that it can't be compressed well.
  constexpr int kPadding = 100000;
  std::uint64_t state = 1;
  for (int entry = 0; entry < 40; ++entry) {
    std::string padded = kService;
    for (int i = 0; i < kPadding; ++i) {
      state = state * 6364136223846793005U + 1442695040888963407U;
      padded += " \t\r\n"[state >> 62U];
    }
    harness.WriteFile(fmt::format("large/s{}.json", entry), padded);
    harness.WriteFile(
      fmt::format("large/r{}.json", entry),
      RouteTo(fmt::format("s{}", entry), fmt::format("/{}", entry)));
  }
  const std::string file = harness.WriteFile("large/s.txt", "");
  const CtlRun run =
    harness.Run({ std::filesystem::path(file).parent_path().string() });
  cr_expect_eq(run.code, ExitCode::Rejected);
  cr_expect(
    Contains(run.out, "error too-large catalogue: "), "%s", run.out.c_str());
}

// Texts of invalid entries may be keys, and names of files may change what a
// terminal shows; neither must be printed.
Test(cataloguereviewer, no_keys_and_no_control_characters_are_printed)
{
  const ReviewHarness harness;
  const std::string team = harness.WriteFile(
    "acme.json",
    R"({"kind":"team","owner":"acme","keys":["secret-key-of-acme"]})");
  const std::string service =
    harness.WriteFile("red\x1b[31m\xff.json", kService);
  for (const std::vector<std::string>& arguments :
       { std::vector<std::string>{ team, service },
         std::vector<std::string>{ team, service, "--json" } }) {
    const CtlRun run = harness.Run(arguments);
    cr_expect_eq(run.code, ExitCode::Rejected);
    cr_expect(Contains(run.out, "not a SHA-256 digest"));
    cr_expect(Contains(run.out, "[31m"));
    cr_expect_not(Contains(run.out + run.error, "secret-key"));
    cr_expect_not(Contains(run.out + run.error, "\x1b"));
  }
}
