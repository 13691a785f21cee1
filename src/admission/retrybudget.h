#pragma once

#include "common/clock.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace lacewingwharf {

/** How many retries an entry daemon may send to one service. */
struct RetryBudgetConfig
{
  /** Retries per successful call; a failing service sees this much more load.
   */
  double perSuccess = 0.1;

  /** Retries per second, whatever succeeds. */
  double perSecond = 3;

  /** Most retries that perSecond saves up while none is needed. */
  double burst = 3;
};

/**
 * Bounds the retries that an entry daemon sends to each service by its recent
 * successes and by time.
 */
class RetryBudget
{
public:
  explicit RetryBudget(Clock aClock, RetryBudgetConfig aConfig = {});

  void SetConfig(const RetryBudgetConfig& aConfig);

  void RecordSuccess(std::string_view aService);

  /** Takes one retry; false when the budget of the service is used up. */
  bool TryTakeRetry(std::string_view aService);

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
  RetryBudgetConfig config;
  std::map<std::string, Account, std::less<>> accounts;
};

} // namespace lacewingwharf
