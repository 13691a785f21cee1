#include "common/hash.h"
#include "ctl/ctlharness.h"

#include <nlohmann/json.hpp>

#include <atomic>

using namespace lacewingwharf;

namespace {

using Json = nlohmann::json;

const std::string kEntry = R"({"kind":"owner","owner":"s","limits":{}})";

const std::vector<std::string> kWait{
  "wait", "shop", "--daemon", "127.85.0.1:1", "--daemon", "127.85.0.2:1"
};

std::vector<std::string>
WaitFor(int aTimeout)
{
  std::vector<std::string> arguments = kWait;
  arguments.insert(arguments.end(), { "--timeout", std::to_string(aTimeout) });
  return arguments;
}

/** Daemons that hold the entry at one revision each, by address. */
DaemonClient::Reader
Holding(std::int64_t aFirst, std::int64_t aSecond)
{
  return [=](const std::string& aUrl) -> Result<Json, DaemonError> {
    const bool isFirst = aUrl.starts_with("http://127.85.0.1:1/");
    return success(Json{ { "revision", isFirst ? aFirst : aSecond },
                         { "version", isFirst ? aFirst : aSecond },
                         { "ready", true } });
  };
}

std::string
Rejection(std::int64_t aRevision)
{
  return Json{
    { "entry", "shop" },
    { "revision", aRevision },
    { "code", "duplicate-match" },
    { "reason", "both limit the owner 's'" }
  }.dump();
}

} // namespace

// Guards against success while one of the daemons is behind.
Test(fleetinspector, WaitEndsWhenEveryDaemonHasTheEntry)
{
  const CtlHarness ctl;
  ctl.Put("catalogue/shop", kEntry);
  cr_expect_eq(ctl.Inspect(WaitFor(20000), Holding(1, 1)).code, ExitCode::Ok);
  const CtlRun late = ctl.Inspect(WaitFor(0), Holding(1, 0));
  cr_expect_eq(late.code, ExitCode::TimedOut);
  cr_expect(late.Says("127.85.0.2:1: not yet in force: does not hold the"),
            "%s",
            late.error.c_str());
  cr_expect(!late.Says("127.85.0.1:1"));
}

// Guards against waiting for the time limit when the acceptor has refused.
Test(fleetinspector, WaitReportsARejection)
{
  const CtlHarness ctl;
  const std::int64_t revision = ctl.Put("catalogue/shop", kEntry);
  ctl.Put("status/shop/acceptance", Rejection(revision));
  const CtlRun run = ctl.Inspect(WaitFor(60000), Holding(0, 0));
  cr_expect_eq(run.code, ExitCode::Rejected);
  cr_expect(run.Says("both limit the owner 's'"), "%s", run.error.c_str());
}

// Guards against taking the rejection of an older revision for this one's.
Test(fleetinspector, WaitIgnoresTheRejectionOfAnotherRevision)
{
  const CtlHarness ctl;
  const std::int64_t revision = ctl.Put("catalogue/shop", kEntry);
  ctl.Put("status/shop/acceptance", Rejection(revision - 1));
  cr_expect_eq(ctl.Inspect(WaitFor(0), Holding(0, 0)).code, ExitCode::TimedOut);
}

// Guards against going by revisions: a text that is written again keeps the
// revision of its acceptance, and a restored store has older texts at
// revisions that daemons seem to have reached.
Test(fleetinspector, WaitComparesTheText)
{
  const CtlHarness ctl;
  ctl.Put("catalogue/shop", kEntry);
  ctl.Put("catalogue/shop", kEntry);
  const auto holding = [](const std::string& aText, std::int64_t aRevision) {
    return [=](const std::string&) -> Result<Json, DaemonError> {
      return success(
        Json{ { "revision", aRevision }, { "textHash", Hash64(aText) } });
    };
  };
  cr_expect_eq(ctl.Inspect(WaitFor(0), holding(kEntry, 1)).code, ExitCode::Ok);
  const CtlRun other = ctl.Inspect(WaitFor(0), holding("other", 2));
  cr_expect_eq(other.code, ExitCode::TimedOut);
  cr_expect(other.Says("holds another text"), "%s", other.error.c_str());
}

// Guards against a final verdict on an entry that is only rejected until the
// rest of its change set has been written.
Test(fleetinspector, WaitOutlastsAMomentaryRejection)
{
  const CtlHarness ctl;
  const std::int64_t revision = ctl.Put("catalogue/shop", kEntry);
  ctl.Put("status/shop/acceptance", Rejection(revision));
  std::atomic<int> polls = 0;
  const CtlRun run = ctl.Inspect(
    WaitFor(20000), [&](const std::string&) -> Result<Json, DaemonError> {
      constexpr int kPollsUntilAccepted = 4;
      const bool isAccepted = ++polls > kPollsUntilAccepted;
      return success(Json{ { "revision", isAccepted ? revision : 0 } });
    });
  cr_expect_eq(run.code, ExitCode::Ok, "%s", run.error.c_str());
}

