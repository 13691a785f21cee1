#include "rollout/rolloutmodelparts.h"

#include "common/log.h"

#include <criterion/criterion.h>

#include <array>
#include <string>

using namespace lacewingwharf;
using namespace lacewingwharf::rolloutmodel;

namespace {

// The bounds of the site.
constexpr double kExposureShare = 0.1;
constexpr double kExposureSlack = 50;

constexpr std::array<Quality, 6> kQualities{
  Quality::Good,         Quality::BadAtOnce, Quality::BadLater,
  Quality::BadUnderLoad, Quality::BadRoute,  Quality::SlowAnswers
};

/** Returns what breaks a bound that holds in every schedule. */
std::string
BrokenBound(const Schedule& aSchedule, const Outcome& aOutcome)
{
  const double most =
    kExposureShare * double(aOutcome.requests) + kExposureSlack;
  const bool isBad = aSchedule.quality != Quality::Good;
  if (isBad && double(aOutcome.exposed) > most) {
    return fmt::format("exposed {} of {}", aOutcome.exposed, aOutcome.requests);
  }
  if (isBad && aOutcome.exposedTooLate > 0) {
    return fmt::format("{} too late", aOutcome.exposedTooLate);
  }
  if (aOutcome.exposedBefore > 0) {
    return fmt::format("{} before the order", aOutcome.exposedBefore);
  }
  if (aOutcome.exposedAfter > 0) {
    return fmt::format("{} after the end", aOutcome.exposedAfter);
  }
  if (!aOutcome.firstEnd.empty() && aOutcome.firstEnd != aOutcome.state) {
    return fmt::format("{}, then {}", aOutcome.firstEnd, aOutcome.state);
  }
  return {};
}

Schedule
CalmSchedule(std::uint64_t aSeed)
{
  Schedule schedule;
  schedule.seed = aSeed;
  schedule.quality = kQualities[aSeed % kQualities.size()];
  schedule.rate = aSeed % 4 == 0 ? 250 : 60;
  schedule.daemons = aSeed % 3 == 0 ? 16 : 6;
  return schedule;
}

Schedule
DisturbedSchedule(std::uint64_t aSeed)
{
  Schedule schedule = CalmSchedule(aSeed);
  schedule.losesMessages = aSeed % 2 == 0;
  schedule.killsDecider = aSeed % 5 < 2;
  schedule.cutsDecider = aSeed % 5 == 2 || aSeed % 11 == 0;
  schedule.cutsMember = aSeed % 3 == 1;
  schedule.stopsStore = aSeed % 5 == 3 || aSeed % 13 == 0;
  schedule.slowsStore = aSeed % 7 == 0;
  return schedule;
}

Outcome
RunSchedule(const Schedule& aSchedule)
{
  Log::SetLevel(LogLevel::Error);
  return Fleet(aSchedule).Run();
}

void
ExpectBounds(std::uint64_t aFirst, std::uint64_t aLast, int aRestores)
{
  for (std::uint64_t seed = aFirst; seed < aLast; ++seed) {
    Schedule schedule = DisturbedSchedule(seed);
    schedule.restores = aRestores;
    const std::string broken = BrokenBound(schedule, RunSchedule(schedule));
    cr_expect(broken.empty(), "seed %lu: %s", seed, broken.c_str());
  }
}

/** How many of the schedules break a bound with a deliberate fault. */
int
CountBroken(const std::function<void(Schedule&)>& aPlant)
{
  int broken = 0;
  for (std::uint64_t seed = 1; seed < 40; ++seed) {
    Schedule schedule = DisturbedSchedule(seed);
    aPlant(schedule);
    broken += BrokenBound(schedule, RunSchedule(schedule)).empty() ? 0 : 1;
  }
  return broken;
}

} // namespace

// Without disturbances, a good version must succeed in time and a bad one must
// be rolled back. Requests must not run on servers that stop at the success.
Test(rolloutmodel, calm_orders_end_as_the_version_deserves)
{
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    const Schedule schedule = CalmSchedule(seed);
    const Outcome outcome = RunSchedule(schedule);
    const bool isGood = schedule.quality == Quality::Good;
    const std::string expected = isGood ? "succeeded" : "rolled_back";
    cr_expect(outcome.state == expected && outcome.endedAfter < 12000,
              "seed %lu quality %d: %s after %ld ms, exposed %ld of %ld, "
              "bad %ld",
              seed,
              static_cast<int>(schedule.quality),
              outcome.state.c_str(),
              outcome.endedAfter,
              outcome.exposed,
              outcome.requests,
              outcome.badAnswers);
    const std::string broken = BrokenBound(schedule, outcome);
    cr_expect(broken.empty(), "seed %lu: %s", seed, broken.c_str());
    cr_expect(!isGood || outcome.lostAtEnd <= 1,
              "seed %lu: %ld requests on old servers",
              seed,
              outcome.lostAtEnd);
  }
}

// No loss of messages, of the decider or of the store may expose more requests
// to a bad version than the bounds allow.
Test(rolloutmodel, bounds_hold_in_disturbed_schedules_1)
{
  ExpectBounds(1, 100, 0);
}

Test(rolloutmodel, bounds_hold_in_disturbed_schedules_2)
{
  ExpectBounds(100, 200, 0);
}

// A store that was restored from a copy and lacks the status, or the order,
// must not give a version a second budget, nor a second try after a rollback.
Test(rolloutmodel, bounds_hold_when_the_store_is_restored_1)
{
  ExpectBounds(200, 300, 1);
}

Test(rolloutmodel, bounds_hold_when_the_store_is_restored_2)
{
  ExpectBounds(300, 400, 2);
}

// The checks must notice a daemon that forgets orders which the store lost.
Test(rolloutmodel, a_forgotten_order_is_detected)
{
  cr_expect_gt(CountBroken([](Schedule& aSchedule) {
                 aSchedule.restores = 1;
                 aSchedule.hidesRestores = true;
                 aSchedule.quality = Quality::BadAtOnce;
               }),
               0);
}

// The checks must notice a daemon that sends more than it was allowed.
Test(rolloutmodel, a_higher_limit_is_detected)
{
  cr_expect_gt(CountBroken([](Schedule& aSchedule) {
                 aSchedule.limitFactor = 6;
                 aSchedule.quality = Quality::BadLater;
               }),
               0);
}

// The checks must notice a share that is used after its end.
Test(rolloutmodel, an_expired_share_is_detected)
{
  cr_expect_gt(CountBroken([](Schedule& aSchedule) {
                 aSchedule.extraValidity = 60000;
                 // One of many daemons is cut off in the last stretch, before
                 // it has used its share.
                 aSchedule.quality = Quality::BadUnderLoad;
                 aSchedule.rate = 60;
                 aSchedule.daemons = 60;
                 aSchedule.cutsMember = true;
                 aSchedule.cutAfter = 7700;
               }),
               0);
}

// The checks must notice a decider that does not see bad answers.
Test(rolloutmodel, hidden_bad_answers_are_detected)
{
  int succeeded = 0;
  for (std::uint64_t seed = 1; seed < 20; ++seed) {
    Schedule schedule = CalmSchedule(seed);
    schedule.quality = Quality::BadAtOnce;
    schedule.hidesBadAnswers = true;
    succeeded += RunSchedule(schedule).state == "succeeded" ? 1 : 0;
  }
  cr_expect_gt(succeeded, 0);
}
