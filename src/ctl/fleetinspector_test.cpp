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
MakeWaitArguments(int aTimeout)
{
  std::vector<std::string> arguments = kWait;
  arguments.insert(arguments.end(), { "--timeout", std::to_string(aTimeout) });
  return arguments;
}

/** Answers for two daemons, each of which has the entry at its revision. */
DaemonClient::Reader
MakeReaderForTwoDaemons(std::int64_t aFirst, std::int64_t aSecond)
{
  return [=](const std::string& aUrl) -> Result<Json, DaemonError> {
    const bool isFirst = aUrl.starts_with("http://127.85.0.1:1/");
    return success(Json{ { "revision", isFirst ? aFirst : aSecond },
                         { "version", isFirst ? aFirst : aSecond },
                         { "ready", true } });
  };
}

std::string
MakeRejection(std::int64_t aRevision)
{
  return Json{
    { "entry", "shop" },
    { "revision", aRevision },
    { "code", "duplicate-match" },
    { "reason", "both limit the owner 's'" }
  }.dump();
}

} // namespace

// wait must not report success while one of the daemons lacks the entry.
Test(fleetinspector, WaitEndsWhenEveryDaemonHasTheEntry)
{
  const CtlHarness ctl;
  ctl.PutObject("catalogue/shop", kEntry);
  cr_expect_eq(
    ctl.RunInspector(MakeWaitArguments(20000), MakeReaderForTwoDaemons(1, 1))
      .code,
    ExitCode::Ok);
  const CtlRun late =
    ctl.RunInspector(MakeWaitArguments(0), MakeReaderForTwoDaemons(1, 0));
  cr_expect_eq(late.code, ExitCode::TimedOut);
  cr_expect(
    late.ErrorContains("127.85.0.2:1: not yet in force: does not hold the"),
    "%s",
    late.error.c_str());
  cr_expect(!late.ErrorContains("127.85.0.1:1"));
}

// When the acceptor has rejected the revision, wait must end before its timeout
// and print the reason.
Test(fleetinspector, WaitReportsARejection)
{
  const CtlHarness ctl;
  const std::int64_t revision = ctl.PutObject("catalogue/shop", kEntry);
  ctl.PutObject("status/shop/acceptance", MakeRejection(revision));
  const CtlRun run =
    ctl.RunInspector(MakeWaitArguments(60000), MakeReaderForTwoDaemons(0, 0));
  cr_expect_eq(run.code, ExitCode::Rejected);
  cr_expect(
    run.ErrorContains("both limit the owner 's'"), "%s", run.error.c_str());
}

// The stored rejection may belong to an older revision of the entry, which wait
// must not report.
Test(fleetinspector, WaitIgnoresTheRejectionOfAnotherRevision)
{
  const CtlHarness ctl;
  const std::int64_t revision = ctl.PutObject("catalogue/shop", kEntry);
  ctl.PutObject("status/shop/acceptance", MakeRejection(revision - 1));
  cr_expect_eq(
    ctl.RunInspector(MakeWaitArguments(0), MakeReaderForTwoDaemons(0, 0)).code,
    ExitCode::TimedOut);
}

// Revisions alone do not show that a daemon has the text. When the same text is
// written again, the daemon keeps the revision at which it was accepted. After
// the store is restored from a backup, a daemon may have another text at the
// same or a higher revision.
Test(fleetinspector, WaitComparesTheText)
{
  const CtlHarness ctl;
  ctl.PutObject("catalogue/shop", kEntry);
  ctl.PutObject("catalogue/shop", kEntry);
  const auto makeReader = [](const std::string& aText, std::int64_t aRevision) {
    return [=](const std::string&) -> Result<Json, DaemonError> {
      return success(
        Json{ { "revision", aRevision }, { "textHash", Hash64(aText) } });
    };
  };
  cr_expect_eq(
    ctl.RunInspector(MakeWaitArguments(0), makeReader(kEntry, 1)).code,
    ExitCode::Ok);
  const CtlRun other =
    ctl.RunInspector(MakeWaitArguments(0), makeReader("other", 2));
  cr_expect_eq(other.code, ExitCode::TimedOut);
  cr_expect(
    other.ErrorContains("holds another text"), "%s", other.error.c_str());
}

