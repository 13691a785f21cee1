#include "admission/tokenbucket.h"

#include <algorithm>

namespace lacewingwharf {

namespace {

constexpr double kMillisPerSecond = 1000;

// Rounding errors add up over refills. Without a tolerance, a bucket can lack
// 1e-16 of a token at the exact time at which the token is due.
constexpr double kTokenTolerance = 1e-9;

} // namespace

void
TokenBucket::SetRate(double aPerSecond, double aBurst)
{
  this->perMilli = aPerSecond / kMillisPerSecond;
  this->burst = aBurst;
  this->tokens = this->tokens < 0 ? aBurst : std::min(this->tokens, aBurst);
}

bool
TokenBucket::HasToken(double aNow)
{
  this->Refill(aNow);
  return this->tokens >= 1 - kTokenTolerance;
}

void
TokenBucket::TakeToken(double aNow)
{
  this->Refill(aNow);
  this->tokens = std::max(0.0, this->tokens - 1);
}

void
TokenBucket::CountAttempt(double aNow)
{
  this->AdvanceWindow(aNow);
  this->attemptsInWindow += 1;
}

double
TokenBucket::AttemptsPerSecond(double aNow)
{
  this->AdvanceWindow(aNow);
  const double elapsedFraction = (aNow - this->windowStart) / kMillisPerSecond;
  return this->attemptsInWindow +
         this->attemptsInPreviousWindow * (1 - elapsedFraction);
}

double
TokenBucket::MillisUntilToken(double aNow)
{
  if (this->HasToken(aNow) || this->perMilli <= 0) {
    return 0;
  }
  return (1 - this->tokens) / this->perMilli;
}

void
TokenBucket::Refill(double aNow)
{
  const double elapsed = std::max(0.0, aNow - this->refilledAt);
  this->tokens = std::min(this->burst, this->tokens + elapsed * this->perMilli);
  this->refilledAt = aNow;
}

void
TokenBucket::AdvanceWindow(double aNow)
{
  const double age = aNow - this->windowStart;
  if (age < kMillisPerSecond) {
    return;
  }
  this->attemptsInPreviousWindow =
    age < 2 * kMillisPerSecond ? this->attemptsInWindow : 0;
  this->attemptsInWindow = 0;
  this->windowStart =
    age < 2 * kMillisPerSecond ? this->windowStart + kMillisPerSecond : aNow;
}

} // namespace lacewingwharf