// Guards against "in force" for a text that another operator has replaced.
Test(fleetinspector, WaitNoticesALaterEdit)
{
  const CtlHarness ctl;
  ctl.Put("catalogue/shop", kEntry);
  std::atomic<bool> isEdited = false;
  const CtlRun run = ctl.Inspect(
    WaitFor(20000), [&](const std::string&) -> Result<Json, DaemonError> {
      if (!isEdited.exchange(true)) {
        ctl.Put("catalogue/shop", kEntry + " ");
      }
      return success(Json{ { "revision", 0 } });
    });
  cr_expect_eq(run.code, ExitCode::Conflict);
  cr_expect(run.Says("revision 2 instead of 1"), "%s", run.error.c_str());
}

// Guards against the same when the daemons have the later text already.
Test(fleetinspector, WaitNoticesALaterEditInForce)
{
  const CtlHarness ctl;
  ctl.Put("catalogue/shop", kEntry);
  const CtlRun run = ctl.Inspect(
    WaitFor(20000), [&](const std::string&) -> Result<Json, DaemonError> {
      return success(
        Json{ { "revision", ctl.Put("catalogue/shop", kEntry + " ") } });
    });
  cr_expect_eq(run.code, ExitCode::Conflict, "%s", run.out.c_str());
}

// Guards against a wait for an entry that is not there.
Test(fleetinspector, WaitReportsAMissingEntry)
{
  const CtlHarness ctl;
  cr_expect_eq(ctl.Inspect(kWait, Holding(1, 1)).code, ExitCode::NotFound);
}

// Guards against counting a daemon that holds a version and does not serve.
Test(fleetinspector, WaitForAVersionNeedsReadyDaemons)
{
  const CtlHarness ctl;
  const std::vector<std::string> arguments{
    "wait", "--version", "5", "--daemon", "127.85.0.1:1", "--timeout", "0"
  };
  cr_expect_eq(ctl.Inspect(arguments, Holding(5, 5)).code, ExitCode::Ok);
  cr_expect_eq(ctl.Inspect(arguments, Holding(4, 4)).code, ExitCode::TimedOut);
  const CtlRun starting =
    ctl.Inspect(arguments, [](const std::string&) -> Result<Json, DaemonError> {
      return success(Json{ { "version", 5 }, { "ready", false } });
    });
  cr_expect_eq(starting.code, ExitCode::TimedOut);
  cr_expect(starting.Says("holds version 5, not ready"));
}

// Guards against one dead daemon that hides the state of the others.
Test(fleetinspector, StatusGoesOnAfterADeadDaemon)
{
  const CtlHarness ctl;
  const CtlRun run = ctl.Inspect(
    { "status", "--daemon", "127.85.0.1:1", "--daemon", "127.85.0.2:1" },
    [](const std::string& aUrl) -> Result<Json, DaemonError> {
      if (aUrl.starts_with("http://127.85.0.1:1/")) {
        return failure(DaemonError{ "connection refused" });
      }
      return success(Json{ { "host", "host-2" }, { "version", "odd" } });
    });
  cr_expect_eq(run.code, ExitCode::PlatformFailed);
  cr_expect(run.Says("127.85.0.1:1: connection refused; check that"));
  cr_expect(run.out.starts_with("host-2"), "%s", run.out.c_str());
}

// Guards against an explanation that leaves out whose limit was met.
Test(fleetinspector, ExplainNamesOwnerAndLimit)
{
  const CtlHarness ctl;
  ctl.Put("status/shop/acceptance", Rejection(1));
  ctl.Put("status/shop/gent",
          R"({"entry":"shop","owner":"tills","domain":"gent","hosts":2,)"
          R"("calls":10,"refused":4,"slow":0,"unknown":0,"p50_us":1000,)"
          R"("p99_us":2000,"limit":"entry-rate","bound":5,"seen":9,)"
          R"("since_ms":1000,"updated_ms":2000,"callers":["10.0.0.1"]})");
  ctl.Put("status/shop/brugge", "no JSON");
  const CtlRun run = ctl.Inspect({ "explain", "shop" }, Holding(0, 0));
  cr_expect_eq(run.code, ExitCode::Ok);
  for (const char* text : { "owner tills",
                            "last edit not accepted: both limit the owner",
                            "not readable: status/shop/brugge",
                            "4 of 10 calls refused",
                            "limit entry-rate: bound 5, seen 9, 80% over" }) {
    cr_expect(run.out.find(text) != std::string::npos,
              "%s in %s",
              text,
              run.out.c_str());
  }
}
