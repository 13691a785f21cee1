#pragma once

#include "usage/usagetimes.h"

#include <cstdint>
#include <deque>
#include <string>

namespace lacewingwharf {

/** The part of all caps of a group that is lent to an accountant. */
struct UsageShare
{
  double share = 0;   // Halves lent / (2 x members).
  double elapsed = 0; // Integral of the share over time, in milliseconds.
};

/** UsageAnswer::left of a pool to which nothing is lent. */
inline constexpr int kUsageNoLoans = -1;

/** Identifies the tokens of one grant. */
struct UsageGrantKey
{
  std::int64_t sequence = 0;
  std::int64_t incarnation = 0;
  std::string host;

  bool operator==(const UsageGrantKey&) const = default;
};

/**
 * The token bucket of one team at an accountant. Tokens that are granted and
 * may still be unspent count towards the depth, so that tokens which are
 * returned and granted again never add up to more than it.
 */
class UsagePool
{
public:
  explicit UsagePool(const UsageShare& aShare);

  /** Empties a pool without grants; it is refilled from aNow on. */
  void Restart(const UsageShare& aShare, Millis aNow);

  /** Takes effect at once; a lower depth discards the tokens above it. */
  void SetCap(int aRate, int aBurst, const UsageTimes& aTimes);

  /** Adds the tokens of the time since the last call. */
  void Advance(const UsageShare& aShare, Millis aNow);

  /**
   * Grants up to aWanted tokens: one for each of aWaiting calls while there are
   * any, and more only from the upper part of the pool. Of aWaiting calls,
   * those without a token count as refused.
   */
  int Grant(const UsageGrantKey& aKey, int aWanted, int aWaiting, Millis aNow);

  /**
   * Takes back unspent tokens of a grant. The others of the grant remain
   * outstanding until their end, because a call that is refused without having
   * run releases its token. Must not be called twice for one message.
   */
  void TakeBack(const UsageGrantKey& aKey, int aCount);

  /**
   * Time until the calls that were refused before and one more have tokens, if
   * the share of the pool grows steadily to aGrowth times its value in the time
   * in which daemons that have started begin to lend.
   */
  Millis RetryAfter(double aGrowth) const;

  /** Tokens that can be granted. */
  int Left() const;

  /** Whether halves are lent to it; without them it says nothing of the cap. */
  bool HasLoans() const;
  int Outstanding() const;

private:
  struct Outgoing
  {
    UsageGrantKey key;
    int count = 0;
    Millis until = 0;
  };

  void LimitLevel();

  UsageShare seen;
  Millis advancedAt = 0;
  double perMilli = 0; // Of the whole cap.
  double depth = 0;    // Of the whole cap.
  Millis outstandingTime = 0;
  Millis growthTime = 0; // In which an expected share arrives.
  double level = 0;
  double refused = 0; // Calls that were refused and may come back.
  int outstanding = 0;
  std::deque<Outgoing> outgoing; // In order of their end.
};

inline bool
UsagePool::HasLoans() const
{
  return this->seen.share > 0;
}

inline int
UsagePool::Outstanding() const
{
  return this->outstanding;
}

} // namespace lacewingwharf
