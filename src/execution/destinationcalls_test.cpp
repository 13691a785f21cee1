#include "execution/destinationcalls.h"

#include "admission/admissionharness.h"
#include "common/log.h"
#include "execution/callrequest.h"

#include <criterion/criterion.h>

#include <malloc.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

using namespace lacewingwharf;
using namespace lacewingwharf::testing;

namespace {

constexpr std::int64_t kIncarnation = 7;

/**
 * Runs the calls of one destination daemon with one slot and records what it
 * does.
 */
struct Destination
{
  explicit Destination(std::size_t aMaxKeptBytes = 1000,
                       CallDialect aDialect = {},
                       std::size_t aMaxRequestBytes = 0)
  {
    DestinationCallsConfig config;
    config.maxRequestBytes = aMaxRequestBytes;
    config.host = "host-a";
    config.incarnation = kIncarnation;
    config.maxKeptBytes = aMaxKeptBytes;
    config.dialect = std::move(aDialect);
    DestinationCallsHooks hooks;
    hooks.answer = [this](SessionId aOrigin, const wire::CallAnswer& aAnswer) {
      this->answers.emplace_back(aOrigin, aAnswer);
    };
    hooks.submit = [this](const HttpExchange& aExchange) {
      this->runs.push_back(aExchange);
      return true;
    };
    hooks.cancel = [this](const std::string& aId) {
      this->cancelled.push_back(aId);
    };
    hooks.isQuarantined = [](std::uint64_t) { return false; };
    hooks.serverLost = [this](std::uint64_t) { ++this->serversLost; };
    hooks.isListening = [this](int) { return this->isListening; };
    this->calls = std::make_unique<DestinationCalls>(
      config, this->clock.View(), std::move(hooks));
    this->calls->SetConfiguration(CatalogueWith({}, {}),
                                  ViewOf({ { "host-a", 1 } }));
    this->calls->GetAdmission().SetEndpoint(
      kService, kPort, 1, 10, EndpointState::Ready);
  }

  void Request(const std::string& aId, bool aIsIdempotent = false)
  {
    this->Request(aId, aIsIdempotent, {}, {});
  }

  void Request(const std::string& aId,
               bool aIsIdempotent,
               std::map<std::string, std::string> aHeaders,
               std::string aBody)
  {
    wire::CallRequest request;
    request.headers = std::move(aHeaders);
    request.body = std::move(aBody);
    request.callId = aId;
    request.entry = "tills";
    request.serviceName = kService;
    request.port = kPort;
    request.method = "POST";
    request.target = "/orders";
    request.remainingMillis = 60000;
    request.idempotent = aIsIdempotent;
    this->calls->HandleRequest(1, request);
  }

  /**
   * Sends a query on session 2 and returns its answer, if there is one at once.
   */
  std::string Query(const std::string& aId,
                    std::int64_t aIncarnation = kIncarnation)
  {
    wire::CallQuery query;
    query.callId = aId;
    query.incarnation = aIncarnation;
    const std::size_t before = this->answers.size();
    this->calls->HandleQuery(2, query);
    return this->answers.size() == before ? "" : this->Last();
  }

  void End(const std::string& aId,
           ExchangeEnd aEnd,
           std::string aBody = "whole")
  {
    ExchangeResult result;
    result.id = aId;
    result.end = aEnd;
    result.answer.body = std::move(aBody);
    this->calls->HandleExchange(result);
  }

  /** The latest answer as "session outcome reason-or-body". */
  std::string Last() const
  {
    const auto& [session, answer] = this->answers.back();
    const char* const outcome =
      answer.outcome == wire::CallOutcome::DONE      ? "done"
      : answer.outcome == wire::CallOutcome::NOT_RUN ? "not-run"
                                                     : "unknown";
    return std::to_string(session) + " " + outcome + " " +
           (answer.reason.empty() ? answer.body : answer.reason);
  }

  ManualClock clock{ 1000 };
  std::vector<std::pair<SessionId, wire::CallAnswer>> answers;
  std::vector<HttpExchange> runs;
  std::vector<std::string> cancelled;
  int serversLost = 0;
  bool isListening = true;
  std::unique_ptr<DestinationCalls> calls;
};

void
SilenceLogs()
{
  Log::SetLevel(LogLevel::Error);
}

} // namespace

