#include "usage/usagemodel.h"

#include "common/log.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <string>
#include <vector>

namespace {

using namespace lacewingwharf;
using namespace lacewingwharf::testing;

/** The bound holds for windows of every length. */
constexpr std::array<Millis, 4> kWindows{ 250, 1000, 2500, 5000 };

constexpr std::uint64_t kCutOffSeeds = 200;

/** A schedule of trouble whose fleet and cap depend on the seed. */
UsageSchedule
ScheduleOf(std::uint64_t aSeed, UsageFault aFault)
{
  UsageSchedule schedule;
  schedule.seed = aSeed;
  schedule.fault = aFault;
  schedule.hosts = 2 + static_cast<int>(aSeed % 4);
  schedule.rate = 10 + static_cast<int>(aSeed % 3) * 10;
  schedule.burst = schedule.rate * static_cast<int>(aSeed % 5) / 2;
  return schedule;
}

/** Hosts restart and join, often while they are cut off from the others. */
UsageSchedule
CutOffScheduleOf(std::uint64_t aSeed, UsageFault aFault)
{
  UsageSchedule schedule = ScheduleOf(aSeed, aFault);
  schedule.isOftenCutOff = true;
  schedule.hosts = 2 + static_cast<int>(aSeed % 2);
  schedule.length = 30000;
  schedule.load = 4;
  schedule.isLoadSteady = true;
  return schedule;
}

constexpr std::uint64_t kRestartSeeds = 500;

/**
 * All hosts die and start again, up to three times in a row, in half of the
 * seeds beside other troubles and in half of them with hosts that are cut off.
 */
UsageSchedule
RestartScheduleOf(std::uint64_t aSeed, UsageFault aFault)
{
  UsageSchedule schedule = ScheduleOf(aSeed, aFault);
  schedule.hasTroubles = aSeed % 2 == 0;
  schedule.isCutOffAtRestart = aSeed % 4 < 2;
  schedule.restartAllAt = 3000;
  schedule.restarts = 1 + static_cast<int>(aSeed % 3);
  schedule.length = 20000;
  schedule.isLoadSteady = aSeed % 8 < 4;
  return schedule;
}

/** What callers get at 0.6 of the cap around a restart of all daemons. */
std::vector<UsageSecond>
SecondsOfRestarts(int aRate, bool aIsCutOff)
{
  constexpr std::uint64_t kSeeds = 40;
  std::vector<UsageSecond> sums(UsageModel::kRestartSeconds);
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    UsageSchedule schedule;
    schedule.seed = seed;
    schedule.hosts = 12;
    schedule.rate = aRate;
    schedule.burst = aRate;
    schedule.load = 0.6;
    schedule.isLoadSteady = true;
    schedule.hasTroubles = false;
    schedule.restartAllAt = 6000;
    schedule.isCutOffAtRestart = aIsCutOff;
    schedule.length = 15000;
    UsageModel model(schedule);
    model.Run();
    const std::vector<UsageSecond> seconds = model.SecondsOfRestart();
    for (std::size_t second = 0; second < sums.size(); ++second) {
      sums[second].offered += seconds[second].offered;
      sums[second].granted += seconds[second].granted;
    }
  }
  return sums;
}

double
GrantedPart(const UsageSecond& aSecond)
{
  return static_cast<double>(aSecond.granted) / std::max(1, aSecond.offered);
}

std::string
TextOf(const std::vector<UsageSecond>& aSeconds)
{
  std::string text;
  for (const UsageSecond& second : aSeconds) {
    text += fmt::format(" {:.3f} of {}", GrantedPart(second), second.offered);
  }
  return text;
}

/**
 * Tokens spent after their end, or calls above the bound of the design, rate x
 * (window + token time + wait) + burst + spare tokens, which is below the
 * product's bound. One millisecond of the clock's resolution is added.
 */
int
Excess(const UsageSchedule& aSchedule)
{
  UsageModel model(aSchedule);
  model.Run();
  const UsageTimes times = MakeUsageTimes({});
  if (model.lateSpends > 0) {
    return model.lateSpends;
  }
  int excess = -aSchedule.burst;
  for (const Millis window : kWindows) {
    const Millis span = window + times.tokenTime + times.tokenWait + 1;
    const double bound = static_cast<double>(aSchedule.rate * span) / 1000 +
                         aSchedule.burst + times.spareTokens;
    excess = std::max(excess,
                      static_cast<int>(model.WorstWindow(window)) -
                        static_cast<int>(bound));
  }
  return excess;
}

void
CheckSeeds(std::uint64_t aFirst, std::uint64_t aEnd)
{
  Log::SetLevel(LogLevel::Error);
  for (std::uint64_t seed = aFirst; seed < aEnd; ++seed) {
    const int excess = Excess(ScheduleOf(seed, UsageFault::None));
    cr_assert_leq(excess, 0, "seed %d: %d above the bound", int(seed), excess);
  }
}

