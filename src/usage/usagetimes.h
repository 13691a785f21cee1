#pragma once

#include "common/clock.h"

#include <string_view>

namespace lacewingwharf {

/**
 * The calls of a team that arrive within any window and run are at most
 * (rate x window + burst) x (1 + overage) + slack.
 */
struct UsageBound
{
  Millis window = 5000;
  double overage = 0.1;
  double slack = 20;
};

/** The periods of usage caps; see docs/design/usage-caps.md. */
struct UsageTimes
{
  /** How long a call waits for a token. */
  Millis tokenWait = 150;

  /** How long an entry daemon may spend a token, from its request. */
  Millis tokenTime = 350;

  /** How long an accountant counts a granted token as unspent. */
  Millis outstandingTime = 350;

  /** How long an accountant counts a loan, from the stamp that is echoed. */
  Millis loanTime = 1500;

  /**
   * How long a lender keeps a half from other accountants after its last
   * request: the loan and the last tokens granted under it have ended.
   */
  Millis relendTime = 1850;

  /**
   * Within this time after a member was in contact with any other one, all
   * others have heard of it and divide the caps by a number that counts it.
   * Records spread within 1 s; usagemodel lets them take this time.
   */
  Millis spreadTime = 1500;

  /** Interval of requests for tokens. */
  Millis roundInterval = 250;

  /**
   * Interval of requests that only lend. A request echoes the stamp of the
   * reply before it, so that a loan has at least loanTime - lendInterval left
   * after each request: two exchanges in a row may be lost, and an accountant
   * may pause for loanTime - 2 x lendInterval. An accountant of 300 members
   * handles 1,000 of them a second.
   */
  Millis lendInterval = 300;

  /**
   * Calls of the slack that are added to the burst, so that a pool of a few
   * calls a second has room for one token beside those granted before.
   */
  double spareTokens = 10;

  /**
   * Part of the rate at which pools are refilled. Below 1 where the overage
   * leaves too little time for tokens.
   */
  double rateShare = 1;

  /** After this time without a reply, an accountant counts as silent. */
  Millis silence = 1000;
};

/**
 * The wait and the life of a token together use up the overage, whatever the
 * burst: in a window of arrivals, tokens are spent that were in existence
 * before it, and tokens that were created up to one wait after it. With little
 * or no overage they have a shortest time, and the rate is lowered instead.
 */
UsageTimes
MakeUsageTimes(const UsageBound& aBound);

/** Teams are divided into this number of groups; each has its accountants. */
inline constexpr int kUsageGroups = 4;
inline constexpr int kUsageHalves = 2;
inline constexpr int kUsageLoans = kUsageGroups * kUsageHalves;

/** Numbers of messages are limited to these on receipt. */
inline constexpr int kMaxUsageMembers = 100000;
inline constexpr int kMaxUsageCount = 1000000;

int
UsageGroupOf(std::string_view aTeam);

/** Index of a half in arrays and in the bits of UsageRequest::lent. */
constexpr int
LoanIndex(int aGroup, int aHalf)
{
  return aGroup * kUsageHalves + aHalf;
}

} // namespace lacewingwharf
