#include "store/callbudget.h"

#include <algorithm>
#include <cmath>

namespace lacewingwharf {

Backoff::Backoff(BackoffConfig aConfig, Random aRandom)
  : config(aConfig)
  , random(std::move(aRandom))
  , delayLimit(aConfig.baseDelay)
{
}

Millis
Backoff::NextDelay()
{
  const auto limit =
    static_cast<std::uint64_t>(std::max<Millis>(1, this->delayLimit));
  const auto wait = static_cast<Millis>(1 + RandomBelow(this->random, limit));
  this->delayLimit = std::min(this->delayLimit * 2, this->config.maxDelay);
  return wait;
}

void
Backoff::Reset()
{
  this->delayLimit = this->config.baseDelay;
}

CallBudget::CallBudget(CallBudgetConfig aConfig, Clock aClock, Random aRandom)
  : config(aConfig)
  , clock(std::move(aClock))
  , backoff(aConfig.backoff, std::move(aRandom))
  , tokens(aConfig.burst)
  , refilledAt(this->clock.PreciseNow())
{
}

std::optional<PlatformError>
CallBudget::BackoffError() const
{
  if (this->clock.Now() >= this->backoffUntil) {
    return std::nullopt;
  }
  return PlatformError{ this->backoffErrorCode,
                        "not sent: in backoff after a failed call" };
}

Millis
CallBudget::RemainingBackoff() const
{
  return std::max<Millis>(0, this->backoffUntil - this->clock.Now());
}

Millis
CallBudget::TakeTokenOrGetDelay()
{
  constexpr double kMillisPerSecond = 1000;
  this->Refill();
  if (this->tokens >= 1) {
    this->tokens -= 1;
    return 0;
  }
  const double missing = 1 - this->tokens;
  const double wait = missing * kMillisPerSecond / this->config.callsPerSecond;
  return std::max<Millis>(1, static_cast<Millis>(std::ceil(wait)));
}

void
CallBudget::RecordResult(std::optional<PlatformErrorCode> aFailure)
{
  if (!aFailure) {
    this->backoff.Reset();
    this->backoffUntil = 0;
    return;
  }
  // A call rejected by the backoff is never sent, so its error must not be
  // TimedOut, even if the call that failed timed out.
  this->backoffErrorCode = *aFailure == PlatformErrorCode::Throttled
                             ? PlatformErrorCode::Throttled
                             : PlatformErrorCode::Unreachable;
  this->backoffUntil = this->clock.Now() + this->backoff.NextDelay();
}

void
CallBudget::Refill()
{
  constexpr double kMillisPerSecond = 1000;
  const double now = this->clock.PreciseNow();
  const double earned =
    (now - this->refilledAt) * this->config.callsPerSecond / kMillisPerSecond;
  this->tokens = std::min(this->config.burst, this->tokens + earned);
  this->refilledAt = now;
}

} // namespace lacewingwharf
