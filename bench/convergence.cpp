// Measures the time until a catalogue change is in force on every daemon, the
// control bytes, the bytes over the region link and the platform calls.
// Compares real daemons with two naive versions on the same platform stand-in.
//
// Daemons connect to the addresses that they receive from each other, so their
// connections cannot be routed through a link stand-in. Only the link to the
// platform has a delay and a limited bandwidth. For the link between daemons of
// different regions, the bytes of their TCP connections are counted.

#include "convergenceannouncer.h"
#include "convergencefleet.h"
#include "convergencenaive.h"
#include "convergenceoptions.h"
#include "convergenceplatform.h"

#include <algorithm>
#include <cmath>
#include <memory>

using namespace lacewingwharf;
using namespace lacewingwharf::bench;

namespace {

constexpr std::chrono::seconds kChangeTimeout(30);

double
MillisBetween(BenchClock::time_point aFrom, BenchClock::time_point aTo)
{
  return std::chrono::duration<double, std::milli>(aTo - aFrom).count();
}

/** Returns the quantile of aValues at aShare by the nearest-rank method. */
double
Quantile(std::vector<double> aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  std::ranges::sort(aValues);
  const double rank = std::ceil(aShare * double(aValues.size()));
  return aValues[static_cast<std::size_t>(std::max(rank, 1.0)) - 1];
}

/** Times measured in one phase. */
struct PhaseResult
{
  std::vector<double> allDaemonsMillis;
  std::vector<double> perDaemonMillis;
  int missed = 0;
};

class FleetRun
{
public:
  FleetRun(const ConvergenceOptions& aOptions, PlatformTestbed& aPlatform)
    : options(aOptions)
    , platformTestbed(aPlatform)
    , fleet(aOptions, aPlatform)
  {
  }

  bool Start()
  {
    const auto startedAt = BenchClock::now();
    this->fleet.StartAll();
    this->fleet.Logs().ExpectVersion(1);
    if (!this->fleet.WaitForAll(std::chrono::seconds(60))) {
      fmt::print(stderr,
                 "not every daemon received a first version within 60 s\n");
      return false;
    }
    this->Print("start",
                "first version everywhere",
                MillisBetween(startedAt, BenchClock::now()),
                "ms");
    if (this->options.isAnnouncing) {
      this->announcer = std::make_unique<Announcer>(this->options, this->fleet);
    }
    constexpr std::chrono::seconds kSettleTime(8);
    std::this_thread::sleep_for(kSettleTime);
    return true;
  }

  void MeasureIdle()
  {
    this->Measure("rest", [](int) {});
  }

  void MeasureChurn()
  {
    if (!this->announcer) {
      return;
    }
    this->announcer->SetChurn(true);
    this->Measure("churn", [](int) {});
    this->announcer->SetChurn(false);
  }

  /** Kills a quarter of the daemons between changes and restarts them later. */
  void MeasureRestarts()
  {
    // The quarter includes the acceptor, so another daemon has to take over.
    this->killedQuarter = QuarterOf(this->fleet.FindAcceptor());
    const int killAt = this->options.changes / 4;
    const int startAt = this->options.changes / 2;
    this->Measure("quarter-killed", [this, killAt, startAt](int aChange) {
      if (aChange == killAt) {
        this->ForEachInKilledQuarter(
          [this](std::size_t aDaemon) { this->fleet.Kill(aDaemon); });
      } else if (aChange == startAt) {
        this->restartedAt = BenchClock::now();
        this->ForEachInKilledQuarter(
          [this](std::size_t aDaemon) { this->fleet.Start(aDaemon); });
      }
    });
  }

private:
  /**
   * Assigns daemons to quarters. The index within the domain is added so that
   * every quarter has daemons of all domains.
   */
  static std::size_t QuarterOf(std::size_t aDaemon)
  {
    constexpr std::size_t kQuarters = 4;
    return (aDaemon / kDomains + aDaemon) % kQuarters;
  }

  template<typename Action>
  void ForEachInKilledQuarter(Action aAction)
  {
    for (std::size_t daemon = 0; daemon < this->fleet.Size(); ++daemon) {
      if (QuarterOf(daemon) == this->killedQuarter) {
        aAction(daemon);
      }
    }
  }

