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

// Guards against a put that replaces an entry its author has not seen.
Test(catalogueeditor, PutWithoutConditionOnlyCreates)
{
  const CtlHarness ctl;
  const std::string file = ctl.File("a.json", OwnerEntry(1));
  cr_expect_eq(ctl.Edit({ "put", "shop", file }).code, ExitCode::Ok);
  const std::string other = ctl.File("b.json", OwnerEntry(2));
  const CtlRun second = ctl.Edit({ "put", "shop", other });
  cr_expect_eq(second.code, ExitCode::Conflict);
  cr_expect(second.Says("--expect 1"), "%s", second.error.c_str());
  cr_expect_eq(ctl.store.get("catalogue/shop").value().value, OwnerEntry(1));
  cr_expect_eq(ctl.Edit({ "put", "shop", other, "--expect", "1" }).code,
               ExitCode::Ok);
}

// Guards against two operators who both believe that their edit stands.
Test(catalogueeditor, OneOfTwoRacingOperatorsWins)
{
  const CtlHarness ctl;
  constexpr int kRounds = 10;
  std::int64_t revision = ctl.Put("catalogue/shop", OwnerEntry(1));
  for (int round = 0; round < kRounds; ++round) {
    std::array<CtlRun, 2> runs;
    std::array<std::thread, 2> operators;
    for (int i = 0; i < 2; ++i) {
      const std::string text = OwnerEntry(10 * round + i + 2);
      const CtlOptions options =
        ctl.Options({ "put",
                      "shop",
                      ctl.File(fmt::format("{}.json", i), text),
                      "--expect",
                      std::to_string(revision) });
      operators[i] = std::thread([&runs, i, options, store = ctl.NewStore()] {
        runs[i] = CtlHarness::Edit(store, options);
      });
    }
    std::ranges::for_each(operators, [](std::thread& aRun) { aRun.join(); });
    const int winner = runs[0].code == ExitCode::Ok ? 0 : 1;
    const CtlRun& loser = runs[1 - winner];
    cr_assert_eq(runs[winner].code, ExitCode::Ok);
    cr_assert_eq(loser.code, ExitCode::Conflict);
    const auto present = ctl.store.get("catalogue/shop").value();
    cr_assert_eq(present.value, OwnerEntry(10 * round + winner + 2));
    const std::string changed =
      fmt::format("/limits/rate = {}", 10 * round + winner + 2);
    cr_assert(loser.Says(changed), "%s", loser.error.c_str());
    revision = present.revision;
  }
}

// Guards against a failure report for a write that took effect, and against
// sending it twice.
Test(catalogueeditor, ReadsBackAfterALostAnswer)
{
  const CtlHarness ctl;
  const std::string file = ctl.File("a.json", OwnerEntry(1));
  cr_assert(ctl.platform.Switch(R"({"drop_answer_after_write":1})"));
  const CtlRun put = ctl.Edit({ "put", "shop", file, "--json" });
  cr_expect_eq(put.code, ExitCode::Ok, "%s", put.error.c_str());
  const auto printed = nlohmann::json::parse(put.out, nullptr, false);
  cr_expect(
    printed.is_object() && printed["revision"] == 1, "%s", put.out.c_str());
  cr_expect_eq(ctl.platform.Calls("put"), 1);
  cr_assert(ctl.platform.Switch(R"({"drop_answer_after_write":1})"));
  const CtlRun removed = ctl.Edit({ "delete", "shop", "--expect", "1" });
  cr_expect_eq(removed.code, ExitCode::Ok, "%s", removed.error.c_str());
}

// Guards against an operator who takes an edit for written, or for refused,
// while the platform is down.
Test(catalogueeditor, SaysWhatToDoWhenThePlatformIsDown)
{
  const CtlHarness ctl;
  const std::string file = ctl.File("a.json", OwnerEntry(1));
  cr_assert(ctl.platform.Switch(R"({"down":true})"));
  const CtlRun put = ctl.Edit({ "put", "shop", file });
  cr_expect_eq(put.code, ExitCode::PlatformFailed);
  cr_expect(
    put.Says("get the entry before trying again"), "%s", put.error.c_str());
}

