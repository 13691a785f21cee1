#pragma once

#include "catalogue/entry.h"
#include "common/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lacewingwharf {

/** The right to run one call, or several of them. */
struct UsageToken
{
  std::string accountant;
  std::int64_t sequence = 0; // Of the request for it.
  Millis expiresAt = 0;
  int count = 1;
};

/** A call that waits for a token. */
struct UsageWaiter
{
  std::string callId;
  Millis until = 0;
};

/** Tokens, demand and waiting calls of one team at an entry daemon. */
class UsageTokens
{
public:
  void Add(UsageToken aTokens, Millis aNow);

  /** Takes the token that expires first. */
  std::optional<UsageToken> Spend(Millis aNow);

  /** Takes the tokens of an accountant that expire before aBefore. */
  std::vector<UsageToken> TakeExpiring(const std::string& aAccountant,
                                       Millis aBefore,
                                       Millis aNow);
  int Held(Millis aNow);

  void CountArrival();

  /** Updates the demand at the end of an interval of requests. */
  void EndRound();

  /** Calls that are expected in an interval of requests. */
  int Expected() const;

  /** Whether there are calls, tokens or demand. */
  bool IsIdle() const;

  void Wait(WorkClass aClass, UsageWaiter aWaiter);

  /** Removes a waiting call. False when it does not wait. */
  bool Cancel(const std::string& aCallId);

  /** Takes the next call to be served: by class, then by arrival. */
  std::optional<UsageWaiter> TakeWaiter();
  std::vector<UsageWaiter> TakeOverdue(Millis aNow);

  /** Until when the next call to be served waits; 0 when none waits. */
  Millis NextUntil() const;
  int Waiting() const;

private:
  void DropExpired(Millis aNow);

  std::vector<UsageToken> tokens;
  std::map<std::pair<WorkClass, std::uint64_t>, UsageWaiter> waiters;
  std::uint64_t nextWaiter = 0;
  int arrivals = 0;
  double demand = 0; // Calls in an interval.
};

inline void
UsageTokens::CountArrival()
{
  ++this->arrivals;
}

inline Millis
UsageTokens::NextUntil() const
{
  return this->waiters.empty() ? 0 : this->waiters.begin()->second.until;
}

inline int
UsageTokens::Waiting() const
{
  return static_cast<int>(this->waiters.size());
}

} // namespace lacewingwharf