TestSuite(destinationcalls, .init = SilenceLogs);

// A request that arrives after its caller received not-run must not run.
Test(destinationcalls, LateFrameOfAFencedCallIsNotRun)
{
  Destination destination;
  cr_assert_eq(destination.Query("a"), "2 not-run fenced");
  destination.Request("a");
  cr_assert_eq(destination.Query("a"), "2 not-run fenced");
  cr_assert(destination.runs.empty());
}

// A request whose frame arrives twice must run only once.
Test(destinationcalls, KnownCallIsNotStartedAgain)
{
  Destination destination;
  destination.Request("a");
  destination.Request("a");
  destination.End("a", ExchangeEnd::Answered);
  destination.Request("a");
  cr_assert_eq(destination.runs.size(), 1U);
  cr_assert(destination.runs.front().needsNewConnection);
}

// A query must not report a running call as not run, and the answer of that
// call must go to the new session, not to the lost one.
Test(destinationcalls, QueryOfARunningCallGetsItsAnswerOnTheNewSession)
{
  Destination destination;
  destination.Request("a");
  cr_assert_eq(destination.Query("a"), "");
  destination.End("a", ExchangeEnd::Answered);
  cr_assert_eq(destination.answers.size(), 1U);
  cr_assert_eq(destination.Last(), "2 done whole");
  cr_assert_eq(destination.Query("a"), "2 done whole");
}

// A call that ran must not be reported as not run after its answer was dropped
// to limit memory.
Test(destinationcalls, DroppedAnswerIsReportedAsUnknown)
{
  Destination destination(10);
  destination.Request("a");
  destination.End("a", ExchangeEnd::Answered, "1234567");
  destination.Request("b");
  destination.End("b", ExchangeEnd::Answered, "1234567");
  cr_assert_eq(destination.Query("a"), "2 unknown answer-not-kept");
  cr_assert_eq(destination.Query("b"), "2 done 1234567");
}

// After a restart a daemon has lost its calls, so it must not answer not-run
// for a call of an earlier incarnation.
Test(destinationcalls, QueryForAnotherIncarnationIsUnknown)
{
  Destination destination;
  cr_assert_eq(destination.Query("a", kIncarnation - 1),
               "2 unknown daemon-restarted");
  destination.Request("a");
  cr_assert_eq(destination.runs.size(), 1U);
}

// An answer must not be dropped while entry daemons may still query the call.
Test(destinationcalls, AnswerIsKeptAsLongAsEntryDaemonsQuery)
{
  Destination destination;
  destination.Request("a");
  destination.End("a", ExchangeEnd::Answered);
  destination.clock.Advance(kAnswerRetention - 1);
  destination.calls->Tick();
  cr_assert_eq(destination.Query("a"), "2 done whole");
}

// A call whose caller left must not keep its slot, and a call that was running
// must not be reported as not run.
Test(destinationcalls, CancelledCallIsNotRunOnlyWhileItWaits)
{
  Destination destination;
  destination.Request("runs");
  destination.Request("waits");
  destination.calls->HandleCancel("waits");
  cr_assert_eq(destination.Last(), "1 not-run caller-left");
  destination.calls->HandleCancel("runs");
  cr_assert_eq(destination.cancelled.size(), 1U);
  destination.End("runs", ExchangeEnd::Cancelled);
  cr_assert_eq(destination.Last(), "1 unknown cancelled-while-running");
  destination.End("runs", ExchangeEnd::Answered);
  cr_assert_eq(destination.answers.size(), 2U);
  cr_assert_eq(destination.runs.size(), 1U);
  cr_assert_eq(destination.calls->InFlight(), 0U);
}

// The quarantine must count a crash, but not a cut answer of a server that
// still runs.
Test(destinationcalls, OnlyALostServerIsCounted)
{
  Destination destination;
  destination.Request("a");
  destination.End("a", ExchangeEnd::Incomplete);
  constexpr Millis kLossCheckTime = 50;
  destination.clock.Advance(kLossCheckTime);
  destination.calls->Tick();
  cr_assert_eq(destination.Last(), "1 unknown cut-answer");
  cr_assert_eq(destination.serversLost, 0);
  destination.isListening = false;
  destination.Request("b");
  destination.End("b", ExchangeEnd::Incomplete);
  cr_assert_eq(destination.serversLost, 1);
  cr_assert(destination.answers.back().second.serverLost);
}

