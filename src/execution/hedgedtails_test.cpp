// Second attempts under load: ten entry daemons, ten servers, one of them slow.

#include "execution/hedgesimulation.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

using namespace lacewingwharf;
using namespace lacewingwharf::testing;

namespace {

constexpr double kWindow = 10000;

// The servers complete 308 calls a second if the first one takes 8 times as
// long: (9 + 1/8) x 6 slots / 177.5 ms.
constexpr double kHalfOverCapacity = 460;

HedgeOutcome
Play(HedgeLoad aLoad, double aShare)
{
  aLoad.share = aShare;
  return HedgeSimulation(aLoad).Run();
}

void
Print(const char* aLoad, double aShare, HedgeOutcome& aOutcome)
{
  std::printf("%s share=%.2f calls=%zu answered=%zu p50=%.0f p99=%.0f "
              "p99.9=%.0f runs=%zu slot_s=%.0f second=%zu won=%zu\n",
              aLoad,
              aShare,
              aOutcome.calls,
              aOutcome.answered,
              aOutcome.Quantile(0.5),
              aOutcome.Quantile(0.99),
              aOutcome.Quantile(0.999),
              aOutcome.runs,
              aOutcome.slotMillis / 1000,
              aOutcome.SecondAttempts(),
              aOutcome.events[HedgeEvent::Won]);
}

/** How many of the times, which are sorted, are in (aEnd - 10 s, aEnd]. */
double
CountUntil(const std::vector<double>& aTimes, double aEnd)
{
  return static_cast<double>(std::ranges::upper_bound(aTimes, aEnd) -
                             std::ranges::upper_bound(aTimes, aEnd - kWindow));
}

} // namespace

// The aim of the setting: fewer late answers for a bounded amount of work. The
// median must not suffer, and the servers must not do more than the share.
Test(hedgedtails, second_attempts_cut_the_tail_of_one_slow_server_of_ten)
{
  constexpr double kShare = 0.05;
  for (const std::uint64_t seed : { 1U, 2U, 3U }) {
    for (const double rate : { 60.0, 120.0, 180.0 }) {
      HedgeLoad load;
      load.seed = seed;
      load.callsPerSecond = rate;
      auto off = Play(load, 0);
      auto on = Play(load, kShare);
      const std::string name = fmt::format("seed {} rate {}", seed, rate);
      Print(name.c_str(), 0, off);
      Print(name.c_str(), kShare, on);
      const char* const what = name.c_str();
      cr_expect_lt(on.Quantile(0.99), off.Quantile(0.99), "%s", what);
      cr_expect_lt(on.Quantile(0.999), off.Quantile(0.999), "%s", what);
      cr_expect_lt(on.Quantile(0.5), (1 + kShare) * off.Quantile(0.5));
      cr_expect_leq(on.slotMillis, (1 + kShare) * off.slotMillis, "%s", what);
      const auto calls = static_cast<double>(on.calls);
      cr_expect_leq(static_cast<double>(on.SecondAttempts()), kShare * calls);
      cr_expect_leq(static_cast<double>(on.runs), (1 + kShare) * calls);
      cr_expect_eq(off.SecondAttempts(), 0U);
      cr_expect_leq(off.runs, off.calls, "%s", what);
    }
  }
}

// Where no server is slow, there is nothing to gain: the calls that take
// longest must not become slower, and the work must stay within the share.
Test(hedgedtails, second_attempts_cost_little_where_no_server_is_slow)
{
  constexpr double kShare = 0.05;
  for (const std::uint64_t seed : { 1U, 2U, 3U }) {
    HedgeLoad load;
    load.seed = seed;
    load.slowFactor = 1;
    auto off = Play(load, 0);
    auto on = Play(load, kShare);
    Print("no slow server", 0, off);
    Print("no slow server", kShare, on);
    cr_expect_lt(on.Quantile(0.5), (1 + kShare) * off.Quantile(0.5));
    cr_expect_lt(on.Quantile(0.99), (1 + kShare) * off.Quantile(0.99));
    cr_expect_leq(on.slotMillis, (1 + kShare) * off.slotMillis);
    cr_expect_leq(static_cast<double>(on.runs),
                  (1 + kShare) * static_cast<double>(on.calls));
  }
}

