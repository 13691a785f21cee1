#pragma once

#include "admission/refusal.h"
#include "common/clock.h"
#include "status/latencyrecorder.h"

#include <peer_types.h>

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lacewingwharf {

/** How one call ended, as seen by the daemon that records it. */
struct CallRecord
{
  std::string entry;
  std::string owner;
  std::string caller;
  wire::CallOutcome::type outcome = wire::CallOutcome::DONE;
  double latencyMillis = 0;
  Millis deadline = 0; // Length of time that the call had, not a time stamp.
  std::optional<Refusal> refusal;
};

/**
 * Counts calls per entry and owner between two reports. A call is slow when it
 * took more than half of its deadline, or several times what the entry's calls
 * usually take.
 */
class EntryStats
{
public:
  /** The wall clock gives "since" in reports; latencies need only one clock. */
  explicit EntryStats(Clock aWallClock);

  void Record(const CallRecord& aCall);

  /**
   * Reports entries with refusals, slow calls or unknown outcomes since the
   * last call and starts the next interval.
   */
  std::vector<wire::EntryReport> TakeReports();

private:
  struct Key
  {
    std::string entry;
    std::string owner;

    bool operator==(const Key&) const = default;
    bool operator<(const Key& aOther) const;
  };

  struct RefusalCount
  {
    std::int64_t count = 0;
    std::int64_t bound = 0;
    std::int64_t seen = 0;
  };

  struct Interval
  {
    std::int64_t calls = 0;
    std::int64_t refused = 0;
    std::int64_t slow = 0;
    std::int64_t unknown = 0;
    std::map<RefusalReason, RefusalCount> refusals;
    std::map<std::string, std::int64_t> callers; // Of refused or slow calls.
  };

  struct Stats
  {
    Interval interval;
    LatencyRecorder latency;
    double usual = 0; // Long-term mean latency.
    std::int64_t answers = 0;
    Millis since = 0; // 0 while there is no trouble.
    int quietIntervals = 0;
  };

  static bool IsSlow(const Stats& aStats, const CallRecord& aCall);
  static void Learn(Stats& aStats, double aLatency, bool aIsSlow);
  static void CountCaller(Interval& aInterval, const std::string& aCaller);
  static void CountRefusal(Interval& aInterval, const Refusal& aRefusal);
  static void FillLimit(wire::EntryReport& aReport, const Interval& aInterval);
  static bool HasTrouble(const Interval& aInterval);
  wire::EntryReport ReportOf(const Key& aKey, Stats& aStats) const;

  Clock clock;
  std::map<Key, Stats> stats;
};

} // namespace lacewingwharf
