// Time until a catalogue change is in force on every daemon, control bytes,
// bytes over the region link and platform calls, of real daemons and of two
// naive versions on the same platform stand-in.
//
// Daemons tell each other their addresses, so no link stand-in can sit between
// them: the link to the platform is delayed and narrowed, that between daemons
// of different regions is not; its bytes are those of their TCP connections.

#include "convergenceannouncer.h"
#include "convergencefleet.h"
#include "convergencenaive.h"
#include "convergenceoptions.h"
#include "convergencesite.h"

#include <algorithm>
#include <cmath>
#include <memory>

using namespace lacewingwharf;
using namespace lacewingwharf::bench;

namespace {

constexpr std::chrono::seconds kChangeBound(30);

double
MillisBetween(BenchClock::time_point aFrom, BenchClock::time_point aTo)
{
  return std::chrono::duration<double, std::milli>(aTo - aFrom).count();
}

/** The smallest value that at least this share of the values do not exceed. */
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

/** What one phase measured. */
struct PhaseResult
{
  std::vector<double> everywhereMillis;
  std::vector<double> daemonMillis;
  int missed = 0;
};

class FleetRun
{
public:
  FleetRun(const ConvergenceOptions& aOptions, Site& aSite)
    : options(aOptions)
    , site(aSite)
    , fleet(aOptions, aSite)
  {
  }

  bool Start()
  {
    const auto startedAt = BenchClock::now();
    this->fleet.StartAll();
    this->fleet.Logs().Await(1);
    if (!this->fleet.WaitForAll(std::chrono::seconds(60))) {
      fmt::print(stderr, "not every daemon got a first version\n");
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

  void MeasureRest()
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

  /** A quarter of the daemons is killed and started again between changes. */
  void MeasureRestarts()
  {
    // The acceptor is in the quarter: the next in order has to take over.
    this->killedResidue = ResidueOf(this->fleet.FindAcceptor());
    const int killAt = this->options.changes / 4;
    const int startAt = this->options.changes / 2;
    this->Measure("quarter-killed", [this, killAt, startAt](int aChange) {
      if (aChange == killAt) {
        this->ForQuarter(
          [this](std::size_t aDaemon) { this->fleet.Kill(aDaemon); });
      } else if (aChange == startAt) {
        this->restartedAt = BenchClock::now();
        this->ForQuarter(
          [this](std::size_t aDaemon) { this->fleet.Start(aDaemon); });
      }
    });
  }

private:
  /** The row shifts the choice, so that all domains lose daemons. */
  static std::size_t ResidueOf(std::size_t aDaemon)
  {
    constexpr std::size_t kQuarter = 4;
    return (aDaemon / kDomains + aDaemon) % kQuarter;
  }

  template<typename Action>
  void ForQuarter(Action aAction)
  {
    for (std::size_t daemon = 0; daemon < this->fleet.Size(); ++daemon) {
      if (ResidueOf(daemon) == this->killedResidue) {
        aAction(daemon);
      }
    }
  }

  template<typename Before>
  void Measure(const std::string& aPhase, Before aBefore)
  {
    const FleetUse first = this->fleet.Use();
    this->Pause(std::chrono::seconds(this->options.restSeconds));
    const FleetUse second = this->fleet.Use();
    PhaseResult result;
    for (int change = 0; change < this->options.changes; ++change) {
      aBefore(change);
      this->MeasureChange(result);
      this->Pause(std::chrono::milliseconds(300));
    }
    const FleetUse third = this->fleet.Use();
    this->PrintTimes(aPhase, result);
    this->PrintRates(aPhase, first, second);
    this->PrintPerChange(aPhase, first, second, third);
  }

  void MeasureChange(PhaseResult& aResult)
  {
    ++this->changes;
    const auto before = this->fleet.Logs().States();
    this->fleet.Logs().Await(this->fleet.NewestVersion() + 1);
    const auto startedAt = BenchClock::now();
    this->site.Change(this->changes, 1000 + this->changes);
    if (!this->fleet.WaitForAll(kChangeBound)) {
      ++aResult.missed;
      return;
    }
    double slowest = 0;
    const auto states = this->fleet.Logs().States();
    for (std::size_t daemon = 0; daemon < this->fleet.Size(); ++daemon) {
      // A process that has just started is measured on its own.
      if (!this->fleet.IsRunning(daemon) || before[daemon].version == 0) {
        continue;
      }
      const double millis = MillisBetween(startedAt, states[daemon].reachedAt);
      aResult.daemonMillis.push_back(millis);
      slowest = std::max(slowest, millis);
    }
    aResult.everywhereMillis.push_back(slowest);
    this->NoteRestart();
  }

  void NoteRestart()
  {
    if (this->restartedAt != BenchClock::time_point{}) {
      this->Print("quarter-killed",
                  "restarted daemons at newest version",
                  MillisBetween(this->restartedAt, BenchClock::now()),
                  "ms");
      this->restartedAt = {};
    }
  }

  /** Connections that close are counted up to the last sample. */
  void Pause(BenchClock::duration aTime)
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
    const auto& millis = aResult.everywhereMillis;
    this->Print(aPhase, "in force everywhere p50", Quantile(millis, 0.5), "ms");
    this->Print(
      aPhase, "in force everywhere p99", Quantile(millis, 0.99), "ms");
    this->Print(aPhase, "in force everywhere max", Quantile(millis, 1), "ms");
    this->Print(aPhase,
                "in force on one daemon p50",
                Quantile(aResult.daemonMillis, 0.5),
                "ms");
    this->Print(
      aPhase, "changes not everywhere in 30 s", aResult.missed, "changes");
  }

  void PrintRates(const std::string& aPhase,
                  const FleetUse& aFrom,
                  const FleetUse& aTo) const
  {
    const double seconds = MillisBetween(aFrom.at, aTo.at) / 1000;
    const double shares = seconds * this->options.daemons;
    this->Print(aPhase,
                "control bytes sent per daemon",
                (aTo.sentBytes - aFrom.sentBytes) / shares,
                "B/s");
    this->Print(aPhase,
                "control bytes received per daemon",
                (aTo.receivedBytes - aFrom.receivedBytes) / shares,
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
                  (calls - Earlier(aFrom, kind)) / seconds,
                  "1/s");
    }
  }

