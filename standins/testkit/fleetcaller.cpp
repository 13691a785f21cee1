#include "testkit/fleetcaller.h"

#include "common/random.h"
#include "testkit/process.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <fmt/ranges.h>

#include <ctime>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr Millis kRetryPause = 20;
constexpr std::size_t kMaxProblems = 10;

std::string
FindHeader(const TestAnswer& aAnswer, const std::string& aName)
{
  const auto start = aAnswer.headers.find(aName + ": ");
  if (start == std::string::npos) {
    return {};
  }
  const auto value = start + aName.size() + 2;
  return aAnswer.headers.substr(value,
                                aAnswer.headers.find('\r', value) - value);
}

/** Returns the time of day as in the logs of daemons. */
std::string
TimeText(Millis aWallTime)
{
  constexpr Millis kMillisInSecond = 1000;
  return fmt::format(
    "{:%H:%M:%S}.{:03}",
    fmt::gmtime(static_cast<std::time_t>(aWallTime / kMillisInSecond)),
    aWallTime % kMillisInSecond);
}

} // namespace

std::size_t
FleetCalls::Sent() const
{
  return this->done + this->notRun + this->unknown + this->broken;
}

std::string
FleetCalls::Describe() const
{
  return fmt::format(
    "{} calls: {} done ({} with an error status), {} not run, "
    "{} unknown, {} broken; {} attempts retried; reasons {}{}{}",
    this->Sent(),
    this->done,
    this->failed,
    this->notRun,
    this->unknown,
    this->broken,
    this->retriedAttempts,
    this->reasons,
    this->problems.empty() ? "" : "\n  ",
    fmt::join(this->problems, "\n  "));
}

FleetCaller::FleetCaller(FleetCallerConfig aConfig)
  : config(std::move(aConfig))
  , keyPrefix(fmt::format("{:x}", SystemRandom()()))
{
  for (std::size_t i = 0; i < this->config.threads; ++i) {
    this->threads.emplace_back([this, i] { this->Run(i); });
  }
}

FleetCaller::~FleetCaller()
{
  this->Stop();
}

FleetCalls
FleetCaller::Stop()
{
  this->isStopping = true;
  for (std::thread& thread : this->threads) {
    if (thread.joinable()) {
      thread.join();
    }
  }
  return this->calls;
}

std::size_t
FleetCaller::EndedCount() const
{
  const std::lock_guard lock(this->mutex);
  return this->calls.Sent();
}

void
FleetCaller::Run(std::size_t aThread)
{
  for (std::size_t i = 0; !this->isStopping; ++i) {
    const std::string key =
      this->config.hasIdempotencyKeys
        ? fmt::format("{}-{}-{}", this->keyPrefix, aThread, i)
        : std::string();
    this->CallOnce(aThread + i, key);
    PauseFor(this->config.pauseBetweenCalls);
  }
}

void
FleetCaller::CallOnce(std::size_t aFirstDaemon, const std::string& aKey)
{
  std::vector<std::string> headers;
  if (!aKey.empty()) {
    headers.push_back("Idempotency-Key: " + aKey);
  }
  const Clock clock = Clock::Steady();
  const Clock wall = Clock::Wall();
  const Millis end = clock.Now() + this->config.callTimeout;
  for (std::size_t i = aFirstDaemon;; ++i) {
    Attempt attempt;
    attempt.url = this->config.urls[i % this->config.urls.size()];
    attempt.startedAt = wall.Now();
    attempt.answer = SendTestRequest(this->config.method,
                                     attempt.url,
                                     this->config.method == "GET" ? "" : "body",
                                     headers);
    attempt.endedAt = wall.Now();
    if (!this->Record(attempt, aKey, clock.Now() >= end)) {
      return;
    }
    PauseFor(kRetryPause);
  }
}

void
FleetCaller::RecordProblem(const Attempt& aAttempt)
{
  if (this->calls.problems.size() >= kMaxProblems) {
    return;
  }
  const TestAnswer& answer = aAttempt.answer;
  const std::string id = FindHeader(answer, "Lacewingwharf-Call-Id");
  this->calls.problems.push_back(fmt::format(
    "{} {} at {} for {} ms: status {}, call '{}', outcome '{}', reason '{}', "
    "body '{}'",
    this->config.method,
    aAttempt.url,
    TimeText(aAttempt.startedAt),
    aAttempt.endedAt - aAttempt.startedAt,
    answer.status,
    id,
    FindHeader(answer, "Lacewingwharf-Outcome"),
    FindHeader(answer, "Lacewingwharf-Reason"),
    answer.body.substr(0, answer.body.find('\n'))));
  if (!id.empty()) {
    this->calls.problemIds.push_back(id);
  }
}

bool
FleetCaller::Record(const Attempt& aAttempt,
                    const std::string& aKey,
                    bool aIsLast)
{
  const std::lock_guard lock(this->mutex);
  const TestAnswer& answer = aAttempt.answer;
  const std::string outcome = FindHeader(answer, "Lacewingwharf-Outcome");
  const std::string reason = FindHeader(answer, "Lacewingwharf-Reason");
  if (!answer.wasConnected || outcome == "not-run") {
    ++this->calls.reasons[answer.wasConnected ? reason : "no-connection"];
    ++(aIsLast ? this->calls.notRun : this->calls.retriedAttempts);
    if (aIsLast) {
      this->RecordProblem(aAttempt);
    }
    return !aIsLast;
  }
  if (outcome == "done") {
    constexpr long kOk = 200;
    ++this->calls.done;
    if (answer.status != kOk) {
      ++this->calls.failed;
      this->RecordProblem(aAttempt);
    }
    if (!aKey.empty()) {
      this->calls.doneKeys.push_back(aKey);
    }
    return false;
  }
  ++this->calls.reasons[outcome.empty() ? "broken" : "unknown: " + reason];
  ++(outcome.empty() ? this->calls.broken : this->calls.unknown);
  this->RecordProblem(aAttempt);
  return false;
}

} // namespace lacewingwharf
