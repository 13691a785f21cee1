// Tokens of an entry daemon and the times that the bound of a cap allows.

#include "usage/usagetokens.h"

#include "usage/usagetimes.h"

#include <criterion/criterion.h>

using namespace lacewingwharf;

namespace {

constexpr Millis kStart = 100000;

} // namespace

// Calls of a lower class must not pass those of a higher one.
Test(usagetokens, CallsWaitInOrderOfClassThenArrival)
{
  UsageTokens tokens;
  tokens.Wait(WorkClass::Batch, { "batch", kStart });
  tokens.Wait(WorkClass::Critical, { "first", kStart });
  tokens.Wait(WorkClass::Critical, { "second", kStart });
  cr_assert_eq(tokens.TakeWaiter()->callId, "first");
  cr_assert_eq(tokens.TakeWaiter()->callId, "second");
  cr_assert_eq(tokens.TakeWaiter()->callId, "batch");
  cr_assert_not(tokens.TakeWaiter().has_value());
}

// An expired token is no longer counted by its accountant.
Test(usagetokens, ExpiredTokensAreNotSpent)
{
  UsageTokens tokens;
  tokens.Add({ "x", 1, kStart + 10, 2 }, kStart);
  tokens.Add({ "x", 2, kStart + 5, 1 }, kStart);
  cr_assert_eq(tokens.Spend(kStart)->sequence, 2);
  cr_assert_eq(tokens.Held(kStart + 9), 2);
  cr_assert_not(tokens.Spend(kStart + 10).has_value());
  tokens.Add({ "x", 3, kStart + 5, 1 }, kStart + 5);
  cr_assert_eq(tokens.Held(kStart + 5), 0);
}

// Times that exceed the overage would break the bound of a small window.
Test(usagetokens, WaitAndTokenTimeUseUpTheOverage)
{
  const UsageTimes usual = MakeUsageTimes({});
  cr_assert_eq(usual.tokenTime + usual.tokenWait, 500);
  const UsageTimes narrow = MakeUsageTimes({ 2000, 0.1, 20 });
  cr_assert_eq(narrow.tokenTime + narrow.tokenWait, 200);
  cr_assert_geq(narrow.relendTime, narrow.loanTime + narrow.outstandingTime);
}

// Without overage, the times must not become zero, which would refuse all
// calls, and the window must not have more tokens than the bound.
Test(usagetokens, WithoutOverageTheRateIsLowered)
{
  cr_assert_float_eq(MakeUsageTimes({}).rateShare, 1, 1e-9);
  for (const Millis window : { 1000, 2000, 5000, 60000 }) {
    for (const double overage : { 0.0, 0.001, 0.01, 0.1 }) {
      const UsageTimes times = MakeUsageTimes({ window, overage, 20 });
      const auto tokens =
        times.rateShare *
        static_cast<double>(window + times.tokenWait + times.tokenTime);
      cr_assert_leq(tokens, static_cast<double>(window) * (1 + overage) + 1e-6);
      cr_assert_geq(times.rateShare, 0.95);
      cr_assert_geq(times.tokenWait, 10);
      cr_assert_geq(times.roundInterval, 20);
    }
  }
}
