#include "admission/tokenbucket.h"

#include <algorithm>

namespace lacewingwharf {

namespace {

constexpr double kSecond = 1000;

// Sums of refills are inexact; without a tolerance a bucket can lack 1e-16 of
// a token at the exact time it is due.
constexpr double kTolerance = 1e-9;

} // namespace

void TokenBucket::SetRate(double aPerSecond, double aBurst)
{
  this->perMilli = aPerSecond / kSecond;
  this->burst = aBurst;
  this->tokens = this->tokens < 0 ? aBurst : std::min(this->tokens, aBurst);
}

bool TokenBucket::HasToken(double aNow)
{
  this->Refill(aNow);
  return this->tokens >= 1 - kTolerance;
}

void TokenBucket::Take(double aNow)
{
  this->Refill(aNow);
  this->tokens = std::max(0.0, this->tokens - 1);
}

void TokenBucket::CountAttempt(double aNow)
{
  this->RollSecond(aNow);
  this->inSecond += 1;
}

double TokenBucket::AttemptsPerSecond(double aNow)
{
  this->RollSecond(aNow);
  const double part = (aNow - this->secondStart) / kSecond;
  return this->inSecond + this->inSecondBefore * (1 - part);
}

double TokenBucket::MillisToToken(double aNow)
{
  if (this->HasToken(aNow) || this->perMilli <= 0) {
    return 0;
  }
  return (1 - this->tokens) / this->perMilli;
}

void TokenBucket::Refill(double aNow)
{
  const double elapsed = std::max(0.0, aNow - this->refilledAt);
  this->tokens = std::min(this->burst, this->tokens + elapsed * this->perMilli);
  this->refilledAt = aNow;
}

void TokenBucket::RollSecond(double aNow)
{
  const double age = aNow - this->secondStart;
  if (age < kSecond) {
    return;
  }
  this->inSecondBefore = age < 2 * kSecond ? this->inSecond : 0;
  this->inSecond = 0;
  this->secondStart = age < 2 * kSecond ? this->secondStart + kSecond : aNow;
}

} // namespace lacewingwharf