// A crash must also be counted if it closes the connection before the listening
// socket.
Test(destinationcalls, ServerThatStopsSoonAfterACutIsLost)
{
  Destination destination;
  destination.Request("a");
  destination.End("a", ExchangeEnd::Incomplete);
  cr_assert(destination.answers.empty());
  destination.isListening = false;
  destination.clock.Advance(10);
  destination.calls->Tick();
  cr_assert_eq(destination.serversLost, 1);
  cr_assert(destination.answers.back().second.serverLost);
}

// A copy of an earlier refusal must not be taken for the answer to a later try
// of the same request: the caller would learn that a request did not run that
// runs. On a connection of its own, a try cannot receive such a copy.
Test(destinationcalls, ARefusedRequestIsTriedAgainOnANewConnection)
{
  CallDialect dialect;
  dialect.requestIdHeader = "Request";
  dialect.notExecutedHeader = "Not-Run";
  Destination destination(1000, dialect);
  const auto refuse = [&destination](const std::string& aId) {
    ExchangeResult result;
    result.id = aId;
    result.end = ExchangeEnd::Answered;
    result.answer.status = 503;
    result.answer.headers = { { "Not-Run", "1" } };
    destination.calls->HandleExchange(result);
  };
  destination.Request("a.1", true, { { "Request", "one" } }, {});
  cr_expect_not(destination.runs.back().needsNewConnection);
  refuse("a.1");
  destination.Request("a.2", true, { { "Request", "one" } }, {});
  cr_expect(destination.runs.back().needsNewConnection);
  destination.End("a.2", ExchangeEnd::Answered);
  destination.Request("b.1", true, { { "Request", "two" } }, {});
  cr_expect_not(destination.runs.back().needsNewConnection);
}

namespace {

std::size_t
AllocatedBytes()
{
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

} // namespace

// The id of a non-idempotent call is kept long after its end. If the bodies of
// its request and of its dropped answer were kept with it, large requests at an
// ordinary rate would use up the memory of the host.
Test(destinationcalls, FinishedCallsDoNotKeepTheirBodies)
{
  constexpr int kCalls = 100;
  constexpr std::size_t kBodyBytes = 600000;
  Destination destination(2 * kBodyBytes);
  const std::size_t before = AllocatedBytes();
  for (int index = 0; index < kCalls; ++index) {
    const std::string id = "call" + std::to_string(index);
    destination.Request(id, false, {}, std::string(kBodyBytes, 'x'));
    destination.End(id, ExchangeEnd::Answered, std::string(kBodyBytes, 'y'));
    destination.runs.clear();
    destination.answers.clear();
  }
  const std::size_t kept = AllocatedBytes() - before;
  cr_expect_lt(kept, 8 * kBodyBytes, "%zu bytes kept", kept);
}

// Requests of many entry daemons must not use up the memory of this one, and
// small ones must still run while large ones are refused.
Test(destinationcalls, RequestsAboveTheLimitAreRefusedAsNotRun)
{
  constexpr std::size_t kLimit = 800000;
  Destination destination(1000, {}, kLimit);
  destination.Request("runs", true, {}, std::string(300000, 'x'));
  destination.Request("waits", true, {}, std::string(390000, 'x'));
  cr_expect_eq(destination.answers.size(), 0U);
  destination.Request("large", true, {}, std::string(60000, 'x'));
  cr_assert_eq(destination.answers.size(), 1U);
  cr_expect_eq(destination.Last(), "1 not-run overload");
  cr_expect_gt(destination.answers.back().second.retryAfterMillis, 0);
  destination.Request("small", true, {}, std::string(8000, 'x'));
  cr_expect_eq(destination.answers.size(), 1U);
  cr_expect_eq(destination.calls->RequestBytes(), 698000U);
  destination.End("runs", ExchangeEnd::Answered);
  destination.Request("later", true, {}, std::string(60000, 'x'));
  cr_expect_eq(destination.answers.size(), 2U, "only the answer of runs");
  for (const char* const id : { "waits", "small", "later" }) {
    destination.End(id, ExchangeEnd::Answered);
  }
  cr_expect_eq(destination.calls->RequestBytes(), 0U);
}
