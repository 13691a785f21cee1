#include "execution/callsimulationnetwork.h"

#include "common/log.h"

#include <criterion/criterion.h>

using namespace lacewingwharf;
using namespace lacewingwharf::testing;

namespace {

constexpr std::uint64_t kSeeds = 300;
constexpr Millis kSettleTime = 12000;

void
SilenceLogs()
{
  Log::SetLevel(LogLevel::Error);
}

/**
 * Sends one request. A request with a key is often sent again, at once or
 * later.
 */
void
SendRandomRequest(CallSimulation& aSimulation, int aNumber)
{
  const std::size_t host = aSimulation.NextRandom(kHosts);
  const std::uint64_t kind = aSimulation.NextRandom(10);
  if (kind < 3) {
    aSimulation.Send(host, "GET");
  } else if (kind < 6) {
    aSimulation.Send(host, "POST");
  } else {
    const std::string key = fmt::format("key-{}", aNumber);
    aSimulation.Send(host, "POST", key);
    const std::size_t other = aSimulation.NextRandom(kHosts);
    const std::uint64_t spread = aSimulation.NextRandom(2) == 0 ? 20 : 4000;
    if (aSimulation.NextRandom(2) == 0) {
      const auto delay = static_cast<Millis>(aSimulation.NextRandom(spread));
      aSimulation.Schedule(delay, [&aSimulation, other, key] {
        aSimulation.Send(other, "POST", key);
      });
    }
  }
}

void
InjectRandomFault(CallSimulation& aSimulation)
{
  const std::size_t host = aSimulation.NextRandom(kHosts);
  const auto time = [&aSimulation](std::uint64_t aBound) {
    return static_cast<Millis>(1 + aSimulation.NextRandom(aBound));
  };
  switch (aSimulation.NextRandom(9)) {
    case 0:
      aSimulation.Kill(host, time(1500));
      break;
    case 1:
      aSimulation.Pause(host, time(6000));
      break;
    case 2:
      aSimulation.StopBackend(host, time(800));
      break;
    case 3:
      aSimulation.StopPlatform(time(2000));
      break;
    case 4:
      aSimulation.PartitionDomains(time(4000));
      break;
    default:
      aSimulation.LoseSessions(host, aSimulation.NextRandom(kHosts));
  }
}

/** Runs one random schedule and returns the violated invariants. */
std::vector<std::string>
RunSchedule(std::uint64_t aSeed, bool aIsNaive, bool aHasLargeRequests = false)
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
  faults.hasLargeRequests = aHasLargeRequests;
  CallSimulation simulation(aSeed, faults);
  Millis nextFault = 200;
  const Millis start = simulation.Now();
  for (int number = 0; number < 120; ++number) {
    SendRandomRequest(simulation, number);
    if (number % 40 == 7) {
      simulation.Send(simulation.NextRandom(kHosts), "POST", "", true);
    }
    simulation.Run(static_cast<Millis>(simulation.NextRandom(70)));
    if (simulation.Now() - start >= nextFault) {
      InjectRandomFault(simulation);
      nextFault += 1 + static_cast<Millis>(simulation.NextRandom(300));
    }
  }
  simulation.Run(kSettleTime);
  return simulation.Violations();
}

} // namespace

TestSuite(callschedules, .init = SilenceLogs);

// Under any schedule of failures, a call must not run twice, be answered
// not-run after it ran, return an answer that is damaged or of another call, or
// wait without limit. The naive version has neither queries nor claims and must
// violate this.
Test(callschedules, NoScheduleViolatesAnInvariant, .timeout = 200)
{
  std::size_t naiveFailures = 0;
  std::size_t failedSchedules = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const auto violations = RunSchedule(seed, false);
    for (const std::string& violation : violations) {
      cr_log_error("seed %lu: %s", seed, violation.c_str());
    }
    failedSchedules += violations.empty() ? 0 : 1;
    if (seed % 10 == 0) {
      naiveFailures += RunSchedule(seed, true).empty() ? 0 : 1;
    }
  }
  cr_assert_eq(failedSchedules,
               0U,
               "%zu schedules violated an invariant",
               failedSchedules);
  cr_assert_eq(naiveFailures,
               kSeeds / 10,
               "the naive version failed in only %zu schedules",
               naiveFailures);
}

// The same while bodies follow in parts, of which some arrive late or never. A
// server must never run a request with a part of its body.
Test(callschedules, NoScheduleDamagesLargeRequests, .timeout = 200)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const auto violations = RunSchedule(seed, false, true);
    cr_expect(violations.empty(),
              "seed %lu: %s",
              seed,
              violations.empty() ? "" : violations.front().c_str());
  }
}

// Without faults, no call may be refused or retried.
Test(callschedules, EveryCallIsDoneWithoutFaults)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CallSimulation simulation(seed, {});
    for (int number = 0; number < 60; ++number) {
      const std::string key =
        number % 3 == 0 ? fmt::format("key-{}", number) : "";
      simulation.Send(
        simulation.NextRandom(kHosts), number % 3 == 1 ? "GET" : "POST", key);
      simulation.Run(static_cast<Millis>(simulation.NextRandom(30)));
    }
    simulation.Run(kSettleTime);
    cr_assert(simulation.Violations().empty());
    for (const CallerRequest& request : simulation.requests) {
      cr_assert_str_eq(request.outcome.c_str(), "done", "seed %lu", seed);
      cr_assert_eq(request.runs, 1);
    }
  }
}
