#include "store/callbudget.h"

#include <algorithm>
#include <cmath>

namespace lacewingwharf {

Backoff::Backoff(BackoffConfig aConfig, Random aRandom)
  : config(aConfig)
  , random(std::move(aRandom))
  , ceiling(aConfig.first)
{
}

Millis
Backoff::Next()
{
  const auto bound =
    static_cast<std::uint64_t>(std::max<Millis>(1, this->ceiling));
  const auto wait = static_cast<Millis>(1 + RandomBelow(this->random, bound));
  this->ceiling = std::min(this->ceiling * 2, this->config.maxDelay);
  return wait;
}

void
Backoff::Reset()
{
  this->ceiling = this->config.first;
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
CallBudget::Refusal() const
{
  if (this->clock.Now() >= this->refusedUntil) {
    return std::nullopt;
  }
  return PlatformError{ this->refusalCode,
                        "not sent: waiting after a failed call" };
}

Millis
CallBudget::RefusedFor() const
{
  return std::max<Millis>(0, this->refusedUntil - this->clock.Now());
}

Millis
CallBudget::TakeOrWait()
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
CallBudget::Report(std::optional<PlatformErrorCode> aFailure)
{
  if (!aFailure) {
    this->backoff.Reset();
    this->refusedUntil = 0;
    return;
  }
  // A refused call was never sent, whatever happened to the one before it.
  this->refusalCode = *aFailure == PlatformErrorCode::Throttled
                        ? PlatformErrorCode::Throttled
                        : PlatformErrorCode::Unreachable;
  this->refusedUntil = this->clock.Now() + this->backoff.Next();
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
