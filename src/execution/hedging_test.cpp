// The decision on second attempts, without calls and servers.

#include "execution/hedging.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cmath>
#include <optional>
#include <set>
#include <string>
#include <vector>

using namespace lacewingwharf;

namespace {

constexpr const char* kEntry = "tills";
constexpr const char* kService = "orders";
constexpr int kSlots = 6;

EndpointKey
Server(int aNumber)
{
  return { "host-" + std::to_string(aNumber), 8000 };
}

/** A decision with a history in which nothing speaks against an attempt. */
struct Decider
{
  explicit Decider(double aShare = 0.1)
    : hedging({ aShare }, this->clock.View(), SeededRandom(1))
  {
  }

  /** Records calls that took 1 to aAnswers milliseconds. */
  void RecordAnswers(int aAnswers)
  {
    for (int millis = 1; millis <= aAnswers; ++millis) {
      this->hedging.RecordCall(kService);
      this->hedging.RecordResponse(kEntry, millis);
    }
    this->ReportLoad(0, 1, 0);
    this->ReportLoad(1, 1, 0);
  }

  void ReportLoad(int aServer, int aRunning, int aWaiting)
  {
    this->hedging.RecordLoad(
      kService, Server(aServer), { aRunning, aWaiting, kSlots, 0 });
  }

  std::optional<WithheldReason> Reason(int aOpenAttempts = 0,
                                       double aLeft = 1000)
  {
    return this->hedging
      .Decide({ kEntry, kService, Server(0), aOpenAttempts, kSlots, aLeft })
      .withheld;
  }

  ManualClock clock{ 100000 };
  Hedging hedging;
};

} // namespace

// With few answers, the quantile is one of the first answers by chance.
Test(hedging, no_call_is_slow_before_fifty_answers)
{
  Decider decider;
  cr_expect_not(decider.hedging.SlowAfter(kEntry).has_value());
  decider.RecordAnswers(49);
  cr_expect_not(decider.hedging.SlowAfter(kEntry).has_value());
  decider.clock.Advance(200);
  decider.hedging.RecordResponse(kEntry, 50);
  cr_assert(decider.hedging.SlowAfter(kEntry).has_value());
  cr_expect_eq(*decider.hedging.SlowAfter(kEntry), 48); // 0.95 of 50 is 47.5.
  cr_expect_not(decider.hedging.SlowAfter("other").has_value());
}

// Times of an earlier state of the servers must not decide what is slow now.
Test(hedging, old_answers_do_not_count)
{
  Decider decider;
  decider.RecordAnswers(100);
  cr_expect_eq(*decider.hedging.SlowAfter(kEntry), 95);
  decider.clock.Advance(121000);
  cr_expect_not(decider.hedging.SlowAfter(kEntry).has_value());
  // Of many answers, the newest 256 count.
  decider.RecordAnswers(2000);
  decider.clock.Advance(200);
  cr_expect_gt(*decider.hedging.SlowAfter(kEntry), 1900);
}

// Each reason of the requirements must withhold the attempt by itself.
Test(hedging, an_attempt_is_withheld_where_slots_are_short)
{
  Decider decider;
  cr_expect(decider.Reason() == WithheldReason::LoadUnknown);
  decider.RecordAnswers(100);
  cr_expect_not(decider.Reason().has_value());
  cr_expect(decider.Reason(kSlots) == WithheldReason::FirstQueued);
  cr_expect(decider.Reason(0, 49) == WithheldReason::LittleTime);
  decider.ReportLoad(0, 1, 1);
  cr_expect(decider.Reason() == WithheldReason::FirstQueued);
  decider.ReportLoad(0, kSlots - 1, 0);
  cr_expect(decider.Reason() == WithheldReason::FirstQueued);
  decider.ReportLoad(0, 1, 0);
  cr_expect_not(decider.Reason().has_value());
  // The other servers have few free slots on the whole.
  decider.ReportLoad(1, kSlots, kSlots);
  cr_expect(decider.Reason() == WithheldReason::Overload);
  cr_expect(decider.hedging.BusyServers(kService) ==
            std::set<EndpointKey>{ Server(1) });
  decider.ReportLoad(1, 1, 0);
  cr_expect(decider.hedging.BusyServers(kService).empty());
  cr_expect_not(decider.Reason().has_value());
  // A refusal counts for some seconds.
  decider.hedging.RecordRefusal(kService);
  cr_expect(decider.Reason() == WithheldReason::Refusals);
  decider.clock.Advance(2900);
  cr_expect(decider.Reason() == WithheldReason::Refusals);
  decider.clock.Advance(200);
  cr_expect_not(decider.Reason().has_value());
  // Reports that are too old say nothing.
  decider.clock.Advance(2000);
  cr_expect(decider.Reason() == WithheldReason::LoadUnknown);
}

