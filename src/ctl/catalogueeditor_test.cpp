#include "ctl/ctlharness.h"

#include <nlohmann/json.hpp>

#include <array>
#include <thread>

using namespace lacewingwharf;

namespace {

std::string
OwnerEntry(int aRate)
{
  return fmt::format(
    R"({{"kind":"owner","owner":"shop","limits":{{"rate":{}}}}})", aRate);
}

} // namespace

// A put without --expect or --force must not replace an existing entry, because
// the operator may not know its content.
Test(catalogueeditor, PutWithoutConditionOnlyCreates)
{
  const CtlHarness ctl;
  const std::string file = ctl.WriteFile("a.json", OwnerEntry(1));
  cr_expect_eq(ctl.RunEditor({ "put", "shop", file }).code, ExitCode::Ok);
  const std::string other = ctl.WriteFile("b.json", OwnerEntry(2));
  const CtlRun second = ctl.RunEditor({ "put", "shop", other });
  cr_expect_eq(second.code, ExitCode::Conflict);
  cr_expect(second.ErrorContains("--expect 1"), "%s", second.error.c_str());
  cr_expect_eq(ctl.store.get("catalogue/shop").value().value, OwnerEntry(1));
  cr_expect_eq(ctl.RunEditor({ "put", "shop", other, "--expect", "1" }).code,
               ExitCode::Ok);
}

// Two threads put the same entry with the same expected revision. If both were
// reported as written, one of the writes would be lost without notice.
Test(catalogueeditor, OneOfTwoConcurrentPutsSucceeds)
{
  const CtlHarness ctl;
  constexpr int kRounds = 10;
  std::int64_t revision = ctl.PutObject("catalogue/shop", OwnerEntry(1));
  for (int round = 0; round < kRounds; ++round) {
    std::array<CtlRun, 2> runs;
    std::array<std::thread, 2> threads;
    for (int i = 0; i < 2; ++i) {
      const std::string text = OwnerEntry(10 * round + i + 2);
      const CtlOptions options =
        ctl.ParseOptions({ "put",
                           "shop",
                           ctl.WriteFile(fmt::format("{}.json", i), text),
                           "--expect",
                           std::to_string(revision) });
      threads[i] = std::thread([&runs, i, options, store = ctl.NewStore()] {
        runs[i] = CtlHarness::RunEditor(store, options);
      });
    }
    std::ranges::for_each(threads,
                          [](std::thread& aThread) { aThread.join(); });
    const int successfulIndex = runs[0].code == ExitCode::Ok ? 0 : 1;
    const CtlRun& conflictingRun = runs[1 - successfulIndex];
    cr_assert_eq(runs[successfulIndex].code, ExitCode::Ok);
    cr_assert_eq(conflictingRun.code, ExitCode::Conflict);
    const auto current = ctl.store.get("catalogue/shop").value();
    cr_assert_eq(current.value, OwnerEntry(10 * round + successfulIndex + 2));
    const std::string changed =
      fmt::format("/limits/rate = {}", 10 * round + successfulIndex + 2);
    cr_assert(conflictingRun.ErrorContains(changed),
              "%s",
              conflictingRun.error.c_str());
    revision = current.revision;
  }
}

// When the answer to a write is lost, the write may have taken effect. The
// command must not report a failure then, nor send the write twice.
Test(catalogueeditor, ReadsTheEntryBackAfterALostAnswer)
{
  const CtlHarness ctl;
  const std::string file = ctl.WriteFile("a.json", OwnerEntry(1));
  cr_assert(ctl.platform.Switch(R"({"drop_answer_after_write":1})"));
  const CtlRun put = ctl.RunEditor({ "put", "shop", file, "--json" });
  cr_expect_eq(put.code, ExitCode::Ok, "%s", put.error.c_str());
  const auto printed = nlohmann::json::parse(put.out, nullptr, false);
  cr_expect(
    printed.is_object() && printed["revision"] == 1, "%s", put.out.c_str());
  cr_expect_eq(ctl.platform.Calls("put"), 1);
  cr_assert(ctl.platform.Switch(R"({"drop_answer_after_write":1})"));
  const CtlRun removed = ctl.RunEditor({ "delete", "shop", "--expect", "1" });
  cr_expect_eq(removed.code, ExitCode::Ok, "%s", removed.error.c_str());
}

// While the platform is down, a write may or may not have taken effect. The
// message must not present it as written or as refused.
Test(catalogueeditor, ReportsAnUncertainWriteWhenThePlatformIsDown)
{
  const CtlHarness ctl;
  const std::string file = ctl.WriteFile("a.json", OwnerEntry(1));
  cr_assert(ctl.platform.Switch(R"({"down":true})"));
  const CtlRun put = ctl.RunEditor({ "put", "shop", file });
  cr_expect_eq(put.code, ExitCode::PlatformFailed);
  cr_expect(put.ErrorContains("get the entry before trying again"),
            "%s",
            put.error.c_str());
}

