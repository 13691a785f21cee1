// Measures the latency that daemons add to a call, compared with a direct call
// to the same backend server. Two daemons, the platform stand-in and one
// backend server run as processes. The caller sends evenly spaced calls on
// three paths: directly, through the daemon on the host of the backend server
// (one stop), and through the other daemon as well (two stops). The benchmark
// alternates between the paths in many short rounds, so that other load on the
// machine affects all of them equally. In each round, the quantile of the
// direct path is subtracted from that of the measured path. The added latency
// is the median of these differences over all rounds; q1 and q3 are their
// quartiles.

#include "calltestbed.h"
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

using namespace lacewingwharf;
using namespace lacewingwharf::bench;

namespace {

constexpr double kWarmUpSeconds = 0.05;

struct Options
{
  int slots = 6;
  int serviceMillis = 1;
  int rounds = 10;
  double seconds = 0.25; // Measured time of one path in one round.
  double lightCallsPerSecond = 600;
  double loadShare = 0.7; // High load, as a share of the slots.
  std::string daemonProgram = "lacewingwharfd"; // In the build directory.
  std::string only; // Selects rows by a part of their name; empty selects all.
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
        options.lightCallsPerSecond = std::atof(optarg);
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
                       options.lightCallsPerSecond > 0 && options.loadShare > 0;
  return isValid ? std::optional(options) : std::nullopt;
}

struct Row
{
  std::string load;
  std::string method;
  std::size_t daemonCount = 0;
  double callsPerSecond = 0;
  LoadResult results;
  std::vector<double> roundP50; // One value per round.
  std::vector<double> roundP99;
  double cpuMillis = 0;
  double calls = 0; // Includes the warm-up, as cpuMillis does.
};

constexpr const char* kPathNames[] = { "direct", "one stop", "two stops" };

std::string
NameOf(const Row& aRow)
{
  return fmt::format("{}/{}/{}", aRow.load, aRow.method, aRow.daemonCount);
}

std::vector<Row>
MakeRows(const Options& aOptions, double aSlotMillis)
{
  constexpr std::size_t kPathCount = 3;
  constexpr double kMillisPerSecond = 1000;
  const double highCallsPerSecond =
    aOptions.loadShare * aOptions.slots * kMillisPerSecond / aSlotMillis;
  std::vector<Row> rows;
  for (const auto& [load, rate] :
       { std::pair{ "light", aOptions.lightCallsPerSecond },
         std::pair{ "high", highCallsPerSecond } }) {
    for (const char* method : { "GET", "POST" }) {
      for (std::size_t daemonCount = 0; daemonCount < kPathCount;
           ++daemonCount) {
        Row row;
        row.load = load;
        row.method = method;
        row.daemonCount = daemonCount;
        row.callsPerSecond = rate;
        // Each row is compared with its direct row, so direct rows are always
        // kept.
        if (daemonCount == 0 ||
            NameOf(row).find(aOptions.only) != row.load.npos) {
          rows.push_back(std::move(row));
        }
      }
    }
  }
  return rows;
}

/**
 * Returns the median duration of a direct call at light load. A call occupies
 * its slot for at least this long, which exceeds the nominal service time.
 */
double
MeasureSlotMillis(const Options& aOptions,
                  const CallTestbed& aTestbed,
                  OpenLoopCaller& aCaller)
{
  const LoadStep step{
    "GET", aTestbed.Url(0), aOptions.lightCallsPerSecond, kWarmUpSeconds, 1
  };
  return QuantileOf(aCaller.Run(step).latencies, 0.5);
}

void
RunStep(const Options& aOptions,
        const CallTestbed& aTestbed,
        OpenLoopCaller& aCaller,
        Row& aRow)
{
  const LoadStep step{ aRow.method,
                       aTestbed.Url(aRow.daemonCount),
                       aRow.callsPerSecond,
                       kWarmUpSeconds,
                       aOptions.seconds };
  const double cpuBefore = aTestbed.CpuMillis();
  const LoadResult results = aCaller.Run(step);
  aRow.cpuMillis += aTestbed.CpuMillis() - cpuBefore;
  aRow.calls += aRow.callsPerSecond * (step.warmUpSeconds + step.seconds);
  aRow.roundP50.push_back(QuantileOf(results.latencies, 0.5));
  aRow.roundP99.push_back(QuantileOf(results.latencies, 0.99));
  std::ranges::copy(results.latencies,
                    std::back_inserter(aRow.results.latencies));
  std::ranges::copy(results.startDelays,
                    std::back_inserter(aRow.results.startDelays));
  aRow.results.failed += results.failed;
}

/**
 * Differences between the quantiles of two paths, round by round. Other load on
 * the machine varies between rounds, so only values of one round are compared.
 */
std::vector<double>
RoundDifferences(const std::vector<double>& aValues,
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
  const auto added50 = RoundDifferences(aRow.roundP50, aDirect.roundP50);
  const auto added99 = RoundDifferences(aRow.roundP99, aDirect.roundP99);
  const double p50 = QuantileOf(aRow.results.latencies, 0.5);
  const double p99 = QuantileOf(aRow.results.latencies, 0.99);
  const bool hasCpuTime = aRow.daemonCount > 0 && aRow.cpuMillis > 0;
  const char* format =
    aIsCsv ? "{},{},{},{:.0f},{},{},{:.3f},{:.3f},{:.3f},{:.3f},{:.3f},{:.3f},"
             "{:.3f},{:.0f}\n"
           : "{:<6}{:<5}{:<10}{:>6.0f}{:>7}{:>6}{:>8.3f}{:>8.3f}{:>9.3f}"
             "{:>9.3f}{:>9.3f}{:>9.3f}{:>8.3f}{:>9.0f}\n";
  fmt::print(fmt::runtime(format),
             aRow.load,
             aRow.method,
             kPathNames[aRow.daemonCount],
             aRow.callsPerSecond,
             aRow.results.latencies.size(),
             aRow.results.failed,
             p50,
             p99,
             QuantileOf(added50, 0.5),
             QuantileOf(added99, 0.5),
             QuantileOf(added99, 0.25),
             QuantileOf(added99, 0.75),
             QuantileOf(aRow.results.startDelays, 0.99),
             hasCpuTime ? aRow.calls * kMillisPerSecond / aRow.cpuMillis : 0.0);
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
    direct = row.daemonCount == 0 ? &row : direct;
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
  CallTestbed testbed(
    options->slots, options->serviceMillis, options->daemonProgram);
  if (!testbed.WaitUntilServing()) {
    fmt::print(stderr, "the daemons do not answer\n");
    return EXIT_FAILURE;
  }
  OpenLoopCaller caller;
  const double slotMillis = MeasureSlotMillis(*options, testbed, caller);
  std::vector<Row> rows = MakeRows(*options, slotMillis);
  for (int i = 0; i < options->rounds; ++i) {
    std::ranges::for_each(
      rows, [&](Row& aRow) { RunStep(*options, testbed, caller, aRow); });
  }
  PrintAll(rows, options->isCsv);
  return EXIT_SUCCESS;
}