// With a share of 0, nothing may be decided.
Test(hedging, a_share_of_zero_allows_nothing)
{
  Decider decider(0);
  cr_expect_not(decider.hedging.IsEnabled());
  decider.RecordAnswers(100);
  cr_expect(decider.Reason() == WithheldReason::Share);
}

// Decisions that were withheld must not all be taken again at the same time.
Test(hedging, the_next_decision_is_spread)
{
  Decider decider;
  std::vector<double> times(100);
  std::ranges::generate(
    times, [&decider] { return decider.hedging.NextDecisionIn(200); });
  const auto [low, high] = std::ranges::minmax(times);
  cr_expect_geq(low, 100);
  cr_expect_leq(high, 300);
  cr_expect_gt(high - low, 100);
}

// The share must hold in every window of 10 s that ends at a second attempt,
// whatever the load does, also when every call is slow. The times are compared
// exactly, the class counts by intervals.
Test(hedging, the_share_bounds_second_attempts_in_every_window)
{
  constexpr int kSchedules = 100;
  constexpr double kSlowAfter = 100;
  std::size_t attempts = 0;
  for (int seed = 1; seed <= kSchedules; ++seed) {
    const Random random = SeededRandom(static_cast<std::uint64_t>(seed));
    const double share =
      0.01 * static_cast<double>(1 + RandomBelow(random, 20));
    Decider decider(share);
    std::vector<double> calls;
    std::vector<double> seconds;
    double phaseEnd = 0;
    double meanPause = 0;
    const double start = decider.clock.View().PreciseNow();
    const auto now = [&] { return decider.clock.View().PreciseNow(); };
    decider.RecordAnswers(100);
    calls.resize(100, start);
    while (now() < start + 60000) {
      if (now() >= phaseEnd) { // From 1 to 2,000 calls a second.
        phaseEnd = now() + static_cast<double>(RandomBelow(random, 15000));
        meanPause =
          std::pow(10, static_cast<double>(RandomBelow(random, 34)) / 10) / 2;
      }
      const auto pause = static_cast<double>(1 + RandomBelow(random, 1000));
      decider.clock.Advance(meanPause * pause / 500);
      decider.hedging.RecordCall(kService);
      calls.push_back(now());
      decider.clock.Advance(RandomBelow(random, 2) == 0 ? 0 : kSlowAfter / 500);
      decider.ReportLoad(0, 1, 0);
      if (!decider.Reason()) {
        decider.hedging.RecordSecondAttempt(kService);
        seconds.push_back(now());
      }
    }
    for (const double end : seconds) {
      const auto countIn = [end](const std::vector<double>& aTimes) {
        return std::ranges::upper_bound(aTimes, end) -
               std::ranges::upper_bound(aTimes, end - 10000);
      };
      const auto inWindow = countIn(calls);
      const auto used = countIn(seconds);
      cr_assert_leq(static_cast<double>(used),
                    share * static_cast<double>(inWindow),
                    "seed %d at %f",
                    seed,
                    end);
    }
    attempts += seconds.size();
  }
  cr_expect_gt(attempts, 1000U); // The bound was reached.
}