// Each entry of a change set must carry the size of the set and be written with
// its own expected revision.
Test(catalogueeditor, WritesChangeSets)
{
  const CtlHarness ctl;
  ctl.PutObject("catalogue/a", OwnerEntry(1));
  const std::string file = ctl.WriteFile("a.json", OwnerEntry(2));
  const CtlRun put = ctl.RunEditor(
    { "put", "a", file, "b", file, "--change", "c1", "--expect", "a=1" });
  cr_expect_eq(put.code, ExitCode::Ok, "%s", put.error.c_str());
  for (const char* name : { "catalogue/a", "catalogue/b" }) {
    const auto entry = nlohmann::json::parse(ctl.store.get(name).value().value);
    cr_expect_eq(entry.at("change").at("id"), "c1");
    cr_expect_eq(entry.at("change").at("size"), 2);
  }
  const CtlRun partial =
    ctl.RunEditor({ "put", "c", file, "b", file, "--change", "c2" });
  cr_expect_eq(partial.code, ExitCode::Conflict);
  cr_expect(partial.ErrorContains("1 of 2 entries are written") &&
              partial.ErrorContains("'c2' is not accepted"),
            "%s",
            partial.error.c_str());
}

// A delete must not remove an entry that another operator changed after it was
// read.
Test(catalogueeditor, DeleteIsConditional)
{
  const CtlHarness ctl;
  ctl.PutObject("catalogue/shop", OwnerEntry(1));
  const std::int64_t revision = ctl.PutObject("catalogue/shop", OwnerEntry(2));
  cr_expect_eq(ctl.RunEditor({ "delete", "shop" }).code, ExitCode::Usage);
  const CtlRun late = ctl.RunEditor({ "delete", "shop", "--expect", "1" });
  cr_expect_eq(late.code, ExitCode::Conflict);
  cr_expect(late.ErrorContains(fmt::format("--expect {}", revision)) &&
              late.ErrorContains("\"rate\":2"),
            "%s",
            late.error.c_str());
  cr_expect(ctl.store.get("catalogue/shop").has_value());
  cr_expect_eq(ctl.RunEditor({ "delete", "shop", "--expect", "2" }).code,
               ExitCode::Ok);
  cr_expect_eq(ctl.RunEditor({ "delete", "shop", "--force" }).code,
               ExitCode::NotFound);
}

// An entry that is not JSON or has fields of the wrong type must not keep the
// other entries out of the list.
Test(catalogueeditor, ListsEntriesThatAreNotValid)
{
  const CtlHarness ctl;
  ctl.PutObject("catalogue/shop", OwnerEntry(1));
  ctl.PutObject("catalogue/text", "no JSON");
  ctl.PutObject("catalogue/types", R"({"kind":5,"owner":[]})");
  const CtlRun list = ctl.RunEditor({ "list", "--json" });
  cr_expect_eq(list.code, ExitCode::Ok);
  const auto rows = nlohmann::json::parse(list.out);
  cr_assert_eq(rows.size(), 3U);
  cr_expect_eq(rows[0]["owner"], "shop");
  cr_expect_eq(rows[1]["kind"], "?");
  cr_expect_eq(rows[2]["kind"], "-");
  const CtlRun get = ctl.RunEditor({ "get", "text" });
  cr_expect_eq(get.code, ExitCode::Ok);
  cr_expect_eq(get.out, "no JSON\n");
  cr_expect_eq(ctl.RunEditor({ "get", "none" }).code, ExitCode::NotFound);
}

// check and put must refuse an entry that daemons would reject, and put must
// refuse it before it writes any entry.
Test(catalogueeditor, RefusesInvalidEntriesBeforeWriting)
{
  const CtlHarness ctl;
  const std::string good = ctl.WriteFile("good.json", OwnerEntry(1));
  const std::string bad = ctl.WriteFile("bad.json", OwnerEntry(-1));
  cr_expect_eq(ctl.RunEditor({ "check", "a", good }).code, ExitCode::Ok);
  const CtlRun check = ctl.RunEditor({ "check", "a", good, "b", bad });
  cr_expect_eq(check.code, ExitCode::Rejected);
  cr_expect(
    check.ErrorContains("b: bad-field: limits.rate is -1; allowed is 0 to"),
    "%s",
    check.error.c_str());
  cr_expect_eq(ctl.RunEditor({ "put", "a", good, "b", bad }).code,
               ExitCode::Rejected);
  cr_expect_eq(ctl.platform.Calls("put"), 0);
  cr_expect_eq(ctl.RunEditor({ "check", "a", "/no/such/file" }).code,
               ExitCode::Usage);
}