// The share of each entry daemon must hold in each window of 10 s that ends at
// a second attempt, also where it is used up.
Test(hedgedtails, the_share_holds_in_every_window)
{
  for (const double share : { 0.02, 0.05, 0.2 }) {
    for (const std::uint64_t seed : { 4U, 5U }) {
      HedgeLoad load;
      load.seed = seed;
      load.slowRuns = 0.05;
      load.callsPerSecond = 150;
      load.changeAtSecond = 60;
      load.changedCallsPerSecond = 50;
      auto outcome = Play(load, share);
      Print("windows", share, outcome);
      cr_expect_gt(outcome.SecondAttempts(), 0U);
      for (const auto& [daemon, seconds] : outcome.secondAttempts) {
        const auto& calls = outcome.firstAttempts[daemon];
        for (const double end : seconds) {
          cr_assert_leq(CountUntil(seconds, end),
                        share * CountUntil(calls, end),
                        "daemon %zu at %f",
                        daemon,
                        end);
        }
      }
      if (share < 0.05) {
        cr_expect_neq(outcome.withheld[WithheldReason::Share], 0U);
      }
    }
  }
}

// Under overload, second attempts take slots from first ones. There must be
// none when the load is too high from the start.
Test(hedgedtails, there_are_none_under_overload)
{
  for (const std::uint64_t seed : { 6U, 7U, 8U }) {
    HedgeLoad load;
    load.seed = seed;
    load.seconds = 60;
    load.callsPerSecond = kHalfOverCapacity;
    auto outcome = Play(load, 0.2);
    Print("overload", 0.2, outcome);
    cr_expect_eq(
      outcome.SecondAttempts(), 0U, "seed %d", static_cast<int>(seed));
    cr_expect_lt(outcome.answered, outcome.calls);
  }
}

// When an overload begins, they must end as soon as the daemons can know of it:
// the reports come with answers, and a daemon gets one from each server in
// about a second.
Test(hedgedtails, they_end_when_an_overload_begins)
{
  constexpr double kBegin = 40000;
  for (const std::uint64_t seed : { 9U, 10U, 11U }) {
    HedgeLoad load;
    load.seed = seed;
    load.seconds = 80;
    load.changeAtSecond = kBegin / 1000;
    load.changedCallsPerSecond = kHalfOverCapacity;
    auto outcome = Play(load, 0.2);
    std::size_t before = 0;
    std::size_t atOnce = 0;
    std::size_t after = 0;
    for (const auto& [daemon, seconds] : outcome.secondAttempts) {
      for (const double at : seconds) {
        ++(at < kBegin ? before : at < kBegin + 1000 ? atOnce : after);
      }
    }
    std::printf("overload begins, seed %d: before=%zu in the first second=%zu "
                "after=%zu\n",
                static_cast<int>(seed),
                before,
                atOnce,
                after);
    cr_expect_gt(before, 0U);
    cr_expect_eq(after, 0U, "seed %d", static_cast<int>(seed));
  }
}

// Requests that may not be repeated must be treated exactly as without the
// setting: the same messages at the same times.
Test(hedgedtails, requests_that_may_not_be_repeated_are_treated_as_before)
{
  HedgeLoad load;
  load.method = "POST";
  load.seconds = 60;
  auto off = Play(load, 0);
  auto on = Play(load, 0.2);
  cr_assert_gt(off.sent.size(), 1000U);
  cr_expect(on.sent == off.sent);
  cr_expect(on.events.empty());
  cr_expect_leq(off.runs, off.calls);
}