// An entry is rejected until the rest of its change set is written. wait must
// not report this temporary rejection as final.
Test(fleetinspector, WaitIgnoresATemporaryRejection)
{
  const CtlHarness ctl;
  const std::int64_t revision = ctl.PutObject("catalogue/shop", kEntry);
  ctl.PutObject("status/shop/acceptance", MakeRejection(revision));
  std::atomic<int> polls = 0;
  const CtlRun run = ctl.RunInspector(
    MakeWaitArguments(20000),
    [&](const std::string&) -> Result<Json, DaemonError> {
      constexpr int kPollsUntilAccepted = 4;
      const bool isAccepted = ++polls > kPollsUntilAccepted;
      return success(Json{ { "revision", isAccepted ? revision : 0 } });
    });
  cr_expect_eq(run.code, ExitCode::Ok, "%s", run.error.c_str());
}

// If another operator replaces the entry while wait runs, wait must report a
// conflict.
Test(fleetinspector, WaitReportsALaterEdit)
{
  const CtlHarness ctl;
  ctl.PutObject("catalogue/shop", kEntry);
  std::atomic<bool> isEdited = false;
  const CtlRun run =
    ctl.RunInspector(MakeWaitArguments(20000),
                     [&](const std::string&) -> Result<Json, DaemonError> {
                       if (!isEdited.exchange(true)) {
                         ctl.PutObject("catalogue/shop", kEntry + " ");
                       }
                       return success(Json{ { "revision", 0 } });
                     });
  cr_expect_eq(run.code, ExitCode::Conflict);
  cr_expect(
    run.ErrorContains("revision 2 instead of 1"), "%s", run.error.c_str());
}

// The conflict must also be reported if the daemons already have the later
// text.
Test(fleetinspector, WaitReportsALaterEditInForce)
{
  const CtlHarness ctl;
  ctl.PutObject("catalogue/shop", kEntry);
  const CtlRun run = ctl.RunInspector(
    MakeWaitArguments(20000),
    [&](const std::string&) -> Result<Json, DaemonError> {
      return success(
        Json{ { "revision", ctl.PutObject("catalogue/shop", kEntry + " ") } });
    });
  cr_expect_eq(run.code, ExitCode::Conflict, "%s", run.out.c_str());
}

// wait must fail at once if the entry does not exist in the platform.
Test(fleetinspector, WaitReportsAMissingEntry)
{
  const CtlHarness ctl;
  cr_expect_eq(ctl.RunInspector(kWait, MakeReaderForTwoDaemons(1, 1)).code,
               ExitCode::NotFound);
}

// A daemon that has the version but is not ready does not serve calls yet.
Test(fleetinspector, WaitForAVersionNeedsReadyDaemons)
{
  const CtlHarness ctl;
  const std::vector<std::string> arguments{
    "wait", "--version", "5", "--daemon", "127.85.0.1:1", "--timeout", "0"
  };
  cr_expect_eq(ctl.RunInspector(arguments, MakeReaderForTwoDaemons(5, 5)).code,
               ExitCode::Ok);
  cr_expect_eq(ctl.RunInspector(arguments, MakeReaderForTwoDaemons(4, 4)).code,
               ExitCode::TimedOut);
  const CtlRun starting = ctl.RunInspector(
    arguments, [](const std::string&) -> Result<Json, DaemonError> {
      return success(Json{ { "version", 5 }, { "ready", false } });
    });
  cr_expect_eq(starting.code, ExitCode::TimedOut);
  cr_expect(starting.ErrorContains("holds version 5, not ready"));
}

// status must print the state of the other daemons if one is unreachable.
Test(fleetinspector, StatusContinuesAfterAnUnreachableDaemon)
{
  const CtlHarness ctl;
  const CtlRun run = ctl.RunInspector(
    { "status", "--daemon", "127.85.0.1:1", "--daemon", "127.85.0.2:1" },
    [](const std::string& aUrl) -> Result<Json, DaemonError> {
      if (aUrl.starts_with("http://127.85.0.1:1/")) {
        return failure(DaemonError{ "connection refused" });
      }
      return success(Json{ { "host", "host-2" }, { "version", "odd" } });
    });
  cr_expect_eq(run.code, ExitCode::PlatformFailed);
  cr_expect(run.ErrorContains("127.85.0.1:1: connection refused; check that"));
  cr_expect(run.out.starts_with("host-2"), "%s", run.out.c_str());
}

