// Calls where statuses are promises and servers mark their answers.

#include "common/log.h"
#include "execution/callrequest.h"
#include "execution/destinationcalls.h"
#include "execution/entryharness.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace lacewingwharf;
using namespace lacewingwharf::testing;

namespace {

CallDialect
SiteDialect()
{
  CallDialect dialect;
  dialect.deadlineHeader = "Deadline";
  dialect.requestIdHeader = "Id";
  dialect.callerServiceHeader = "From";
  dialect.serverIdHeader = "Expect-Server";
  dialect.notExecutedHeader = "Not-Run";
  dialect.signatureHeader = "Signature";
  dialect.otherServerStatus = 421;
  dialect.forwardsHost = true;
  dialect.addsOwnHeaders = false;
  dialect.allowsFractionalRetryAfter = true;
  dialect.statusGuaranteesNotRun = true;
  return dialect;
}

EntryCallsConfig
SiteConfig()
{
  EntryCallsConfig config;
  config.host = "host-a";
  config.incarnation = 1;
  config.dialect = SiteDialect();
  config.service = "own-service";
  config.retriesServerErrors = true;
  config.retriesCapacityRefusals = true;
  return config;
}

/** An entry daemon of a site. */
struct EntryDaemon : EntryHarness
{
  explicit EntryDaemon(std::size_t aServers = 3)
    : EntryHarness(SiteConfig(), aServers, kDeadline)
  {
    Log::SetLevel(LogLevel::Error);
  }

  /** Answers the latest attempt. */
  void Answer(wire::CallOutcome::type aOutcome,
              const std::string& aText,
              int aStatus = 200)
  {
    this->EntryHarness::Answer(
      this->LastRequest().callId, aOutcome, aText, aStatus);
  }
};

/** The answer of a destination daemon to what a server answered. */
wire::CallAnswer
Judged(int aStatus, const HttpHeaders& aHeaders)
{
  Log::SetLevel(LogLevel::Error);
  std::vector<wire::CallAnswer> answers;
  DestinationCallsConfig config;
  config.host = "host-a";
  config.dialect = SiteDialect();
  DestinationCallsHooks hooks;
  hooks.answer = [&](SessionId, const wire::CallAnswer& aAnswer) {
    answers.push_back(aAnswer);
  };
  hooks.submit = [](const HttpExchange&) { return true; };
  hooks.isQuarantined = [](std::uint64_t) { return false; };
  hooks.isListening = [](int) { return true; };
  const ManualClock clock(1000);
  DestinationCalls calls(config, clock.View(), std::move(hooks));
  calls.SetConfiguration(CatalogueWith({}, {}), ViewOf({ { "host-a", 1 } }));
  calls.GetAdmission().SetEndpoint(
    kService, kPort, 1, 10, EndpointState::Ready);
  wire::CallRequest request;
  request.callId = "call";
  request.entry = "tills";
  request.serviceName = kService;
  request.port = kPort;
  request.remainingMillis = 1000;
  calls.HandleRequest(1, request);
  ExchangeResult result;
  result.id = "call";
  result.end = ExchangeEnd::Answered;
  result.answer.status = aStatus;
  result.answer.headers = aHeaders;
  calls.HandleExchange(result);
  cr_assert_eq(answers.size(), 1U);
  return answers.front();
}

} // namespace

// Guards against a promise that a request was not run, given for one that may
// have been, and against a failure without a promise for one that was not.
Test(sitecalls, statuses_promise_what_is_true)
{
  const CallDialect dialect = SiteDialect();
  const auto status = [&](RefusalReason aReason, bool aMayHaveRun) {
    return StatusFor(dialect, aReason, aMayHaveRun);
  };
  for (const auto& [reason, name] : kRefusalReasonNames.Rows()) {
    const int promised = status(reason, false);
    const int open = status(reason, true);
    cr_expect(promised != 502 && promised != 504, "%d", promised);
    cr_expect(open != 503 && open != 429, "%d", open);
  }
  cr_expect_eq(status(RefusalReason::NoRoute, false), 404);
  cr_expect_eq(status(RefusalReason::NoConfiguration, false), 503);
  cr_expect_eq(status(RefusalReason::DeadlinePassed, true), 504);
  cr_expect_eq(StatusFor({}, RefusalReason::DeadlinePassed, false), 504);
}

// Guards against 503 after a first attempt that may have run.
Test(sitecalls, a_refusal_after_a_lost_attempt_is_no_promise)
{
  EntryDaemon entry(2);
  entry.Begin(1, "GET");
  entry.calls->HandleSessionLost(entry.sent.back().first, true, {});
  entry.Answer(wire::CallOutcome::NOT_RUN, "draining");
  cr_assert(entry.answers.contains(1));
  cr_expect_eq(entry.answers[1].status, 502);
}

// Guards against a refusal without a time to come back, and one in whole
// seconds, which is longer than most callers wait.
Test(sitecalls, a_refusal_tells_when_to_come_back)
{
  EntryDaemon entry(1);
  entry.Begin(1, "POST");
  wire::CallAnswer answer;
  answer.callId = entry.LastRequest().callId;
  answer.outcome = wire::CallOutcome::NOT_RUN;
  answer.reason = "queue-wait";
  answer.retryAfterMillis = 120;
  entry.calls->HandleAnswer(answer);
  cr_expect_eq(entry.answers[1].status, 503);
  cr_expect_eq(entry.answers[1].headers.at("Retry-After"), "0.120");
  cr_expect_not(entry.answers[1].headers.contains(kOutcomeHeader));
}