// Guards against change sets whose size or condition is wrong for one entry.
Test(catalogueeditor, WritesChangeSets)
{
  const CtlHarness ctl;
  ctl.Put("catalogue/a", OwnerEntry(1));
  const std::string file = ctl.File("a.json", OwnerEntry(2));
  const CtlRun put = ctl.Edit(
    { "put", "a", file, "b", file, "--change", "c1", "--expect", "a=1" });
  cr_expect_eq(put.code, ExitCode::Ok, "%s", put.error.c_str());
  for (const char* name : { "catalogue/a", "catalogue/b" }) {
    const auto entry = nlohmann::json::parse(ctl.store.get(name).value().value);
    cr_expect_eq(entry.at("change").at("id"), "c1");
    cr_expect_eq(entry.at("change").at("size"), 2);
  }
  const CtlRun partial =
    ctl.Edit({ "put", "c", file, "b", file, "--change", "c2" });
  cr_expect_eq(partial.code, ExitCode::Conflict);
  cr_expect(partial.Says("1 of 2 entries are written") &&
              partial.Says("'c2' is not accepted"),
            "%s",
            partial.error.c_str());
}

// Guards against removing an entry that somebody has just changed.
Test(catalogueeditor, DeleteIsConditional)
{
  const CtlHarness ctl;
  ctl.Put("catalogue/shop", OwnerEntry(1));
  const std::int64_t revision = ctl.Put("catalogue/shop", OwnerEntry(2));
  cr_expect_eq(ctl.Edit({ "delete", "shop" }).code, ExitCode::Usage);
  const CtlRun late = ctl.Edit({ "delete", "shop", "--expect", "1" });
  cr_expect_eq(late.code, ExitCode::Conflict);
  cr_expect(late.Says(fmt::format("--expect {}", revision)) &&
              late.Says("\"rate\":2"),
            "%s",
            late.error.c_str());
  cr_expect(ctl.store.get("catalogue/shop").has_value());
  cr_expect_eq(ctl.Edit({ "delete", "shop", "--expect", "2" }).code,
               ExitCode::Ok);
  cr_expect_eq(ctl.Edit({ "delete", "shop", "--force" }).code,
               ExitCode::NotFound);
}

// Guards against one unreadable entry that hides all others.
Test(catalogueeditor, ListsEntriesThatAreNotValid)
{
  const CtlHarness ctl;
  ctl.Put("catalogue/shop", OwnerEntry(1));
  ctl.Put("catalogue/text", "no JSON");
  ctl.Put("catalogue/types", R"({"kind":5,"owner":[]})");
  const CtlRun list = ctl.Edit({ "list", "--json" });
  cr_expect_eq(list.code, ExitCode::Ok);
  const auto rows = nlohmann::json::parse(list.out);
  cr_assert_eq(rows.size(), 3U);
  cr_expect_eq(rows[0]["owner"], "shop");
  cr_expect_eq(rows[1]["kind"], "?");
  cr_expect_eq(rows[2]["kind"], "-");
  const CtlRun get = ctl.Edit({ "get", "text" });
  cr_expect_eq(get.code, ExitCode::Ok);
  cr_expect_eq(get.out, "no JSON\n");
  cr_expect_eq(ctl.Edit({ "get", "none" }).code, ExitCode::NotFound);
}

// Guards against check and put that let an entry through which no daemon
// accepts.
Test(catalogueeditor, RefusesInvalidEntriesBeforeWriting)
{
  const CtlHarness ctl;
  const std::string good = ctl.File("good.json", OwnerEntry(1));
  const std::string bad = ctl.File("bad.json", OwnerEntry(-1));
  cr_expect_eq(ctl.Edit({ "check", "a", good }).code, ExitCode::Ok);
  const CtlRun check = ctl.Edit({ "check", "a", good, "b", bad });
  cr_expect_eq(check.code, ExitCode::Rejected);
  cr_expect(check.Says("b: bad-field: limits.rate is -1; allowed is 0 to"),
            "%s",
            check.error.c_str());
  cr_expect_eq(ctl.Edit({ "put", "a", good, "b", bad }).code,
               ExitCode::Rejected);
  cr_expect_eq(ctl.platform.Calls("put"), 0);
  cr_expect_eq(ctl.Edit({ "check", "a", "/no/such/file" }).code,
               ExitCode::Usage);
}
