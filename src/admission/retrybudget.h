#pragma once

#include "common/clock.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace lacewingwharf {

/**
 * Bounds the retries that an entry daemon sends to each service: 10% of recent
 * successes plus 3 a second, so that a failing service sees at most a tenth
 * more load from retries.
 */
class RetryBudget
{
public:
  explicit RetryBudget(Clock aClock);

  void CountSuccess(std::string_view aService);

  /** Takes one retry; false when the budget of the service is used up. */
  bool TryRetry(std::string_view aService);

  /** Whole retries that are left now. */
  int Available(std::string_view aService);

private:
  struct Account
  {
    double fromSuccesses = 0;
    double fromTime = 0;
    double updatedAt = 0;
  };

  Account& Updated(std::string_view aService);

  Clock clock;
  std::map<std::string, Account, std::less<>> accounts;
};

} // namespace lacewingwharf