// usage must name the accountants, and must tell a team without a cap from a
// daemon that does not answer.
Test(fleetinspector, UsageShowsCountsAndAccountants)
{
  const CtlHarness ctl;
  const auto reader = [](const std::string& aUrl) -> Result<Json, DaemonError> {
    if (aUrl == "http://127.85.0.1:1/v1/entries/pulo") {
      return success(Json{ { "usage",
                             { { "rate", 40 },
                               { "refused", 3 },
                               { "accountants", { "h1", "h2" } } } } });
    }
    if (aUrl.starts_with("http://127.85.0.2:1/")) {
      return success(Json::object());
    }
    return failure(DaemonError{ "connection refused" });
  };
  const CtlRun run = ctl.RunInspector({ "--daemon",
                                        "127.85.0.1:1",
                                        "--daemon",
                                        "127.85.0.2:1",
                                        "--daemon",
                                        "127.85.0.3:1",
                                        "usage",
                                        "pulo" },
                                      reader);
  cr_expect_eq(run.code, ExitCode::PlatformFailed);
  for (const char* text : { "rate 40", "refused 3", "h1,h2", "no cap" }) {
    cr_expect(run.out.find(text) != std::string::npos,
              "%s in %s",
              text,
              run.out.c_str());
  }
  cr_expect(run.ErrorContains("127.85.0.3:1: connection refused"));
}

// explain must name the owner and the limit that was reached, and must report
// status objects that are not readable.
Test(fleetinspector, ExplainNamesOwnerAndLimit)
{
  const CtlHarness ctl;
  ctl.PutObject("status/shop/acceptance", MakeRejection(1));
  ctl.PutObject("status/shop/gent",
                R"({"entry":"shop","owner":"tills","domain":"gent","hosts":2,)"
                R"("calls":10,"refused":4,"slow":0,"unknown":0,"p50_us":1000,)"
                R"("p99_us":2000,"limit":"entry-rate","bound":5,"seen":9,)"
                R"("since_ms":1000,"updated_ms":2000,"callers":["10.0.0.1"]})");
  ctl.PutObject("status/shop/brugge", "no JSON");
  const CtlRun run =
    ctl.RunInspector({ "explain", "shop" }, MakeReaderForTwoDaemons(0, 0));
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

// explain must show the policy of a team and its calls at all daemons, and must
// say if a daemon is missing in the sum. The store of a site is not needed.
Test(fleetinspector, ExplainShowsATeam)
{
  const CtlHarness ctl;
  const auto read = [](const std::string& aUrl) -> Result<Json, DaemonError> {
    if (aUrl.starts_with("http://127.85.0.3:1/")) {
      return failure(DaemonError{ "connection refused" });
    }
    if (!aUrl.ends_with("/v1/teams/tills")) {
      return success(Json::object());
    }
    return success(Json{ { "team", "tills" },
                         { "version", 5 },
                         { "keys", 2 },
                         { "class", "" },
                         { "rate", 0 },
                         { "usage",
                           { { "calls", 3 },
                             { "done", 2 },
                             { "refused", 1 },
                             { "refusals", { { "queue-full", 1 } } } } } });
  };
  const std::vector<std::string> daemons = {
    "--daemon", "127.85.0.1:1", "--daemon", "127.85.0.2:1"
  };
  const auto explain = [&](const char* aTeam,
                           std::vector<std::string> aArguments) {
    aArguments.insert(aArguments.begin(), { "explain", aTeam });
    return ctl.RunInspector(aArguments, read);
  };
  const CtlRun run = explain("tills", daemons);
  cr_expect_eq(run.code, ExitCode::Ok);
  cr_expect_eq(run.out,
               "team tills: 2 keys, class of the route, no cap\n"
               "version 5, reported by 2 daemons\n"
               "6 calls: 4 done, 2 refused, 0 unknown\n"
               "  refused queue-full: 2\n");
  const CtlRun partial =
    explain("tills", { daemons[0], daemons[1], "--daemon", "127.85.0.3:1" });
  cr_expect_eq(partial.code, ExitCode::PlatformFailed);
  cr_expect(partial.ErrorContains("its calls are missing"));
  cr_expect(partial.out.starts_with("team tills"));
  const CtlRun other = explain("others", daemons);
  cr_expect_eq(other.code, ExitCode::Ok);
  cr_expect(other.out.starts_with("entry others"), "%s", other.out.c_str());
  cr_expect(
    ParseCtl({ "explain", "tills", "--daemon", "127.85.0.1:1" }).has_value());
}
