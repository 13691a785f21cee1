#include "testkit/fleetcaller.h"

#include "common/random.h"
#include "testkit/process.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <utility>

namespace lacewingwharf {

namespace {

constexpr Millis kRetryPause = 20;

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

} // namespace

std::size_t
FleetCalls::Sent() const
{
  return this->done + this->notRun + this->unknown + this->broken;
}

std::string
FleetCalls::Describe() const
{
  return fmt::format("{} calls: {} done ({} with an error status), {} not run, "
                     "{} unknown, {} broken; {} attempts retried; reasons {}",
                     this->Sent(),
                     this->done,
                     this->failed,
                     this->notRun,
                     this->unknown,
                     this->broken,
                     this->retriedAttempts,
                     this->reasons);
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
  const Millis end = clock.Now() + this->config.callTimeout;
  for (std::size_t i = aFirstDaemon;; ++i) {
    const TestAnswer answer =
      SendTestRequest(this->config.method,
                      this->config.urls[i % this->config.urls.size()],
                      this->config.method == "GET" ? "" : "body",
                      headers);
    if (!this->Record(answer, aKey, clock.Now() >= end)) {
      return;
    }
    PauseFor(kRetryPause);
  }
}

bool
FleetCaller::Record(const TestAnswer& aAnswer,
                    const std::string& aKey,
                    bool aIsLast)
{
  const std::lock_guard lock(this->mutex);
  const std::string outcome = FindHeader(aAnswer, "Lacewingwharf-Outcome");
  const std::string reason = FindHeader(aAnswer, "Lacewingwharf-Reason");
  if (!aAnswer.wasConnected || outcome == "not-run") {
    ++this->calls.reasons[aAnswer.wasConnected ? reason : "no-connection"];
    ++(aIsLast ? this->calls.notRun : this->calls.retriedAttempts);
    return !aIsLast;
  }
  if (outcome == "done") {
    constexpr long kOk = 200;
    ++this->calls.done;
    this->calls.failed += aAnswer.status == kOk ? 0 : 1;
    if (!aKey.empty()) {
      this->calls.doneKeys.push_back(aKey);
    }
    return false;
  }
  ++this->calls.reasons[outcome.empty() ? "broken" : "unknown: " + reason];
  ++(outcome.empty() ? this->calls.broken : this->calls.unknown);
  return false;
}

} // namespace lacewingwharf