  static double Earlier(const FleetUse& aUse, const std::string& aKind)
  {
    const auto found = aUse.platform.calls.find(aKind);
    return found == aUse.platform.calls.end() ? 0 : found->second;
  }

  /** What the changes added to the rate before them. */
  void PrintPerChange(const std::string& aPhase,
                      const FleetUse& aFirst,
                      const FleetUse& aSecond,
                      const FleetUse& aThird) const
  {
    const double ratio = MillisBetween(aSecond.at, aThird.at) /
                         MillisBetween(aFirst.at, aSecond.at);
    const auto added = [&](double aStart, double aMiddle, double aEnd) {
      return ((aEnd - aMiddle) - (aMiddle - aStart) * ratio) /
             this->options.changes;
    };
    this->Print(aPhase,
                "control bytes per daemon and change",
                added(aFirst.sentBytes + aFirst.receivedBytes,
                      aSecond.sentBytes + aSecond.receivedBytes,
                      aThird.sentBytes + aThird.receivedBytes) /
                  this->options.daemons,
                "B");
    this->Print(aPhase,
                "region link per change: daemons",
                added(aFirst.regionLinkBytes,
                      aSecond.regionLinkBytes,
                      aThird.regionLinkBytes),
                "B");
    this->Print(aPhase,
                "region link per change: platform",
                added(aFirst.platform.linkBytes,
                      aSecond.platform.linkBytes,
                      aThird.platform.linkBytes),
                "B");
    for (const auto& [kind, calls] : aThird.platform.calls) {
      this->Print(aPhase,
                  "platform calls per change: " + kind,
                  added(Earlier(aFirst, kind), Earlier(aSecond, kind), calls),
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
  Site& site;
  DaemonFleet fleet;
  std::unique_ptr<Announcer> announcer;
  BenchClock::time_point restartedAt;
  std::size_t killedResidue = 0;
  int changes = 0;
};

void
RunFleet(const ConvergenceOptions& aOptions, Site& aSite)
{
  FleetRun run(aOptions, aSite);
  if (run.Start()) {
    run.MeasureRest();
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
  print("region link: platform and pushes", aResult.linkPerSecond, "B/s");
  print("region link per change", aResult.linkPerChange, "B");
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
  Site site(options);
  if (!site.FillCatalogue()) {
    fmt::print(stderr, "the platform stand-in did not take the catalogue\n");
    return EXIT_FAILURE;
  }
  if (options.hasFleet) {
    RunFleet(options, site);
  }
  if (options.hasNaive) {
    PrintNaive(options, "naive-poll", MeasureNaivePolling(options, site));
    PrintNaive(options, "naive-push", MeasureNaivePushing(options, site));
  }
  return EXIT_SUCCESS;
}