  template<typename BeforeChange>
  void Measure(const std::string& aPhase, BeforeChange aBeforeChange)
  {
    const FleetUsage first = this->fleet.ReadUsage();
    this->PauseAndSample(std::chrono::seconds(this->options.idleSeconds));
    const FleetUsage second = this->fleet.ReadUsage();
    PhaseResult result;
    for (int change = 0; change < this->options.changes; ++change) {
      aBeforeChange(change);
      this->MeasureChange(result);
      this->PauseAndSample(std::chrono::milliseconds(300));
    }
    const FleetUsage third = this->fleet.ReadUsage();
    this->PrintTimes(aPhase, result);
    this->PrintRates(aPhase, first, second);
    this->PrintPerChange(aPhase, first, second, third);
  }

  void MeasureChange(PhaseResult& aResult)
  {
    ++this->changes;
    const auto before = this->fleet.Logs().States();
    this->fleet.Logs().ExpectVersion(this->fleet.NewestVersion() + 1);
    const auto startedAt = BenchClock::now();
    this->platformTestbed.ChangeRoute(this->changes, 1000 + this->changes);
    if (!this->fleet.WaitForAll(kChangeTimeout)) {
      ++aResult.missed;
      return;
    }
    double slowest = 0;
    const auto states = this->fleet.Logs().States();
    for (std::size_t daemon = 0; daemon < this->fleet.Size(); ++daemon) {
      // A process that has just started is measured by PrintRestartTime().
      if (!this->fleet.IsRunning(daemon) || before[daemon].version == 0) {
        continue;
      }
      const double millis = MillisBetween(startedAt, states[daemon].reachedAt);
      aResult.perDaemonMillis.push_back(millis);
      slowest = std::max(slowest, millis);
    }
    aResult.allDaemonsMillis.push_back(slowest);
    this->PrintRestartTime();
  }

  void PrintRestartTime()
  {
    if (this->restartedAt != BenchClock::time_point{}) {
      this->Print("quarter-killed",
                  "restarted daemons at newest version",
                  MillisBetween(this->restartedAt, BenchClock::now()),
                  "ms");
      this->restartedAt = {};
    }
  }

  /**
   * Waits and samples the region link often, because the bytes of a closed
   * connection are counted only up to the last sample.
   */
  void PauseAndSample(BenchClock::duration aTime)
  {
    constexpr std::chrono::milliseconds kStep(250);
    const auto end = BenchClock::now() + aTime;
    while (BenchClock::now() < end) {
      std::this_thread::sleep_for(
        std::min<BenchClock::duration>(kStep, end - BenchClock::now()));
      this->fleet.SampleRegionLink();
    }
  }

  void PrintTimes(const std::string& aPhase, const PhaseResult& aResult) const
  {
    const auto& millis = aResult.allDaemonsMillis;
    this->Print(aPhase, "in force everywhere p50", Quantile(millis, 0.5), "ms");
    this->Print(
      aPhase, "in force everywhere p99", Quantile(millis, 0.99), "ms");
    this->Print(aPhase, "in force everywhere max", Quantile(millis, 1), "ms");
    this->Print(aPhase,
                "in force on one daemon p50",
                Quantile(aResult.perDaemonMillis, 0.5),
                "ms");
    this->Print(
      aPhase, "changes not everywhere in 30 s", aResult.missed, "changes");
  }

  void PrintRates(const std::string& aPhase,
                  const FleetUsage& aFrom,
                  const FleetUsage& aTo) const
  {
    const double seconds = MillisBetween(aFrom.at, aTo.at) / 1000;
    const double daemonSeconds = seconds * this->options.daemons;
    this->Print(aPhase,
                "control bytes sent per daemon",
                (aTo.sentBytes - aFrom.sentBytes) / daemonSeconds,
                "B/s");
    this->Print(aPhase,
                "control bytes received per daemon",
                (aTo.receivedBytes - aFrom.receivedBytes) / daemonSeconds,
                "B/s");
    this->Print(aPhase,
                "region link: daemons",
                (aTo.regionLinkBytes - aFrom.regionLinkBytes) / seconds,
                "B/s");
    this->Print(aPhase,
                "region link: platform",
                (aTo.platform.linkBytes - aFrom.platform.linkBytes) / seconds,
                "B/s");
    for (const auto& [kind, calls] : aTo.platform.calls) {
      this->Print(aPhase,
                  "platform calls: " + kind,
                  (calls - CallsOfKind(aFrom, kind)) / seconds,
                  "1/s");
    }
  }

  static double CallsOfKind(const FleetUsage& aUsage, const std::string& aKind)
  {
    const auto found = aUsage.platform.calls.find(aKind);
    return found == aUsage.platform.calls.end() ? 0 : found->second;
  }

