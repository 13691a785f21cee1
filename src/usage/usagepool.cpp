#include "usage/usagepool.h"

#include <algorithm>
#include <cmath>

namespace lacewingwharf {

namespace {

constexpr double kMillisPerSecond = 1000;

// Allows for rounding errors of many small refills.
constexpr double kTolerance = 1e-9;

constexpr Millis kMaxRetryAfter = 5000;

// Tokens for calls that are only expected are taken from the part of a pool
// above this share of its depth. A token that is granted ahead is missing to
// the calls that wait elsewhere until it is returned or has ended.
constexpr double kReservedShare = 0.5;

} // namespace

UsagePool::UsagePool(const UsageShare& aShare)
  : seen(aShare)
{
}

void
UsagePool::Restart(const UsageShare& aShare, Millis aNow)
{
  this->seen = aShare;
  this->advancedAt = aNow;
  this->level = 0;
}

void
UsagePool::SetCap(int aRate, int aBurst, const UsageTimes& aTimes)
{
  this->perMilli = aRate * aTimes.rateShare / kMillisPerSecond;
  this->outstandingTime = aTimes.outstandingTime;
  this->growthTime = aTimes.relendTime + aTimes.spreadTime;
  // The tokens of a token's life are added to the burst, because granted tokens
  // count towards the depth until they are known to be unspent or have ended.
  this->depth = aBurst + aTimes.spareTokens +
                this->perMilli * static_cast<double>(aTimes.outstandingTime);
  this->LimitLevel();
}

/**
 * Ends of grants make room for new tokens, so that the refill is divided at
 * each of them.
 */
void
UsagePool::Advance(const UsageShare& aShare, Millis aNow)
{
  const double total = this->perMilli * (aShare.elapsed - this->seen.elapsed);
  const auto time =
    static_cast<double>(std::max<Millis>(1, aNow - this->advancedAt));
  double added = 0;
  this->refused = std::max(0.0, this->refused - total);
  while (!this->outgoing.empty() && this->outgoing.front().until < aNow) {
    const Millis end = std::max(this->advancedAt, this->outgoing.front().until);
    const double until =
      total * static_cast<double>(end - this->advancedAt) / time;
    this->level += until - added;
    added = until;
    this->LimitLevel();
    this->outstanding -= this->outgoing.front().count;
    this->outgoing.pop_front();
  }
  this->seen = aShare;
  this->advancedAt = aNow;
  this->level += total - added;
  this->LimitLevel();
}

void
UsagePool::LimitLevel()
{
  const double room = this->depth * this->seen.share - this->outstanding;
  this->level = std::max(0.0, std::min(this->level, room));
}

int
UsagePool::Grant(const UsageGrantKey& aKey,
                 int aWanted,
                 int aWaiting,
                 Millis aNow)
{
  const int forWaiting =
    std::min(std::max(0, aWanted), std::clamp(aWaiting, 0, this->Left()));
  const double reserve = kReservedShare * this->depth * this->seen.share;
  const int ahead =
    static_cast<int>(std::max(0.0, this->level - forWaiting - reserve));
  const int granted = forWaiting + std::clamp(aWanted - forWaiting, 0, ahead);
  if (granted > 0) {
    this->level = std::max(0.0, this->level - granted);
    this->outstanding += granted;
    this->outgoing.push_back({ aKey, granted, aNow + this->outstandingTime });
  }
  const double longest =
    this->perMilli * this->seen.share * static_cast<double>(kMaxRetryAfter);
  this->refused =
    std::min(longest, this->refused + std::max(0, aWaiting - granted));
  return granted;
}

void
UsagePool::TakeBack(const UsageGrantKey& aKey, int aCount)
{
  const auto grant = std::ranges::find(this->outgoing, aKey, &Outgoing::key);
  if (grant == this->outgoing.end()) {
    return; // It counts as expired already.
  }
  const int count = std::clamp(aCount, 0, grant->count);
  grant->count -= count;
  this->outstanding -= count;
  this->level += count;
  this->LimitLevel();
}

Millis
UsagePool::RetryAfter(double aGrowth) const
{
  const double perMilliHere = this->perMilli * this->seen.share;
  if (perMilliHere <= 0) {
    return kMaxRetryAfter; // A cap without a rate, or no loans.
  }
  const double missing = std::max(0.0, this->refused + 1 - this->level);
  const double steady = missing / perMilliHere;
  const double rise =
    std::max(0.0, aGrowth - 1) / static_cast<double>(this->growthTime);
  // The time t in which t + rise x t^2 / 2 reaches the time without growth.
  const double time =
    rise > 0 ? (std::sqrt(1 + 2 * rise * steady) - 1) / rise : steady;
  return std::min(static_cast<Millis>(time) + 1, kMaxRetryAfter);
}

int
UsagePool::Left() const
{
  return static_cast<int>(this->level + kTolerance);
}

} // namespace lacewingwharf