// Guards against an answer that is lost because a later attempt did no better.
Test(sitecalls, a_servers_failure_is_delivered_when_nothing_better_comes)
{
  EntryDaemon entry(2);
  entry.Begin(1, "GET");
  entry.Answer(wire::CallOutcome::DONE, "first", 500);
  cr_expect_eq(entry.sent.size(), 2U);
  entry.Answer(wire::CallOutcome::NOT_RUN, "queue-full");
  cr_assert(entry.answers.contains(1));
  cr_expect_eq(entry.answers[1].status, 500);
  cr_expect_eq(entry.answers[1].body, "first");
}

// Guards against a second run of work that must not be repeated.
Test(sitecalls, a_failure_of_unsafe_work_is_not_tried_again)
{
  EntryDaemon entry;
  entry.Begin(1, "POST");
  entry.Answer(wire::CallOutcome::DONE, "failed", 500);
  cr_expect_eq(entry.sent.size(), 1U);
  cr_expect_eq(entry.answers[1].status, 500);
}

// Guards against more servers for one request than its route allows; attempts
// that no server was handed do not count.
Test(sitecalls, only_attempts_that_reach_a_server_count)
{
  EntryDaemon entry(5);
  entry.Begin(1, "GET");
  entry.Answer(wire::CallOutcome::NOT_RUN, "queue-full");
  entry.Answer(wire::CallOutcome::NOT_RUN, "draining");
  entry.Answer(wire::CallOutcome::NOT_RUN, "server-refused");
  cr_assert_eq(entry.sent.size(), 4U);
  entry.Answer(wire::CallOutcome::NOT_RUN, "server-refused");
  cr_expect_eq(entry.sent.size(), 4U);
  cr_expect_eq(entry.answers[1].status, 503);
}

// Guards against a caller service, host or id that a server sees changed, and
// against one that a caller made up.
Test(sitecalls, requests_carry_what_servers_expect)
{
  EntryDaemon entry;
  entry.Begin(
    1, "GET", { { "Host", "a.example" }, { "From", "liar" }, { "Id", "7" } });
  const auto& headers = entry.LastRequest().headers;
  cr_expect_eq(headers.at("From"), "own-service");
  cr_expect_eq(headers.at("Host"), "a.example");
  cr_expect_eq(headers.at("Id"), "7");
  cr_expect_eq(headers.count(kCallIdHeader), 0U);
}

// Guards against calls that a stop cuts: those too long for what is left are
// refused as not run, shorter ones are taken.
Test(sitecalls, a_stop_takes_only_calls_that_end_in_time)
{
  EntryDaemon entry;
  entry.calls->SetIntakeEnd(entry.clock.View().Now() + 1000);
  entry.Begin(1, "GET");
  cr_expect_eq(entry.answers[1].status, 503);
  entry.Begin(2, "GET", { { "Deadline", "500" } });
  cr_expect_eq(entry.sent.size(), 1U);
}

// Guards against a refusal of a server that is passed on as its result.
Test(sitecalls, a_server_that_did_not_run_a_request_is_believed)
{
  const auto shed =
    Judged(503, { { "Not-Run", "1" }, { "Retry-After", "0.25" } });
  cr_expect_eq(shed.outcome, wire::CallOutcome::NOT_RUN);
  cr_expect_eq(shed.reason, "server-refused");
  cr_expect_eq(shed.retryAfterMillis, 250);
  const auto other = Judged(421, {});
  cr_expect_eq(other.outcome, wire::CallOutcome::NOT_RUN);
  cr_expect_eq(other.reason, "other-server");
}

// Guards against a success, or a promise, that no server has made.
Test(sitecalls, an_unsigned_success_or_promise_is_not_passed_on)
{
  cr_expect_eq(Judged(200, {}).outcome, wire::CallOutcome::UNKNOWN);
  cr_expect_eq(Judged(503, {}).outcome, wire::CallOutcome::UNKNOWN);
  cr_expect_eq(Judged(200, { { "Signature", "s" } }).outcome,
               wire::CallOutcome::DONE);
  cr_expect_eq(Judged(500, { { "Signature", "s" } }).outcome,
               wire::CallOutcome::DONE);
  cr_expect_eq(Judged(400, {}).outcome, wire::CallOutcome::DONE);
}

// Guards against safe work that waits until its deadline for a daemon that has
// gone silent, and against unsafe work that is sent again for it.
Test(sitecalls, safe_work_leaves_a_suspect_daemon_for_another)
{
  EntryDaemon entry(3);
  entry.Begin(1, "GET");
  const int silent = entry.sent.back().first.port;
  entry.SetServers(3, silent);
  const auto requests = [&entry] {
    return std::ranges::count_if(entry.sent, [](const auto& aSent) {
      return aSent.second.__isset.callRequest;
    });
  };
  cr_assert_eq(requests(), 2);
  cr_expect_neq(entry.sent.back().first.port, silent);
  entry.Begin(2, "POST");
  entry.SetServers(3, entry.sent.back().first.port);
  cr_expect_eq(requests(), 3);
  // The only server is waited for.
  EntryDaemon alone(1);
  alone.Begin(3, "GET");
  alone.SetServers(1, 0);
  cr_expect_eq(alone.sent.size(), 1U);
}