int
SeedsAbove(UsageFault aFault)
{
  Log::SetLevel(LogLevel::Error);
  constexpr std::uint64_t kSeeds = 400;
  int caught = 0;
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    caught += Excess(ScheduleOf(seed, aFault)) > 0 ? 1 : 0;
  }
  return caught;
}

} // namespace

// Guards against any window above the cap, whatever messages are lost, late or
// repeated and whichever hosts are killed, restarted, suspended or cut off.
// Hosts join, also while others are cut off from them, and processes that start
// know nobody.
Test(usagemodel, bound_holds_in_seeds_0_to_499)
{
  CheckSeeds(0, 500);
}

Test(usagemodel, bound_holds_in_seeds_500_to_999)
{
  CheckSeeds(500, 1000);
}

Test(usagemodel, bound_holds_in_seeds_1000_to_1499)
{
  CheckSeeds(1000, 1500);
}

Test(usagemodel, bound_holds_in_seeds_1500_to_1999)
{
  CheckSeeds(1500, 2000);
}

// A process that starts alone on its side of a partition, or joins there, must
// not take a share that the members on the other side also have.
Test(usagemodel, bound_holds_for_hosts_that_start_while_cut_off)
{
  Log::SetLevel(LogLevel::Error);
  for (std::uint64_t seed = 0; seed < kCutOffSeeds; ++seed) {
    const int excess = Excess(CutOffScheduleOf(seed, UsageFault::None));
    cr_assert_leq(excess, 0, "seed %d: %d above the bound", int(seed), excess);
  }
}

// Processes that start again must not lend what the earlier ones have lent, and
// accountants that start again must not grant what the earlier ones have.
Test(usagemodel, bound_holds_when_all_daemons_restart)
{
  Log::SetLevel(LogLevel::Error);
  for (std::uint64_t seed = 0; seed < kRestartSeeds; ++seed) {
    const int excess = Excess(RestartScheduleOf(seed, UsageFault::None));
    cr_assert_leq(excess, 0, "seed %d: %d above the bound", int(seed), excess);
  }
}

// The schedules with restarts of all daemons must see the faults as well.
Test(usagemodel, finds_faults_when_all_daemons_restart)
{
  Log::SetLevel(LogLevel::Error);
  for (const UsageFault fault : { UsageFault::FullBucketAtStart,
                                  UsageFault::SpentAfterExpiry,
                                  UsageFault::LentTwice }) {
    int caught = 0;
    for (std::uint64_t seed = 0; seed < kRestartSeeds; ++seed) {
      caught += Excess(RestartScheduleOf(seed, fault)) > 0 ? 1 : 0;
    }
    cr_log_info(
      "fault %d: %d seeds of 500 above the bound", int(fault), caught);
    cr_expect_gt(caught, 0, "fault %d", int(fault));
  }
}

// After a loss of power everywhere, callers must get calls granted within 1 s
// after the daemons accept calls again, at the part that they get without
// faults.
Test(usagemodel, grants_within_a_second_after_a_restart_of_all_daemons)
{
  Log::SetLevel(LogLevel::Error);
  for (const int rate : { 20, 300 }) {
    const std::vector<UsageSecond> seconds = SecondsOfRestarts(rate, false);
    const std::string text = TextOf(seconds);
    cr_log_info("rate %d, granted by second:%s", rate, text.c_str());
    for (std::size_t second = UsageModel::kSecondsBefore + 1;
         second < seconds.size();
         ++second) {
      cr_expect_geq(GrantedPart(seconds[second]),
                    0.95,
                    "rate %d second %zu:%s",
                    rate,
                    second,
                    text.c_str());
    }
    const std::vector<UsageSecond> cut = SecondsOfRestarts(rate, true);
    cr_log_info("rate %d, some cut off, granted:%s", rate, TextOf(cut).c_str());
  }
}

// The pools of a team that is added again must not bring the tokens that it has
// spent before it was removed, whichever accountant learns of it first.
Test(usagemodel, bound_holds_when_the_team_is_removed_and_added_again)
{
  Log::SetLevel(LogLevel::Error);
  constexpr std::uint64_t kSeeds = 500;
  int caught = 0;
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    UsageSchedule schedule = ScheduleOf(seed, UsageFault::None);
    schedule.hasVersions = true;
    schedule.length = 20000;
    schedule.hasTroubles = seed % 2 == 0;
    schedule.isLoadSteady = seed % 4 < 2;
    const int excess = Excess(schedule);
    cr_assert_leq(excess, 0, "seed %d: %d above the bound", int(seed), excess);
    schedule.fault = UsageFault::NewTeamStartsFull;
    caught += Excess(schedule) > 0 ? 1 : 0;
  }
  cr_log_info("%d seeds of 500 above the bound with full pools", caught);
  cr_assert_gt(caught, 0);
}

