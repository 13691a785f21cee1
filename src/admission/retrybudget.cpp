#include "admission/retrybudget.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr double kMillisPerSecond = 1000;

// Credit of earlier successes decays with this time constant; otherwise a long
// healthy period would pay for a retry storm.
constexpr double kRecentMillis = 10000;

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
  this->Updated(aService).fromSuccesses += this->config.perSuccess;
}

bool
RetryBudget::TryTakeRetry(std::string_view aService)
{
  Account& account = this->Updated(aService);
  if (account.fromSuccesses + account.fromTime < 1) {
    return false;
  }
  const double timePart = std::min(1.0, account.fromTime);
  account.fromTime -= timePart;
  account.fromSuccesses -= 1 - timePart;
  return true;
}

int
RetryBudget::Available(std::string_view aService)
{
  const Account& account = this->Updated(aService);
  return static_cast<int>(account.fromSuccesses + account.fromTime);
}

RetryBudget::Account&
RetryBudget::Updated(std::string_view aService)
{
  const double now = this->clock.PreciseNow();
  auto found = this->accounts.find(aService);
  if (found == this->accounts.end()) {
    const Account fresh{ 0, this->config.burst, now };
    found = this->accounts.emplace(std::string(aService), fresh).first;
  }
  Account& account = found->second;
  const double elapsed = now - account.updatedAt;
  account.fromTime = std::min(
    this->config.burst,
    account.fromTime + elapsed * this->config.perSecond / kMillisPerSecond);
  account.fromSuccesses *= std::exp(-elapsed / kRecentMillis);
  account.updatedAt = now;
  return account;
}

} // namespace lacewingwharf
