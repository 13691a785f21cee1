#include "common/hash.h"
#include "common/log.h"
#include "distribution/simnodes.h"

#include <criterion/criterion.h>

using namespace lacewingwharf;

namespace {

constexpr int kHosts = 6;
constexpr int kSeeds = 320;
constexpr Millis kFaultyTime = 12000;
constexpr Millis kQuietTime = 15000;

// Both h0 and h1 have the acceptor role, as after a partition.
std::unique_ptr<SimNode>
MakeReal(FleetSim& aSim, const std::string& aHost)
{
  const std::string acceptor = aHost == "h1" ? "h1" : "h0";
  return std::make_unique<RealNode>(
    aSim, aHost, std::vector<std::string>{ acceptor });
}

/**
 * The same fleet, but all daemons other than the acceptors and relays are
 * naive.
 */
std::unique_ptr<SimNode>
MakeNaive(FleetSim& aSim, const std::string& aHost)
{
  const auto order = RendezvousOrder("feeder/d", aSim.names);
  const bool isReal =
    aHost == "h0" || aHost == "h1" || aHost == order[0] || aHost == order[1];
  if (isReal) {
    return MakeReal(aSim, aHost);
  }
  return std::make_unique<NaiveNode>(aSim, aHost);
}

std::string
Numbered(const char* aPrefix, std::uint64_t aNumber)
{
  return aPrefix + std::to_string(aNumber);
}

void
EditAtRandom(FleetSim& aSim)
{
  const std::string service = Numbered("s", aSim.RandomNumberBelow(4));
  const std::uint64_t number = aSim.RandomNumberBelow(5);
  const std::string route = Numbered("catalogue/r", number);
  const std::string path = Numbered("/p", aSim.RandomNumberBelow(6));
  switch (aSim.RandomNumberBelow(8)) {
    case 0:
      return aSim.store.Erase("catalogue/" + service);
    case 1:
      return aSim.store.Erase(route);
    case 2:
      return aSim.store.Edit(route, "{");
    case 3:
      // A change set whose second entry follows later, or never.
      aSim.store.Edit("catalogue/" + service,
                      ServiceText("x", R"("id":"c","size":2)"));
      aSim.ScheduleAfter(200, [&aSim, route, service, path] {
        aSim.store.Edit(route,
                        RouteText(service, path, 0, R"("id":"c","size":2)"));
      });
      return;
    case 4:
    case 5:
      return aSim.store.Edit(
        "catalogue/" + service,
        ServiceText(Numbered("o", aSim.RandomNumberBelow(1000))));
    default:
      return aSim.store.Edit(
        route,
        RouteText(
          service, path, static_cast<int>(aSim.RandomNumberBelow(1000))));
  }
}

void
FaultAtRandom(FleetSim& aSim)
{
  const std::string& name =
    aSim.names[aSim.RandomNumberBelow(aSim.names.size())];
  FleetSim::Host& host = aSim.hosts.at(name);
  switch (aSim.RandomNumberBelow(6)) {
    case 0:
      return aSim.Restart(name);
    case 1:
    case 2:
      host.isPaused = true;
      aSim.ScheduleAfter(static_cast<Millis>(aSim.RandomNumberBelow(5000)),
                         [&aSim, name] { aSim.Resume(name); });
      return;
    case 3:
      host.isCutOff = !host.isCutOff;
      return;
    case 4:
      host.isPartitioned = !host.isPartitioned;
      return;
    default:
      aSim.faults = { static_cast<int>(aSim.RandomNumberBelow(40)),
                      static_cast<int>(aSim.RandomNumberBelow(30)),
                      static_cast<Millis>(aSim.RandomNumberBelow(900)) };
  }
}

void
RunSchedule(FleetSim& aSim)
{
  const Millis end = aSim.clock.View().Now() + kFaultyTime;
  while (aSim.clock.View().Now() < end) {
    aSim.Run(static_cast<Millis>(50 + aSim.RandomNumberBelow(400)));
    EditAtRandom(aSim);
    if (aSim.RandomNumberBelow(2) == 0) {
      FaultAtRandom(aSim);
    }
  }
}

void
RunQuiet(FleetSim& aSim)
{
  aSim.faults = {};
  for (const std::string& name : aSim.names) {
    FleetSim::Host& host = aSim.hosts.at(name);
    host.isCutOff = false;
    host.isPartitioned = false;
    aSim.Resume(name);
  }
  aSim.Run(kQuietTime);
}

Violations
operator+(const Violations& aLeft, const Violations& aRight)
{
  return { aLeft.versionDecreases + aRight.versionDecreases,
           aLeft.contentMismatches + aRight.contentMismatches,
           aLeft.danglingRoutes + aRight.danglingRoutes };
}

void
AssertConverged(FleetSim& aSim, int aSeed)
{
  const std::int64_t newest = aSim.NewestAccepted();
  for (const std::string& name : aSim.names) {
    const auto& node = static_cast<RealNode&>(*aSim.hosts.at(name).node);
    cr_assert_eq(node.Version(),
                 newest,
                 "seed %d: %s holds %ld, newest is %ld",
                 aSeed,
                 name.c_str(),
                 static_cast<long>(node.Version()),
                 static_cast<long>(newest));
    // A daemon must not become ready if there is no accepted version, for
    // example because every entry was erased before an acceptor could reach the
    // store.
    cr_assert_eq(node.Get().IsReady(), newest > 0, "seed %d", aSeed);
    const auto list = aSim.store.Hooks().list("catalogue/").assume_value();
    cr_assert_not(
      DecideNext(*node.Get().HeldSnapshot(), list).delta.has_value(),
      "seed %d: an edit was not accepted",
      aSeed);
  }
}

} // namespace

// Requirements R1, R2, R3 and R9 must hold under loss, delay, reordering,
// duplication, pauses, restarts and two acceptors. On the same schedules the
// naive version, which applies whatever arrives last, breaks R1, R2 and R3.
Test(distribution, HoldsTheInvariantsWhereTheNaiveVersionDoesNot)
{
  Log::SetLevel(LogLevel::Error);
  Violations naive;
  std::int64_t versions = 0;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    const auto number = static_cast<std::uint64_t>(seed);
    FleetSim sim(kHosts, number, MakeReal);
    RunSchedule(sim);
    RunQuiet(sim);
    cr_assert_eq(sim.violations.versionDecreases, 0, "seed %d", seed);
    cr_assert_eq(sim.violations.contentMismatches, 0, "seed %d", seed);
    cr_assert_eq(sim.violations.danglingRoutes, 0, "seed %d", seed);
    AssertConverged(sim, seed);
    versions += sim.NewestAccepted();

    FleetSim other(kHosts, number, MakeNaive);
    RunSchedule(other);
    naive = naive + other.violations;
  }
  cr_assert_gt(versions,
               kSeeds * std::int64_t(10),
               "too few versions for a meaningful test");
  cr_log_info("%ld versions; naive baseline: %d version decreases, %d content "
              "mismatches, %d dangling routes",
              static_cast<long>(versions),
              naive.versionDecreases,
              naive.contentMismatches,
              naive.danglingRoutes);
  cr_assert_gt(naive.versionDecreases, 0);
  cr_assert_gt(naive.contentMismatches, 0);
  cr_assert_gt(naive.danglingRoutes, 0);
}