  /**
   * Prints the cost per change: the use in the period with changes, minus the
   * use expected from the rate of the idle period before it.
   */
  void PrintPerChange(const std::string& aPhase,
                      const FleetUsage& aFirst,
                      const FleetUsage& aSecond,
                      const FleetUsage& aThird) const
  {
    const double ratio = MillisBetween(aSecond.at, aThird.at) /
                         MillisBetween(aFirst.at, aSecond.at);
    const auto perChange = [&](double aStart, double aMiddle, double aEnd) {
      return ((aEnd - aMiddle) - (aMiddle - aStart) * ratio) /
             this->options.changes;
    };
    this->Print(aPhase,
                "control bytes per daemon and change",
                perChange(aFirst.sentBytes + aFirst.receivedBytes,
                          aSecond.sentBytes + aSecond.receivedBytes,
                          aThird.sentBytes + aThird.receivedBytes) /
                  this->options.daemons,
                "B");
    this->Print(aPhase,
                "region link per change: daemons",
                perChange(aFirst.regionLinkBytes,
                          aSecond.regionLinkBytes,
                          aThird.regionLinkBytes),
                "B");
    this->Print(aPhase,
                "region link per change: platform",
                perChange(aFirst.platform.linkBytes,
                          aSecond.platform.linkBytes,
                          aThird.platform.linkBytes),
                "B");
    for (const auto& [kind, calls] : aThird.platform.calls) {
      this->Print(
        aPhase,
        "platform calls per change: " + kind,
        perChange(CallsOfKind(aFirst, kind), CallsOfKind(aSecond, kind), calls),
        "");
    }
  }

  void Print(const std::string& aPhase,
             const std::string& aWhat,
             double aValue,
             const std::string& aUnit) const
  {
    PrintValue(this->options, aPhase, aWhat, aValue, aUnit);
  }

  ConvergenceOptions options;
  PlatformTestbed& platformTestbed;
  DaemonFleet fleet;
  std::unique_ptr<Announcer> announcer;
  BenchClock::time_point restartedAt;
  std::size_t killedQuarter = 0;
  int changes = 0;
};

void
RunFleet(const ConvergenceOptions& aOptions, PlatformTestbed& aPlatform)
{
  FleetRun run(aOptions, aPlatform);
  if (run.Start()) {
    run.MeasureIdle();
    run.MeasureChurn();
    run.MeasureRestarts();
  }
}

void
PrintNaive(const ConvergenceOptions& aOptions,
           const std::string& aPhase,
           const NaiveResult& aResult)
{
  const auto print = [&](const char* aWhat, double aValue, const char* aUnit) {
    PrintValue(aOptions, aPhase, aWhat, aValue, aUnit);
  };
  print("in force everywhere p50", Quantile(aResult.millis, 0.5), "ms");
  print("in force everywhere p99", Quantile(aResult.millis, 0.99), "ms");
  print("in force everywhere max", Quantile(aResult.millis, 1), "ms");
  print("changes not everywhere in 30 s", aResult.missed, "changes");
  print("control bytes per daemon", aResult.bytesPerSecond, "B/s");
  print("control bytes per daemon and change", aResult.bytesPerChange, "B");
  print("region link: platform and pushes", aResult.linkBytesPerSecond, "B/s");
  print("region link per change", aResult.linkBytesPerChange, "B");
  print("platform calls", aResult.callsPerSecond, "1/s");
}

} // namespace

int
main(int aCount, char** aArguments)
{
  ConvergenceOptions options;
  if (!ReadConvergenceOptions(aCount, aArguments, options)) {
    PrintConvergenceUsage();
    return EXIT_FAILURE;
  }
  if (options.isCsv) {
    fmt::print("daemons,phase,what,value,unit\n");
  }
  if (!options.binaryDirectory.empty()) {
    ProgramDirectory() = options.binaryDirectory;
  }
  curl_global_init(CURL_GLOBAL_DEFAULT);
  PlatformTestbed platformTestbed(options);
  if (!platformTestbed.FillCatalogue()) {
    fmt::print(stderr, "the platform stand-in did not store the catalogue\n");
    return EXIT_FAILURE;
  }
  if (options.shouldRunFleet) {
    RunFleet(options, platformTestbed);
  }
  if (options.shouldRunNaive) {
    PrintNaive(
      options, "naive-poll", MeasureNaivePolling(options, platformTestbed));
    PrintNaive(
      options, "naive-push", MeasureNaivePushing(options, platformTestbed));
  }
  return EXIT_SUCCESS;
}
