#pragma once

#include "common/clock.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace lacewingwharf {

/** Limits on the retries that an entry daemon sends to one service. */
struct RetryBudgetConfig
{
  /**
   * Retries earned by each successful call. They add at most this fraction to
   * the load of a failing service.
   */
  double perSuccess = 0.1;

  /** Retries per second that are available without any successful call. */
  double perSecond = 3;

  /** Largest number of unused retries that perSecond accumulates. */
  double burst = 3;
};

/**
 * Limits the retries that an entry daemon sends to each service. Retries become
 * available through recent successful calls and with time.
 */
class RetryBudget
{
public:
  explicit RetryBudget(Clock aClock, RetryBudgetConfig aConfig = {});

  void SetConfig(const RetryBudgetConfig& aConfig);

  void RecordSuccess(std::string_view aService);

  /** Takes one retry. Returns false when the budget of the service is empty. */
  bool TryTakeRetry(std::string_view aService);

  /** Number of whole retries that are available now. */
  int Available(std::string_view aService);

private:
  struct Balance
  {
    double fromSuccesses = 0;
    double fromTime = 0;
    double updatedAt = 0;
  };

  Balance& UpdatedBalance(std::string_view aService);

  Clock clock;
  RetryBudgetConfig config;
  std::map<std::string, Balance, std::less<>> balances;
};

} // namespace lacewingwharf
