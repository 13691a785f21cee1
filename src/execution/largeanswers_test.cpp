// Calls with large answers at a destination daemon whose link is slow.

#include "execution/destinationcalls.h"

#include "common/log.h"
#include "execution/entryharness.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <string>
#include <vector>

using namespace lacewingwharf;
using namespace lacewingwharf::testing;

namespace {

constexpr std::size_t kLargeBytes = 100000;
constexpr double kBytesPerMilli = 1000;
constexpr Millis kAnswerTime = 100; // Of one answer on the link.
constexpr int kTarget = 500;
constexpr Millis kDeadline = 5000;

/** A destination daemon with many slots and a link of 8 Mbit/s. */
struct LargeAnswerDaemon
{
  explicit LargeAnswerDaemon(double aBytesPerMilli = kBytesPerMilli)
  {
    Log::SetLevel(LogLevel::Error);
    DestinationCallsConfig config;
    config.host = "host-a";
    config.answerBytesPerMilli = aBytesPerMilli;
    DestinationCallsHooks hooks;
    hooks.answer = [this](SessionId, const wire::CallAnswer& aAnswer) {
      this->answers.push_back(aAnswer);
    };
    hooks.submit = [](const HttpExchange&) { return true; };
    hooks.isQuarantined = [](std::uint64_t) { return false; };
    hooks.isListening = [](int) { return true; };
    this->calls = std::make_unique<DestinationCalls>(
      config, this->clock.View(), std::move(hooks));
    Entry service;
    service.name = kService;
    service.owner = "shop";
    Entry route;
    route.name = "extracts";
    route.kind = EntryKind::Route;
    route.owner = "shop";
    route.service = kService;
    route.match.path = "/extracts";
    route.hasLargeAnswers = true;
    AcceptedEntries entries;
    AddEntry(entries, service);
    AddEntry(entries, route);
    this->calls->SetConfiguration(
      Snapshot::Build({ 1, 0, 0 }, std::move(entries)).value(),
      ViewOf({ { "host-a", 1 } }));
    constexpr int kSlots = 50;
    this->calls->GetAdmission().SetEndpoint(
      kService, kPort, kSlots, kSlots, EndpointState::Ready);
  }

  /** Runs a call whose server answers at once. */
  void Run(const std::string& aId, std::size_t aBytes = kLargeBytes)
  {
    this->Request(aId);
    ExchangeResult result;
    result.id = aId;
    result.end = ExchangeEnd::Answered;
    result.answer.body = std::string(aBytes, 'x');
    this->calls->HandleExchange(result);
  }

  void Request(const std::string& aId)
  {
    wire::CallRequest request;
    request.callId = aId;
    request.entry = "extracts";
    request.serviceName = kService;
    request.port = kPort;
    request.remainingMillis = kDeadline;
    request.targetMillis = kTarget;
    request.idempotent = true;
    this->calls->HandleRequest(1, request);
  }

  void Advance(Millis aTime)
  {
    this->clock.Advance(static_cast<double>(aTime));
    this->calls->Tick();
  }

  ManualClock clock{ 1000 };
  std::vector<wire::CallAnswer> answers;
  std::unique_ptr<DestinationCalls> calls;
};

} // namespace

// Answers that are sent at once fill the link. They must wait for it, and a
// cancelled call must give up its place.
Test(largeanswers, large_answers_wait_for_the_link)
{
  LargeAnswerDaemon daemon;
  daemon.Run("first");
  daemon.Run("second");
  daemon.Run("third");
  cr_assert_eq(daemon.answers.size(), 1U);
  cr_expect_eq(daemon.calls->InFlight(), 2U);
  daemon.calls->HandleCancel("second");
  cr_assert_eq(daemon.answers.size(), 2U);
  cr_expect(daemon.answers.back().outcome == wire::CallOutcome::UNKNOWN);
  daemon.Advance(kAnswerTime);
  cr_assert_eq(daemon.answers.size(), 3U);
  cr_expect_eq(daemon.answers.back().callId, "third");
  cr_expect_eq(daemon.answers.back().body.size(), kLargeBytes);
  cr_expect_eq(daemon.calls->InFlight(), 0U);
}

// A call whose answer could not leave before its target must be refused at once
// as not run, so that another server can run it.
Test(largeanswers, calls_whose_answer_would_be_late_are_refused)
{
  LargeAnswerDaemon daemon;
  daemon.Run("first");
  constexpr int kMoreThanFit = 10;
  for (int call = 0; call < kMoreThanFit; ++call) {
    daemon.Request(fmt::format("call-{}", call));
  }
  cr_assert_gt(daemon.answers.size(), 1U);
  const wire::CallAnswer& refusal = daemon.answers.back();
  cr_expect(refusal.outcome == wire::CallOutcome::NOT_RUN);
  cr_expect_eq(refusal.reason, "link-full");
  cr_expect_gt(refusal.retryAfterMillis, 0);
}

// Errors and other small answers of such calls must not wait.
Test(largeanswers, small_answers_do_not_wait)
{
  LargeAnswerDaemon daemon;
  daemon.Run("large");
  daemon.Run("small", 100);
  cr_expect_eq(daemon.answers.size(), 2U);
}

// Without the rate of the link, answers are sent as before.
Test(largeanswers, answers_of_hosts_without_a_known_rate_do_not_wait)
{
  LargeAnswerDaemon daemon(0);
  daemon.Run("first");
  daemon.Run("second");
  cr_expect_eq(daemon.answers.size(), 2U);
}
