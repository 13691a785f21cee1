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

/** The result of one call, as the recording daemon observed it. */
struct CallRecord
{
  std::string entry;
  std::string owner;
  std::string caller;
  wire::CallOutcome::type outcome = wire::CallOutcome::DONE;
  double latencyMillis = 0;
  Millis deadline = 0; // Duration that the call was given, not a time stamp.
  std::optional<Refusal> refusal;
};

/**
 * Counts calls per entry and owner between two reports. A call is slow if it
 * takes more than half of its deadline, or several times the long-term mean
 * latency of its entry and owner. A problem is a call that was refused, was
 * slow or has an unknown outcome.
 */
class EntryStats
{
public:
  /**
   * Reports contain the wall-clock time at which problems began. The same clock
   * dates the latencies, for which any clock would do.
   */
  explicit EntryStats(Clock aWallClock);

  void Record(const CallRecord& aCall);

  /**
   * Returns a report of each entry and owner that had problems since the
   * previous TakeReports(), and starts the next interval.
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
    std::map<std::string, std::int64_t> callers; // Problems by caller.
  };

  struct Stats
  {
    Interval interval;
    LatencyRecorder latency;
    double meanLatency = 0; // Long-term, in milliseconds.
    std::int64_t answerCount = 0;
    Millis problemSince = 0; // Wall clock; 0 if there is no problem.
    int intervalsWithoutProblem = 0;
  };

  static bool IsSlow(const Stats& aStats, const CallRecord& aCall);
  static void UpdateMeanLatency(Stats& aStats, double aLatency, bool aIsSlow);
  static void CountCaller(Interval& aInterval, const std::string& aCaller);
  static void CountRefusal(Interval& aInterval, const Refusal& aRefusal);
  static void SetExceededLimit(wire::EntryReport& aReport,
                               const Interval& aInterval);
  static bool HasProblem(const Interval& aInterval);
  wire::EntryReport MakeReport(const Key& aKey, Stats& aStats) const;

  Clock clock;
  std::map<Key, Stats> stats;
};

} // namespace lacewingwharf
