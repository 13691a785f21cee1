// Measures messages, bytes and CPU time of configuration distribution. Compares
// a push tree whose members fetch what they missed with two simpler strategies:
// the acceptor pushes whole snapshots to all daemons, or every daemon polls the
// platform. Runs only the classes that decide what is sent, without processes
// or sockets.

#include "distributionfleet.h"

#include "common/log.h"

#include <getopt.h>

#include <ctime>

using namespace lacewingwharf;

namespace {

// About 3: 5,800 changes per day and one poll every 5 s.
constexpr double kPollsPerChange = 86400.0 / 5800 / 5;

// Request and answer of one HTTP poll, with short headers.
constexpr std::uint64_t kPollBytes = 340;

/** Catalogue of the target size, one change to it, and their encoded sizes. */
struct Sizes
{
  SnapshotPtr base;
  SnapshotPtr next;
  Delta delta;
  double pushBytes = 0;
  double wholeBytes = 0;
  double storedBytes = 0;
};

Sizes
MeasureSizes()
{
  FakeStore store;
  FillCatalogue(store, kServices, kRoutes);
  const auto list = [&store] {
    return store.Hooks().list("catalogue/").assume_value();
  };
  Sizes sizes;
  sizes.base = DecideNext(*Snapshot::Empty(), list()).next;
  store.Edit("catalogue/route-1", RouteText(1, 30));
  sizes.next = DecideNext(*sizes.base, list()).next;
  sizes.delta = DeltaBetween(*sizes.base, *sizes.next);
  sizes.pushBytes = double(EncodedBytes(MakePush(sizes.delta)));
  sizes.wholeBytes =
    double(EncodedBytes(MakePush(MakeWholeDelta(*sizes.next))));
  sizes.storedBytes =
    double(EncodeAccepted({ sizes.delta, "h0000", "0123456789abcdef" }).size());
  return sizes;
}

struct Row
{
  int members = 0;
  const char* strategy = "";
  Traffic traffic; // Per change.
};

Row
MeasureTree(Fleet& aFleet,
            int aMembers,
            std::uint64_t aLossPercent,
            const char* aStrategy)
{
  Traffic traffic = aFleet.Measure(aLossPercent);
  if (!aFleet.IsConverged()) {
    fmt::print(stderr,
               "the fleet of {} members did not converge to one version\n",
               aMembers);
  }
  for (double* const value : { &traffic.messages,
                               &traffic.bytes,
                               &traffic.linkBytes,
                               &traffic.platformCalls,
                               &traffic.platformBytes,
                               &traffic.largestSender }) {
    *value /= kChangeCount;
  }
  return { aMembers, aStrategy, traffic };
}

/** Calculates the case in which the acceptor sends each member the snapshot. */
Row
CalculateWholeToAll(int aMembers, const Sizes& aSizes)
{
  Traffic traffic;
  traffic.messages = aMembers - 1;
  traffic.bytes = traffic.messages * aSizes.wholeBytes;
  traffic.linkBytes = traffic.bytes / 2;
  traffic.platformCalls = 2;
  traffic.platformBytes = aSizes.storedBytes;
  traffic.largestSender = traffic.bytes;
  return { aMembers, "whole-to-all", traffic };
}

/**
 * Calculates the case in which each member polls every 5 s and reads the new
 * accepted object.
 */
Row
CalculatePollByAll(int aMembers, const Sizes& aSizes)
{
  Traffic traffic;
  traffic.platformCalls = aMembers * kPollsPerChange;
  traffic.platformBytes =
    traffic.platformCalls * double(kPollBytes) + aMembers * aSizes.storedBytes;
  traffic.linkBytes = traffic.platformBytes / 2;
  traffic.slowestMillis = 5000;
  return { aMembers, "poll-by-all", traffic };
}

void
Print(const Row& aRow, bool aIsCsv)
{
  const Traffic& traffic = aRow.traffic;
  const double perDaemon =
    (traffic.bytes + traffic.platformBytes) / aRow.members;
  fmt::print(
    fmt::runtime(aIsCsv
                   ? "{},{},{:.1f},{:.0f},{:.0f},{:.0f},{:.0f},{:.1f},{:.0f}\n"
                   : "{:>7} {:<13} {:>9.1f} {:>12.0f} {:>10.0f} {:>12.0f} "
                     "{:>12.0f} {:>9.1f} {:>7.0f}\n"),
    aRow.members,
    aRow.strategy,
    traffic.messages,
    traffic.bytes,
    perDaemon,
    traffic.largestSender,
    traffic.linkBytes,
    traffic.platformCalls,
    traffic.slowestMillis);
}

void
PrintHeader(bool aIsCsv)
{
  if (aIsCsv) {
    fmt::print("members,strategy,messages,peer_bytes,bytes_per_daemon,"
               "largest_sender_bytes,region_link_bytes,platform_calls,"
               "slowest_ms\n");
    return;
  }
  fmt::print("Per change. The tree with fetches is simulated, the others are "
             "calculated from\nmeasured sizes; ms 0: not simulated.\n");
  fmt::print("{:>7} {:<13} {:>9} {:>12} {:>10} {:>12} {:>12} {:>9} {:>7}\n",
             "members",
             "strategy",
             "messages",
             "peer bytes",
             "per daemon",
             "top sender",
             "link bytes",
             "platform",
             "ms");
}

/** Returns the mean CPU time of one call of aWork in microseconds. */
template<typename Work>
double
CpuMicros(int aRepeats, Work aWork)
{
  const std::clock_t start = std::clock();
  for (int repeat = 0; repeat < aRepeats; ++repeat) {
    aWork();
  }
  const auto ticks = double(std::clock() - start);
  return ticks * 1e6 / CLOCKS_PER_SEC / aRepeats;
}

void
PrintCost(const char* aName, double aMicros, double aBytes, bool aIsCsv)
{
  if (aIsCsv) {
    fmt::print("{},{:.3f},{:.0f}\n", aName, aMicros, aBytes);
  } else {
    fmt::print("{:<24} {:>10.3f} us {:>9.0f} bytes\n", aName, aMicros, aBytes);
  }
}

void
PrintCosts(const Sizes& aSizes, bool aIsCsv)
{
  const Delta whole = MakeWholeDelta(*aSizes.next);
  const wire::ConfigBody deltaBody = ToWire(aSizes.delta);
  const wire::ConfigBody wholeBody = ToWire(whole);
  const Snapshot& base = *aSizes.base;
  const Snapshot& empty = *Snapshot::Empty();
  std::size_t checked = 0;
  const auto apply = [&checked](const Snapshot& aBase,
                                const wire::ConfigBody& aBody) {
    const Delta delta = FromWire(aBody).assume_value();
    checked += Apply(aBase, delta).has_value() ? 1U : 0U;
  };
  fmt::print("{}", aIsCsv ? "\noperation,cpu_us,bytes\n" : "\nCPU time\n");
  PrintCost("delta-encode",
            CpuMicros(2000, [&] { EncodedBytes(MakePush(aSizes.delta)); }),
            aSizes.pushBytes,
            aIsCsv);
  PrintCost("delta-apply",
            CpuMicros(200, [&] { apply(base, deltaBody); }),
            aSizes.pushBytes,
            aIsCsv);
  PrintCost("whole-encode",
            CpuMicros(50, [&] { EncodedBytes(MakePush(whole)); }),
            aSizes.wholeBytes,
            aIsCsv);
  PrintCost("whole-apply",
            CpuMicros(50, [&] { apply(empty, wholeBody); }),
            aSizes.wholeBytes,
            aIsCsv);
  PrintCost("route-match",
            CpuMicros(200000,
                      [&] {
                        checked += base.MatchRoute(HttpMethod::Get,
                                                   "/service-7/part-7/a/b")
                                     ? 1U
                                     : 0U;
                      }),
            0,
            aIsCsv);
  if (checked == 0) {
    fmt::print(stderr, "no delta could be applied and no route matched\n");
  }
}

bool
IsCsvWanted(int aCount, char** aArguments)
{
  static const option sOptions[] = { { "csv", no_argument, nullptr, 'c' },
                                     { nullptr, 0, nullptr, 0 } };
  return getopt_long(aCount, aArguments, "c", sOptions, nullptr) == 'c';
}

} // namespace

int
main(int aCount, char** aArguments)
{
  Log::SetLevel(LogLevel::Error);
  const bool isCsv = IsCsvWanted(aCount, aArguments);
  const Sizes sizes = MeasureSizes();
  PrintHeader(isCsv);
  for (const int members : { 8, 100, 1000, 6300 }) {
    Fleet fleet(members);
    Print(MeasureTree(fleet, members, 0, "tree"), isCsv);
    Print(MeasureTree(fleet, members, 1, "tree, 1% lost"), isCsv);
    Print(CalculateWholeToAll(members, sizes), isCsv);
    Print(CalculatePollByAll(members, sizes), isCsv);
  }
  PrintCosts(sizes, isCsv);
  return 0;
}
