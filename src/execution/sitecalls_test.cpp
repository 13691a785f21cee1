// Calls with a dialect in which statuses guarantee that a request was not run
// and servers sign their answers.

#include "common/log.h"
#include "execution/callrequest.h"
#include "execution/destinationcalls.h"
#include "execution/siteharness.h"

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

/**
 * Returns what a destination daemon answers to a call whose backend server
 * answered with this status and these headers.
 */
wire::CallAnswer
AnswerFor(int aStatus, const HttpHeaders& aHeaders)
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

// A status must not guarantee that a request was not run if it may have run,
// and must guarantee it if the request was certainly not run.
Test(sitecalls, statuses_match_whether_a_request_may_have_run)
{
  const CallDialect dialect = SiteDialect();
  const auto status = [&](RefusalReason aReason, bool aMayHaveRun) {
    return StatusFor(dialect, aReason, aMayHaveRun);
  };
  for (const auto& [reason, name] : kRefusalReasonNames.Rows()) {
    const int notRunStatus = status(reason, false);
    const int unknownStatus = status(reason, true);
    cr_expect(notRunStatus != 502 && notRunStatus != 504, "%d", notRunStatus);
    cr_expect(
      unknownStatus != 503 && unknownStatus != 429, "%d", unknownStatus);
  }
  cr_expect_eq(status(RefusalReason::NoRoute, false), 404);
  cr_expect_eq(status(RefusalReason::NoConfiguration, false), 503);
  cr_expect_eq(status(RefusalReason::DeadlinePassed, true), 504);
  cr_expect_eq(StatusFor({}, RefusalReason::DeadlinePassed, false), 504);
}

// 503 guarantees that a request was not run, so it must not be returned after a
// first attempt that may have run.
Test(sitecalls, a_refusal_after_a_lost_attempt_does_not_guarantee_not_run)
{
  EntryDaemon entry(2);
  entry.Begin(1, "GET");
  entry.calls->HandleSessionLost(entry.sent.back().first, true, {});
  entry.Answer(wire::CallOutcome::NOT_RUN, "draining");
  cr_assert(entry.answers.contains(1));
  cr_expect_eq(entry.answers[1].status, 502);
}

// A refusal must carry a Retry-After, and not in whole seconds, which are
// longer than most callers wait.
Test(sitecalls, a_refusal_has_a_retry_after_time)
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

// A server's error answer must not be lost because a later attempt was refused.
Test(sitecalls, a_server_error_is_returned_if_no_retry_is_answered)
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

// A non-idempotent call must not run a second time.
Test(sitecalls, a_server_error_of_a_non_idempotent_call_is_not_retried)
{
  EntryDaemon entry;
  entry.Begin(1, "POST");
  entry.Answer(wire::CallOutcome::DONE, "failed", 500);
  cr_expect_eq(entry.sent.size(), 1U);
  cr_expect_eq(entry.answers[1].status, 500);
}

// A request must not reach more servers than its route allows. Attempts that
// reached no server do not count.
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

// Servers must receive the caller service of the daemon, never one that the
// caller set, and the host and id unchanged.
Test(sitecalls, requests_carry_the_headers_of_the_dialect)
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

// A stop must not cut calls: those too long for the remaining time are refused
// as not run, and shorter ones are accepted.
Test(sitecalls, a_stop_accepts_only_calls_with_an_early_deadline)
{
  EntryDaemon entry;
  entry.calls->SetIntakeEnd(entry.clock.View().Now() + 1000);
  entry.Begin(1, "GET");
  cr_expect_eq(entry.answers[1].status, 503);
  entry.Begin(2, "GET", { { "Deadline", "500" } });
  cr_expect_eq(entry.sent.size(), 1U);
}

// Calls that are still open when the daemon stops must get an answer, not a
// closed connection: those whose server is slow, those whose attempt was
// refused late, and those that wait for the state of a lost attempt.
Test(sitecalls, a_stop_answers_every_call_that_is_still_open)
{
  constexpr Millis kStopTime = 1000;
  constexpr Millis kAnswerTime = 200; // Less than the stop leaves for answers.
  EntryDaemon entry;
  entry.Begin(1, "POST"); // Its server is slow.
  entry.Begin(2, "POST");
  entry.LoseSession();
  entry.calls->SetCallsEnd(entry.clock.View().Now() + kStopTime);
  entry.Begin(3, "GET"); // Its attempts are refused.
  cr_expect_leq(entry.LastRequest().remainingMillis, kStopTime);
  entry.Wait(kStopTime - 10);
  cr_expect_eq(entry.answerCounts.count(1), 0U);
  entry.Answer(wire::CallOutcome::NOT_RUN, "draining");
  cr_expect_leq(entry.LastRequest().remainingMillis, 10);
  entry.Wait(kAnswerTime);
  for (const RequestId request : { 1, 2, 3 }) {
    cr_expect_eq(entry.answerCounts[request], 1, "request %lu", request);
  }
  cr_expect_eq(entry.answers[1].status, 504);
  // The first attempt was refused, but nothing is known about the second.
  cr_expect_eq(entry.answers[3].status, 504);
  const auto attempts = entry.sent.size();
  entry.Wait(kDeadline);
  cr_expect_eq(entry.sent.size(), attempts);
}

// A server's refusal must not be returned as the result of the request.
Test(sitecalls, a_refusal_of_a_server_is_reported_as_not_run)
{
  const auto shed =
    AnswerFor(503, { { "Not-Run", "1" }, { "Retry-After", "0.25" } });
  cr_expect_eq(shed.outcome, wire::CallOutcome::NOT_RUN);
  cr_expect_eq(shed.reason, "server-refused");
  cr_expect_eq(shed.retryAfterMillis, 250);
  const auto other = AnswerFor(421, {});
  cr_expect_eq(other.outcome, wire::CallOutcome::NOT_RUN);
  cr_expect_eq(other.reason, "other-server");
}

// A success, or a status that guarantees not-run, must not be returned if no
// server signed it.
Test(sitecalls, an_unsigned_success_or_refusal_is_unknown)
{
  cr_expect_eq(AnswerFor(200, {}).outcome, wire::CallOutcome::UNKNOWN);
  cr_expect_eq(AnswerFor(503, {}).outcome, wire::CallOutcome::UNKNOWN);
  cr_expect_eq(AnswerFor(200, { { "Signature", "s" } }).outcome,
               wire::CallOutcome::DONE);
  cr_expect_eq(AnswerFor(500, { { "Signature", "s" } }).outcome,
               wire::CallOutcome::DONE);
  cr_expect_eq(AnswerFor(400, {}).outcome, wire::CallOutcome::DONE);
}

// Header names are compared without regard to case. A caller's own header in
// another spelling must not reach the server instead of the daemon's.
Test(sitecalls, a_caller_cannot_name_its_own_service)
{
  for (const char* name : { "From", "FROM", "from" }) {
    EntryDaemon daemon;
    daemon.Begin(1, "GET", { { name, "forged" }, { "Id", "r" } });
    const auto& headers = daemon.LastRequest().headers;
    const HttpHeaders received(headers.begin(), headers.end());
    cr_expect_eq(headers.size(), received.size(), "%s", name);
    cr_expect_eq(received.at("From"), "own-service", "%s", name);
  }
}
