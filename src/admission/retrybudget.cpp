#include "admission/retrybudget.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr double kMillisPerSecond = 1000;

// Time constant with which retries earned by successes decay. Without the
// decay, a long healthy period would allow a retry storm.
constexpr double kSuccessDecayMillis = 10000;

} // namespace

RetryBudget::RetryBudget(Clock aClock, RetryBudgetConfig aConfig)
  : clock(std::move(aClock))
  , config(aConfig)
{
}

void
RetryBudget::SetConfig(const RetryBudgetConfig& aConfig)
{
  this->config = aConfig;
}

void
RetryBudget::RecordSuccess(std::string_view aService)
{
  this->UpdatedBalance(aService).fromSuccesses += this->config.perSuccess;
}

bool
RetryBudget::TryTakeRetry(std::string_view aService)
{
  Balance& balance = this->UpdatedBalance(aService);
  if (balance.fromSuccesses + balance.fromTime < 1) {
    return false;
  }
  const double takenFromTime = std::min(1.0, balance.fromTime);
  balance.fromTime -= takenFromTime;
  balance.fromSuccesses -= 1 - takenFromTime;
  return true;
}

int
RetryBudget::Available(std::string_view aService)
{
  const Balance& balance = this->UpdatedBalance(aService);
  return static_cast<int>(balance.fromSuccesses + balance.fromTime);
}

RetryBudget::Balance&
RetryBudget::UpdatedBalance(std::string_view aService)
{
  const double now = this->clock.PreciseNow();
  auto found = this->balances.find(aService);
  if (found == this->balances.end()) {
    const Balance initial{ 0, this->config.burst, now };
    found = this->balances.emplace(std::string(aService), initial).first;
  }
  Balance& balance = found->second;
  const double elapsed = now - balance.updatedAt;
  balance.fromTime = std::min(
    this->config.burst,
    balance.fromTime + elapsed * this->config.perSecond / kMillisPerSecond);
  balance.fromSuccesses *= std::exp(-elapsed / kSuccessDecayMillis);
  balance.updatedAt = now;
  return balance;
}

} // namespace lacewingwharf
