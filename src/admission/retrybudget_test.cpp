#include "admission/retrybudget.h"

#include <criterion/criterion.h>

using namespace lacewingwharf;

// Without a budget, every call to a failing service is sent again, which is a
// retry storm.
Test(retrybudget, FailingServiceGetsFewRetries)
{
  ManualClock clock;
  RetryBudget budget(clock.View());
  constexpr int kSeconds = 60;
  constexpr int kCallsPerSecond = 1000;
  int retries = 0;
  for (int call = 0; call < kSeconds * kCallsPerSecond; ++call) {
    clock.Advance(1);
    retries += budget.TryTakeRetry("orders") ? 1 : 0;
  }
  cr_assert_leq(retries, 3 * kSeconds + 3);
  cr_assert_geq(retries, 3 * kSeconds - 3);
}

// Retries earned in a healthy period must not allow a retry storm much later.
Test(retrybudget, RetriesEarnedBySuccessesDecay)
{
  ManualClock clock;
  RetryBudget budget(clock.View());
  for (int call = 0; call < 10000; ++call) {
    budget.RecordSuccess("orders");
  }
  cr_assert_geq(budget.Available("orders"), 1000);
  clock.Advance(100000);
  cr_assert_leq(budget.Available("orders"), 4);
}

// One failing service must not use up the retries of another.
Test(retrybudget, ServicesHaveSeparateBudgets)
{
  ManualClock clock;
  RetryBudget budget(clock.View());
  for (int retry = 0; retry < 10; ++retry) {
    budget.TryTakeRetry("orders");
  }
  cr_assert_not(budget.TryTakeRetry("orders"));
  cr_assert(budget.TryTakeRetry("fonts"));
}
