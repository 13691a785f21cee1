#include "callworld.h"
#include "eventloop.h"
#include "openloop.h"

#include <fmt/format.h>

#include <getopt.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <iterator>
#include <optional>
#include <string>
#include <utility>
#include <vector>

// What a call gains in latency over a direct call to the same backend server.
// Two daemons, the platform stand-in and one backend server run as processes;
// the caller sends evenly spaced calls directly, through the daemon of the
// backend server's host (one stop) and through the other daemon (two stops).
// The three take turns in many short rounds, so that other load on the machine
// affects them alike. Added latency is the median over the rounds of the
// difference of a round's quantiles; q1 and q3 are its quartiles.

using namespace lacewingwharf;
using namespace lacewingwharf::bench;

namespace {

constexpr double kWarmUpSeconds = 0.05;

struct Options
{
  int slots = 6;
  int serviceMillis = 1;
  int rounds = 10;
  double seconds = 0.25; // Of one step.
  double lightPerSecond = 600;
  double loadShare = 0.7;
  std::string daemonProgram = "lacewingwharfd"; // In the build directory.
  std::string only; // Part of a row's name; empty: all rows.
  bool isCsv = false;
};

std::optional<Options>
ReadOptions(int aCount, char** aArguments)
{
  Options options;
  const option names[] = { { "slots", required_argument, nullptr, 's' },
                           { "service-ms", required_argument, nullptr, 't' },
                           { "rounds", required_argument, nullptr, 'r' },
                           { "seconds", required_argument, nullptr, 'd' },
                           { "light", required_argument, nullptr, 'l' },
                           { "share", required_argument, nullptr, 'h' },
                           { "only", required_argument, nullptr, 'o' },
                           { "daemon", required_argument, nullptr, 'p' },
                           { "csv", no_argument, nullptr, 'c' },
                           { nullptr, 0, nullptr, 0 } };
  int choice = 0;
  while ((choice = getopt_long(aCount, aArguments, "", names, nullptr)) != -1) {
    switch (choice) {
      case 's':
        options.slots = std::atoi(optarg);
        break;
      case 't':
        options.serviceMillis = std::atoi(optarg);
        break;
      case 'r':
        options.rounds = std::atoi(optarg);
        break;
      case 'd':
        options.seconds = std::atof(optarg);
        break;
      case 'l':
        options.lightPerSecond = std::atof(optarg);
        break;
      case 'h':
        options.loadShare = std::atof(optarg);
        break;
      case 'o':
        options.only = optarg;
        break;
      case 'p':
        options.daemonProgram = optarg;
        break;
      case 'c':
        options.isCsv = true;
        break;
      default:
        return std::nullopt;
    }
  }
  const bool isValid = options.slots > 0 && options.serviceMillis > 0 &&
                       options.rounds > 0 && options.seconds > 0 &&
                       options.lightPerSecond > 0 && options.loadShare > 0;
  return isValid ? std::optional(options) : std::nullopt;
}

struct Row
{
  std::string load;
  std::string method;
  std::size_t stops = 0;
  double perSecond = 0;
  LoadFigures figures;
  std::vector<double> roundP50; // One of each round.
  std::vector<double> roundP99;
  double cpuMillis = 0;
  double calls = 0; // With those of the warm-up; for cpuMillis.
};

constexpr const char* kPathNames[] = { "direct", "one stop", "two stops" };

std::string
NameOf(const Row& aRow)
{
  return fmt::format("{}/{}/{}", aRow.load, aRow.method, aRow.stops);
}

std::vector<Row>
RowsFor(const Options& aOptions, double aSlotMillis)
{
  constexpr std::size_t kPaths = 3;
  constexpr double kMillisPerSecond = 1000;
  const double high =
    aOptions.loadShare * aOptions.slots * kMillisPerSecond / aSlotMillis;
  std::vector<Row> rows;
  for (const auto& [load, rate] :
       { std::pair{ "light", aOptions.lightPerSecond },
         std::pair{ "high", high } }) {
    for (const char* method : { "GET", "POST" }) {
      for (std::size_t stops = 0; stops < kPaths; ++stops) {
        Row row;
        row.load = load;
        row.method = method;
        row.stops = stops;
        row.perSecond = rate;
        // A row is compared with its direct one, so that one always stays.
        if (stops == 0 || NameOf(row).find(aOptions.only) != row.load.npos) {
          rows.push_back(std::move(row));
        }
      }
    }
  }
  return rows;
}

/**
 * How long a direct call takes at light load. A slot is taken for at least this
 * long, which is more than the nominal service time.
 */
double
MeasureSlotMillis(const Options& aOptions,
                  const CallWorld& aWorld,
                  OpenLoopCaller& aCaller)
{
  const LoadStep step{
    "GET", aWorld.Url(0), aOptions.lightPerSecond, kWarmUpSeconds, 1
  };
  return QuantileOf(aCaller.Run(step).latencies, 0.5);
}

void
RunStep(const Options& aOptions,
        const CallWorld& aWorld,
        OpenLoopCaller& aCaller,
        Row& aRow)
{
  const LoadStep step{ aRow.method,
                       aWorld.Url(aRow.stops),
                       aRow.perSecond,
                       kWarmUpSeconds,
                       aOptions.seconds };
  const double cpuBefore = aWorld.CpuMillis();
  const LoadFigures figures = aCaller.Run(step);
  aRow.cpuMillis += aWorld.CpuMillis() - cpuBefore;
  aRow.calls += aRow.perSecond * (step.warmUpSeconds + step.seconds);
  aRow.roundP50.push_back(QuantileOf(figures.latencies, 0.5));
  aRow.roundP99.push_back(QuantileOf(figures.latencies, 0.99));
  std::ranges::copy(figures.latencies,
                    std::back_inserter(aRow.figures.latencies));
  std::ranges::copy(figures.lags, std::back_inserter(aRow.figures.lags));
  aRow.figures.failed += figures.failed;
}

/** What a quantile gained in each round; rounds differ by other load. */
std::vector<double>
Differences(const std::vector<double>& aValues,
            const std::vector<double>& aBases)
{
  std::vector<double> differences;
  std::ranges::transform(
    aValues, aBases, std::back_inserter(differences), std::minus<>());
  return differences;
}

void
Print(const Row& aRow, const Row& aDirect, bool aIsCsv)
{
  constexpr double kMillisPerSecond = 1000;
  const auto added50 = Differences(aRow.roundP50, aDirect.roundP50);
  const auto added99 = Differences(aRow.roundP99, aDirect.roundP99);
  const double p50 = QuantileOf(aRow.figures.latencies, 0.5);
  const double p99 = QuantileOf(aRow.figures.latencies, 0.99);
  const bool isCounted = aRow.stops > 0 && aRow.cpuMillis > 0;
  const char* format =
    aIsCsv ? "{},{},{},{:.0f},{},{},{:.3f},{:.3f},{:.3f},{:.3f},{:.3f},{:.3f},"
             "{:.3f},{:.0f}\n"
           : "{:<6}{:<5}{:<10}{:>6.0f}{:>7}{:>6}{:>8.3f}{:>8.3f}{:>9.3f}"
             "{:>9.3f}{:>9.3f}{:>9.3f}{:>8.3f}{:>9.0f}\n";
  fmt::print(fmt::runtime(format),
             aRow.load,
             aRow.method,
             kPathNames[aRow.stops],
             aRow.perSecond,
             aRow.figures.latencies.size(),
             aRow.figures.failed,
             p50,
             p99,
             QuantileOf(added50, 0.5),
             QuantileOf(added99, 0.5),
             QuantileOf(added99, 0.25),
             QuantileOf(added99, 0.75),
             QuantileOf(aRow.figures.lags, 0.99),
             isCounted ? aRow.calls * kMillisPerSecond / aRow.cpuMillis : 0.0);
}

void
PrintAll(const std::vector<Row>& aRows, bool aIsCsv)
{
  fmt::print("{}",
             aIsCsv
               ? "load,method,path,per_second,calls,failed,p50_ms,p99_ms,"
                 "added_p50_ms,added_p99_ms,added_p99_q1_ms,added_p99_q3_ms,"
                 "caller_lag_p99_ms,calls_per_core_second\n"
               : "load  meth path        rate  calls  fail     p50     p99"
                 "   +p50     +p99    q1+p99   q3+p99  lag99  calls/core\n");
  const Row* direct = nullptr;
  for (const Row& row : aRows) {
    direct = row.stops == 0 ? &row : direct;
    Print(row, *direct, aIsCsv);
  }
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const auto options = ReadOptions(aCount, aArguments);
  if (!options) {
    fmt::print(stderr,
               "usage: bench-calls [--slots N] [--service-ms MS] [--rounds N]\n"
               "         [--seconds S] [--light CALLS/S] [--share SLOTS]\n"
               "         [--only PART] [--daemon PROGRAM] [--csv]\n");
    return EXIT_FAILURE;
  }
  CallWorld world(
    options->slots, options->serviceMillis, options->daemonProgram);
  if (!world.IsServing()) {
    fmt::print(stderr, "the daemons do not answer\n");
    return EXIT_FAILURE;
  }
  OpenLoopCaller caller;
  const double slotMillis = MeasureSlotMillis(*options, world, caller);
  std::vector<Row> rows = RowsFor(*options, slotMillis);
  for (int i = 0; i < options->rounds; ++i) {
    std::ranges::for_each(
      rows, [&](Row& aRow) { RunStep(*options, world, caller, aRow); });
  }
  PrintAll(rows, options->isCsv);
  return EXIT_SUCCESS;
}
