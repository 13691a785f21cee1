#pragma once

#include <fmt/format.h>
#include <getopt.h>

#include <cstdio>
#include <cstdlib>
#include <string>

namespace lacewingwharf::bench {

/** Command line options; one run measures a fleet of one size. */
struct ConvergenceOptions
{
  int daemons = 8;
  int changes = 20;
  int idleSeconds = 10;
  int services = 270;
  double churnPerSecond = 10;
  bool isAnnouncing = true;

  /** Whether the settings of every daemon list seed peers of all domains. */
  bool hasAllSeeds = true;
  bool isCsv = false;
  bool shouldRunFleet = true;
  bool shouldRunNaive = true;
  std::string binaryDirectory; // Empty: the build of this program.
  std::string logDirectory;    // Empty: logs are not kept.
};

inline void
PrintConvergenceUsage()
{
  fmt::print(
    "usage: bench-convergence [--daemons N] [--changes N] [--rest-s N]\n"
    "         [--services N] [--churn-per-s N] [--no-endpoints] [--csv]\n"
    "         [--only fleet|naive] [--logs DIRECTORY]\n"
    "         [--binaries DIRECTORY] [--seeds all|domain]\n");
}

inline bool
ReadConvergenceOptions(int aCount,
                       char** aArguments,
                       ConvergenceOptions& aOptions)
{
  static const option sOptions[] = {
    { "daemons", required_argument, nullptr, 'd' },
    { "changes", required_argument, nullptr, 'n' },
    { "rest-s", required_argument, nullptr, 'r' },
    { "services", required_argument, nullptr, 's' },
    { "churn-per-s", required_argument, nullptr, 'u' },
    { "no-endpoints", no_argument, nullptr, 'e' },
    { "only", required_argument, nullptr, 'o' },
    { "logs", required_argument, nullptr, 'l' },
    { "binaries", required_argument, nullptr, 'b' },
    { "seeds", required_argument, nullptr, 'p' },
    { "csv", no_argument, nullptr, 'c' },
    { nullptr, 0, nullptr, 0 },
  };
  int choice = 0;
  while ((choice = getopt_long(aCount, aArguments, "", sOptions, nullptr)) !=
         -1) {
    switch (choice) {
      case 'd':
        aOptions.daemons = std::atoi(optarg);
        break;
      case 'n':
        aOptions.changes = std::atoi(optarg);
        break;
      case 'r':
        aOptions.idleSeconds = std::atoi(optarg);
        break;
      case 's':
        aOptions.services = std::atoi(optarg);
        break;
      case 'u':
        aOptions.churnPerSecond = std::atof(optarg);
        break;
      case 'e':
        aOptions.isAnnouncing = false;
        break;
      case 'o':
        aOptions.shouldRunFleet = std::string(optarg) == "fleet";
        aOptions.shouldRunNaive = std::string(optarg) == "naive";
        break;
      case 'l':
        aOptions.logDirectory = optarg;
        break;
      case 'p':
        aOptions.hasAllSeeds = std::string(optarg) == "all";
        break;
      case 'b':
        aOptions.binaryDirectory = optarg;
        break;
      case 'c':
        aOptions.isCsv = true;
        break;
      default:
        return false;
    }
  }
  // The last number of an IPv4 address holds the index of a daemon within its
  // domain, which limits the daemons per domain.
  constexpr int kMaxDaemons = 400;
  return aOptions.daemons >= 4 && aOptions.daemons <= kMaxDaemons &&
         aOptions.changes > 0 && aOptions.idleSeconds > 0 &&
         aOptions.services > 0 && aOptions.churnPerSecond > 0;
}

/** Prints one measured value as a row of the table or of the CSV. */
inline void
PrintValue(const ConvergenceOptions& aOptions,
           const std::string& aPhase,
           const std::string& aWhat,
           double aValue,
           const std::string& aUnit)
{
  if (aOptions.isCsv) {
    fmt::print(
      "{},{},{},{:.3f},{}\n", aOptions.daemons, aPhase, aWhat, aValue, aUnit);
  } else {
    fmt::print("{:>5} {:<14} {:<42} {:>14.2f} {}\n",
               aOptions.daemons,
               aPhase,
               aWhat,
               aValue,
               aUnit);
  }
  std::fflush(stdout);
}

} // namespace lacewingwharf::bench
