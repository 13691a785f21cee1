#include "admission/retrybudget.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr double kRetriesPerSuccess = 0.1;
constexpr double kRetriesPerMilli = 3.0 / 1000;

// One second's worth, so that an idle service can still retry a short fault.
constexpr double kTimeBurst = 3;

// Credit of earlier successes decays with this time constant; otherwise a long
// healthy period would pay for a retry storm.
constexpr double kRecentMillis = 10000;

} // namespace

RetryBudget::RetryBudget(Clock aClock)
  : clock(std::move(aClock))
{
}

void RetryBudget::CountSuccess(std::string_view aService)
{
  this->Updated(aService).fromSuccesses += kRetriesPerSuccess;
}

bool RetryBudget::TryRetry(std::string_view aService)
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

int RetryBudget::Available(std::string_view aService)
{
  const Account& account = this->Updated(aService);
  return static_cast<int>(account.fromSuccesses + account.fromTime);
}

RetryBudget::Account& RetryBudget::Updated(std::string_view aService)
{
  const double now = this->clock.PreciseNow();
  auto found = this->accounts.find(aService);
  if (found == this->accounts.end()) {
    const Account fresh{ 0, kTimeBurst, now };
    found = this->accounts.emplace(std::string(aService), fresh).first;
  }
  Account& account = found->second;
  const double elapsed = now - account.updatedAt;
  account.fromTime =
    std::min(kTimeBurst, account.fromTime + elapsed * kRetriesPerMilli);
  account.fromSuccesses *= std::exp(-elapsed / kRecentMillis);
  account.updatedAt = now;
  return account;
}

} // namespace lacewingwharf