// A deployment whose bound has no overage must keep it without refusing calls
// below the cap: in the time in which tokens live, a team with a high rate
// would exceed the slack.
Test(usagemodel, holds_a_bound_without_overage)
{
  Log::SetLevel(LogLevel::Error);
  for (std::uint64_t seed = 0; seed < 12; ++seed) {
    UsageSchedule schedule;
    schedule.seed = seed;
    schedule.bound.overage = 0;
    schedule.rate = 1500;
    schedule.burst = seed % 2 == 0 ? 0 : schedule.rate;
    // Loads above the cap come in periods, after which the pools are full.
    schedule.load = seed < 8 ? 4 : 0.6;
    schedule.isLoadSteady = schedule.load < 1;
    schedule.hasTroubles = false;
    UsageModel model(schedule);
    model.Run();
    const UsageBound& bound = schedule.bound;
    const double limit =
      schedule.rate * static_cast<double>(bound.window) / 1000 +
      schedule.burst + bound.slack;
    const auto worst = static_cast<double>(model.WorstWindow(bound.window));
    cr_assert_leq(
      worst, limit, "seed %d: %.0f of %.0f", int(seed), worst, limit);
    const double refused =
      static_cast<double>(model.refused) / static_cast<double>(model.offered);
    cr_assert(schedule.load > 1 || refused <= 0.05,
              "seed %d: %.3f refused",
              int(seed),
              refused);
  }
}

// The model must see the faults that it guards against.
Test(usagemodel, finds_an_accountant_that_starts_with_a_full_bucket)
{
  const int caught = SeedsAbove(UsageFault::FullBucketAtStart);
  cr_log_info("%d seeds of 400 above the bound", caught);
  cr_assert_gt(caught, 0);
}

Test(usagemodel, finds_tokens_that_are_spent_after_their_end)
{
  const int caught = SeedsAbove(UsageFault::SpentAfterExpiry);
  cr_log_info("%d seeds of 400 above the bound", caught);
  cr_assert_gt(caught, 0);
}

Test(usagemodel, finds_halves_that_are_lent_before_their_loan_has_ended)
{
  const int caught = SeedsAbove(UsageFault::LentTwice);
  cr_log_info("%d seeds of 400 above the bound", caught);
  cr_assert_gt(caught, 0);
}

Test(usagemodel, finds_caps_divided_among_the_few_members_known_at_first)
{
  Log::SetLevel(LogLevel::Error);
  int caught = 0;
  for (std::uint64_t seed = 0; seed < kCutOffSeeds; ++seed) {
    const UsageSchedule schedule =
      CutOffScheduleOf(seed, UsageFault::IncompleteMembers);
    caught += Excess(schedule) > 0 ? 1 : 0;
  }
  cr_log_info("%d seeds of 200 above the bound", caught);
  cr_assert_gt(caught, 0);
}

// A team with few calls a second must not be refused because several of them
// arrive close together: its pools hold the spare tokens as well.
Test(usagemodel, grants_a_small_demand_at_many_hosts)
{
  Log::SetLevel(LogLevel::Error);
  std::size_t offered = 0;
  std::size_t refused = 0;
  for (std::uint64_t seed = 0; seed < 6; ++seed) {
    UsageSchedule schedule;
    schedule.seed = seed;
    schedule.hosts = 40;
    schedule.rate = 3;
    schedule.burst = 3;
    schedule.length = 90000;
    schedule.warmUp = 15000; // The pools take 8 s to fill.
    schedule.load = 0.62;
    schedule.isLoadSteady = true;
    schedule.isBursty = true;
    schedule.hasTroubles = false;
    UsageModel model(schedule);
    model.Run();
    offered += model.offered;
    refused += model.refused;
  }
  cr_log_info("%zu of %zu refused", refused, offered);
  cr_assert_leq(static_cast<double>(refused),
                0.005 * static_cast<double>(offered),
                "%zu of %zu refused",
                refused,
                offered);
}

// Guards against calls that are refused although the team is below its cap.
Test(usagemodel, grants_a_demand_below_the_cap)
{
  Log::SetLevel(LogLevel::Error);
  for (std::uint64_t seed = 0; seed < 8; ++seed) {
    UsageSchedule schedule;
    schedule.seed = seed;
    schedule.hosts = 12;
    schedule.rate = seed % 2 == 0 ? 20 : 300;
    schedule.burst = schedule.rate;
    schedule.load = 0.6;
    schedule.isLoadSteady = true;
    schedule.hasTroubles = false;
    UsageModel model(schedule);
    model.Run();
    cr_assert_gt(model.offered, 50U);
    cr_assert_leq(static_cast<double>(model.refused),
                  0.05 * static_cast<double>(model.offered),
                  "seed %d: %zu of %zu refused",
                  int(seed),
                  model.refused,
                  model.offered);
  }
}
