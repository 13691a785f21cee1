#include "ctl/reviewharness.h"
#include "distribution/acceptedchain.h"
#include "distribution/acceptor.h"
#include "distribution/fakestore.h"

#include <cstdio>

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

const std::string kUnreachable = "127.0.0.1:9";

/** Writes the entries that edits put into aStore as its next version. */
SnapshotPtr
AcceptEdits(FakeStore& aStore, const Snapshot& aHeld)
{
  const ObjectStore store = aStore.Hooks();
  const Decision decision =
    DecideNext(aHeld, store.list(std::string(kCataloguePrefix)).value());
  cr_assert(decision.next != nullptr);
  const std::string text = EncodeAccepted({ *decision.delta, "host", "n" });
  cr_assert(
    store.put(AcceptedObjectName(decision.next->Version()), text, kCreateOnly)
      .has_value());
  return decision.next;
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
  cr_expect(Contains(warned.out, "1 entry, 0 errors, 1 warning\n"));
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
  // An entry on standard input would have no name.
  cr_assert_not_null(std::freopen("/dev/null", "r", stdin));
  const CtlRun input = harness.Run({ "-" });
  cr_expect_eq(input.code, ExitCode::Usage);
  cr_expect(input.ErrorContains("only a document"));
}

// A directory that is named like an entry, or a file whose reading fails, must
// not pass as an empty entry.
Test(cataloguereviewer, what_is_no_readable_file_is_a_usage_error)
{
  const ReviewHarness harness;
  const std::string inner = harness.WriteFile("all/x.json/readme.txt", "");
  const auto directory = std::filesystem::path(inner).parent_path();
  const auto link =
    std::filesystem::path(harness.WriteFile("links/readme.txt", ""))
      .parent_path();
  // Reading the first page of a process gives EIO.
  std::filesystem::create_symlink("/proc/self/mem", link / "y.json");
  for (const auto& path : { directory.parent_path(), link, link / "y.json" }) {
    const CtlRun run = harness.Run({ path.string() });
    cr_expect_eq(run.code, ExitCode::Usage, "%s", path.c_str());
    cr_expect(run.ErrorContains("cannot be read"), "%s", run.error.c_str());
    cr_expect(run.out.empty(), "%s", run.out.c_str());
  }
  // Reading a directory on standard input gives EISDIR.
  cr_assert_not_null(std::freopen(link.c_str(), "r", stdin));
  const CtlRun input = harness.Run({ "-" });
  cr_expect_eq(input.code, ExitCode::Usage);
  cr_expect(input.ErrorContains("cannot be read"), "%s", input.error.c_str());
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

// Messages on standard error name files and entries too. A terminal takes the
// controls U+0080 to U+009F like escape sequences.
Test(cataloguereviewer, no_output_has_control_characters_of_names)
{
  const ReviewHarness harness;
  const std::string odd = "\x1b[31m\xc2\x9b"
                          "32m\xc2\x80\x7f\n";
  const std::string service = harness.WriteFile("orders.json", kService);
  const std::string one = harness.WriteFile("x/a" + odd + ".json", kService);
  const std::string two = harness.WriteFile("y/a" + odd + ".json", kService);
  const std::string empty =
    std::filesystem::path(harness.WriteFile("z" + odd + "/e.txt", ""))
      .parent_path()
      .string();
  for (const std::vector<std::string>& arguments :
       { std::vector<std::string>{ one, "--json" },
         std::vector<std::string>{ one },
         std::vector<std::string>{ one, two },
         std::vector<std::string>{ one + ".missing" },
         std::vector<std::string>{ empty },
         std::vector<std::string>{ service, "--against", one },
         std::vector<std::string>{ service, "--against", one + ".missing" } }) {
    const CtlRun run = harness.Run(arguments);
    const std::string printed = run.out + run.error;
    cr_expect(Contains(printed, "[31m"), "%s", printed.c_str());
    for (const char* control : { "\x1b", "\xc2\x9b", "\xc2\x80", "\x7f" }) {
      cr_expect_not(Contains(printed, control), "%s", printed.c_str());
    }
    cr_expect_not(Contains(printed, "\n.json"), "%s", printed.c_str());
  }
}

// Differences must be those from the accepted version, not from what operators
// wrote, which may have been rejected. They are no findings.
Test(cataloguereviewer, differences_from_the_version_in_force_are_printed)
{
  FakeStore fake;
  fake.Edit("catalogue/orders", kService);
  fake.Edit("catalogue/fonts", kService);
  fake.Edit("catalogue/route", RouteTo("orders", "/orders"));
  const SnapshotPtr first = AcceptEdits(fake, *Snapshot::Empty());
  fake.Edit("catalogue/route", RouteTo("missing", "/orders"));
  ReviewHarness harness;
  harness.store = fake.Hooks();
  const std::vector<std::string> arguments = {
    harness.WriteFile("orders.json", kService),
    harness.WriteFile("route.json", RouteTo("orders", "/v2")),
    "--platform",
    kUnreachable
  };
  const CtlRun run = harness.Run(arguments);
  cr_expect_eq(run.code, ExitCode::Ok, "%s", run.error.c_str());
  cr_expect_eq(run.out,
               "2 entries, 0 errors, 0 warnings\n"
               "2 entries differ from version 1 in force\n"
               "removed service fonts\n"
               "changed route route: match.path /orders -> /v2\n",
               "%s",
               run.out.c_str());
  auto inJson = arguments;
  inJson.emplace_back("--json");
  const auto json = nlohmann::json::parse(harness.Run(inJson).out);
  const auto& changed = json.at("differences").at("entries").at(1);
  cr_expect_eq(changed.at("change"), "changed");
  cr_expect_eq(changed.at("fields").at(0).at("field"), "match.path");
  cr_expect_eq(changed.at("fields").at(0).at("to"), "/v2");
  cr_expect(nlohmann::json::parse(
              harness.Run({ arguments[0], arguments[1], "--json" }).out)
              .at("differences")
              .is_null());
}

// Without the version in force, the findings are still of use, but the exit
// status must say that the comparison is missing.
Test(cataloguereviewer, a_platform_that_is_down_is_reported)
{
  FakeStore fake;
  fake.isDown = true;
  ReviewHarness harness;
  harness.store = fake.Hooks();
  const std::string file = harness.WriteFile("orders.json", kService);
  const CtlRun run = harness.Run({ file, "--platform", kUnreachable });
  cr_expect_eq(run.code, ExitCode::PlatformFailed);
  cr_expect(Contains(run.out, "warning service-without-route orders"));
  cr_expect(run.ErrorContains("the version in force cannot be read"));
  // Errors are certain, whatever the platform says.
  const std::string bad = harness.WriteFile("bad.json", "{");
  cr_expect_eq(harness.Run({ bad, "--platform", kUnreachable }).code,
               ExitCode::Rejected);
  // With --against, the platform is not asked.
  cr_expect_eq(
    harness.Run({ file, "--platform", kUnreachable, "--against", file }).code,
    ExitCode::Warnings);
}

// --against compares with files, which must be usable and valid.
Test(cataloguereviewer, differences_from_files_are_printed)
{
  const ReviewHarness harness;
  const std::string service = harness.WriteFile("new/orders.json", kService);
  const std::string route =
    harness.WriteFile("new/route.json", RouteTo("orders", "/orders"));
  const std::string old = harness.WriteFile("old/orders.json", kService);
  const CtlRun run = harness.Run({ service, route, "--against", old });
  cr_expect_eq(run.code, ExitCode::Ok, "%s", run.error.c_str());
  cr_expect(Contains(run.out, "1 entry differs from " + old + "\n"));
  cr_expect(Contains(run.out, "added route route\n"));
  const CtlRun missing =
    harness.Run({ service, route, "--against", old + ".missing" });
  cr_expect_eq(missing.code, ExitCode::Usage);
  cr_expect(missing.out.empty());
  const CtlRun invalid = harness.Run({ service, route, "--against", route });
  cr_expect_eq(invalid.code, ExitCode::Usage);
  cr_expect(invalid.ErrorContains("dangling-reference route: "));
  const auto wrong = ParseCtl({ "check", "a", "-", "--against", old });
  cr_expect(wrong.has_error() &&
            Contains(wrong.error().message, "for review only"));
}

// A change set that the acceptor would refuse must be an error. Entries in
// force keep the id of the change set in which they were written, which says
// nothing about the next change.
Test(cataloguereviewer, incomplete_change_sets_are_errors)
{
  FakeStore fake;
  const std::string change = R"(,"change":{"id":"c1","size":2}})";
  const auto with = [&change](std::string aText) {
    aText.pop_back();
    return aText + change;
  };
  fake.Edit("catalogue/orders", with(kService));
  fake.Edit("catalogue/route", with(RouteTo("orders", "/orders")));
  const SnapshotPtr first = AcceptEdits(fake, *Snapshot::Empty());
  ReviewHarness harness;
  harness.store = fake.Hooks();
  const auto review = [&harness](const std::string& aService,
                                 const std::string& aRoute) {
    return harness.Run({ harness.WriteFile("orders.json", aService),
                         harness.WriteFile("route.json", aRoute),
                         "--platform",
                         kUnreachable });
  };
  // In another layout, with one entry written alone, and without change sets.
  const std::string layout = " " + with(kService);
  cr_expect_eq(review(layout, with(RouteTo("orders", "/orders"))).code,
               ExitCode::Ok);
  cr_expect_eq(review(layout, RouteTo("orders", "/v2")).code, ExitCode::Ok);
  cr_expect_eq(review(kService, RouteTo("orders", "/v2")).code, ExitCode::Ok);
  std::string next = RouteTo("orders", "/v2");
  next.pop_back();
  const CtlRun run =
    review(kService, next + R"(,"change":{"id":"c2","size":2}})");
  cr_expect_eq(run.code, ExitCode::Rejected);
  cr_expect(Contains(run.out, "error incomplete-change route: change set 'c2'"),
            "%s",
            run.out.c_str());
}

// The acceptor compares texts, so an entry whose only difference is a new
// change set counts for that set. Otherwise the review would refuse a change
// that the acceptor takes.
Test(cataloguereviewer, entries_with_a_new_change_set_count_for_it)
{
  const auto with = [](std::string aText, const std::string& aChange) {
    aText.pop_back();
    return aText + R"(,"change":)" + aChange + "}";
  };
  FakeStore fake;
  fake.Edit("catalogue/orders", with(kService, R"({"id":"c1","size":1})"));
  fake.Edit("catalogue/route", RouteTo("orders", "/orders"));
  const SnapshotPtr first = AcceptEdits(fake, *Snapshot::Empty());
  ReviewHarness harness;
  harness.store = fake.Hooks();
  const std::string next =
    with(RouteTo("orders", "/v2"), R"({"id":"c2","size":2})");
  const auto review = [&harness, &next](const std::string& aService) {
    return harness.Run({ harness.WriteFile("orders.json", aService),
                         harness.WriteFile("route.json", next),
                         "--platform",
                         kUnreachable });
  };
  const std::string service = with(kService, R"({"id":"c2","size":2})");
  const CtlRun run = review(service);
  cr_expect_eq(run.code, ExitCode::Ok, "%s", run.out.c_str());
  cr_expect_eq(review(with(kService, R"({"id":"c1","size":1})")).code,
               ExitCode::Rejected);
  // The size alone is a new change set too, but an incomplete one.
  const CtlRun resized = review(with(kService, R"({"id":"c1","size":2})"));
  cr_expect(Contains(resized.out, "error incomplete-change orders: "),
            "%s",
            resized.out.c_str());
  fake.Edit("catalogue/orders", service);
  fake.Edit("catalogue/route", next);
  cr_expect_eq(AcceptEdits(fake, *first)->Version(), 2);
}
