#include "execution/callsimulationnetwork.h"

#include "common/log.h"

#include <criterion/criterion.h>

using namespace lacewingwharf;
using namespace lacewingwharf::testing;

namespace {

constexpr std::uint64_t kSeeds = 300;
constexpr Millis kLongestBound = 12000;

void
Quiet()
{
  Log::SetLevel(LogLevel::Error);
}

/** One request; a keyed one is often sent again, at once or later. */
void
SendOne(CallWorld& aWorld, int aNumber)
{
  const std::size_t host = aWorld.Below(kHosts);
  const std::uint64_t kind = aWorld.Below(10);
  if (kind < 3) {
    aWorld.Send(host, "GET");
  } else if (kind < 6) {
    aWorld.Send(host, "POST");
  } else {
    const std::string key = fmt::format("key-{}", aNumber);
    aWorld.Send(host, "POST", key);
    const std::size_t other = aWorld.Below(kHosts);
    const std::uint64_t spread = aWorld.Below(2) == 0 ? 20 : 4000;
    if (aWorld.Below(2) == 0) {
      const auto delay = static_cast<Millis>(aWorld.Below(spread));
      aWorld.At(delay,
                [&aWorld, other, key] { aWorld.Send(other, "POST", key); });
    }
  }
}

void
MakeFault(CallWorld& aWorld)
{
  const std::size_t host = aWorld.Below(kHosts);
  const auto time = [&aWorld](std::uint64_t aBound) {
    return static_cast<Millis>(1 + aWorld.Below(aBound));
  };
  switch (aWorld.Below(9)) {
    case 0:
      aWorld.Kill(host, time(1500));
      break;
    case 1:
      aWorld.Pause(host, time(6000));
      break;
    case 2:
      aWorld.StopBackend(host, time(800));
      break;
    case 3:
      aWorld.StopPlatform(time(2000));
      break;
    case 4:
      aWorld.CutDomains(time(4000));
      break;
    default:
      aWorld.LoseSessions(host, aWorld.Below(kHosts));
  }
}

/** The broken invariants of one random schedule. */
std::vector<std::string>
RunSchedule(std::uint64_t aSeed, bool aIsNaive)
{
  CallFaults faults;
  faults.cutAnswers = 4;
  faults.crashes = 2;
  faults.shedding = 8;
  faults.damagedAnswers = 3;
  faults.lateFrames = 50;
  faults.lostPutAnswers = 5;
  faults.maxDelay = 40;
  faults.maxEventDelay = 30;
  faults.isNaive = aIsNaive;
  CallWorld world(aSeed, faults);
  Millis nextFault = 200;
  const Millis start = world.Now();
  for (int number = 0; number < 120; ++number) {
    SendOne(world, number);
    if (number % 40 == 7) {
      world.Send(world.Below(kHosts), "POST", "", true);
    }
    world.Run(static_cast<Millis>(world.Below(70)));
    if (world.Now() - start >= nextFault) {
      MakeFault(world);
      nextFault += 1 + static_cast<Millis>(world.Below(300));
    }
  }
  world.Run(kLongestBound);
  return world.Violations();
}

} // namespace

TestSuite(callschedules, .init = Quiet);

// Guards against work that is run twice, an untrue not-run, an answer that is
// damaged or of another call, and a caller that waits without bound, in any
// schedule of failures. The naive version has neither queries nor claims.
Test(callschedules, NoScheduleBreaksAPromise, .timeout = 200)
{
  std::size_t naive = 0;
  std::size_t broken = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const auto violations = RunSchedule(seed, false);
    for (const std::string& violation : violations) {
      cr_log_error("seed %lu: %s", seed, violation.c_str());
    }
    broken += violations.empty() ? 0 : 1;
    if (seed % 10 == 0) {
      naive += RunSchedule(seed, true).empty() ? 0 : 1;
    }
  }
  cr_assert_eq(broken, 0U, "%zu schedules broke a promise", broken);
  cr_assert_eq(naive, kSeeds / 10, "the naive version broke only %zu", naive);
}

// Guards against refusals and repeats that no fault explains.
Test(callschedules, EveryCallIsDoneInQuietTimes)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CallWorld world(seed, {});
    for (int number = 0; number < 60; ++number) {
      const std::string key =
        number % 3 == 0 ? fmt::format("key-{}", number) : "";
      world.Send(world.Below(kHosts), number % 3 == 1 ? "GET" : "POST", key);
      world.Run(static_cast<Millis>(world.Below(30)));
    }
    world.Run(kLongestBound);
    cr_assert(world.Violations().empty());
    for (const CallerRequest& request : world.requests) {
      cr_assert_str_eq(request.outcome.c_str(), "done", "seed %lu", seed);
      cr_assert_eq(request.runs, 1);
    }
  }
}
