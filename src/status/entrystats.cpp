#include "status/entrystats.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr double kSlowDeadlineFraction = 0.5;
constexpr double kSlowLatencyFactor = 4;

// Below this, a latency far above the mean is scheduling noise.
constexpr double kMinSlowMillis = 5;

// The mean latency is not used before this number of answers.
constexpr std::int64_t kMinAnswersForMean = 50;
constexpr double kMinMeanWeight = 0.01;

// Slow calls count towards the mean too. Otherwise, a lasting rise of the
// latency would be reported forever.
constexpr double kSlowCallWeight = 0.0005;

constexpr std::size_t kMaxCallers = 8;

// A problem ends after this number of intervals without one. If it recurs
// earlier, its start time stays.
constexpr int kIntervalsUntilResolved = 3;

// Statistics of an entry without calls are dropped after this number of
// intervals.
constexpr int kMaxIdleIntervals = 120;

constexpr double kMicrosPerMilli = 1000;

std::int32_t
MicrosFromMillis(double aMillis)
{
  constexpr double kMaxMicros = 2e9;
  return static_cast<std::int32_t>(
    std::min(kMaxMicros, std::round(aMillis * kMicrosPerMilli)));
}

} // namespace

bool
EntryStats::Key::operator<(const Key& aOther) const
{
  return std::tie(this->entry, this->owner) <
         std::tie(aOther.entry, aOther.owner);
}

EntryStats::EntryStats(Clock aWallClock)
  : clock(std::move(aWallClock))
{
}

void
EntryStats::Record(const CallRecord& aCall)
{
  Stats& entry = this->stats[{ aCall.entry, aCall.owner }];
  Interval& interval = entry.interval;
  ++interval.calls;
  const bool isAnswered = aCall.outcome == wire::CallOutcome::DONE;
  const bool isSlow = isAnswered && IsSlow(entry, aCall);
  const bool isUnknown = aCall.outcome == wire::CallOutcome::UNKNOWN;
  if (isAnswered) {
    entry.latency.Add(aCall.latencyMillis, this->clock.PreciseNow());
    UpdateMeanLatency(entry, aCall.latencyMillis, isSlow);
  }
  interval.slow += isSlow ? 1 : 0;
  interval.unknown += isUnknown ? 1 : 0;
  if (aCall.refusal) {
    ++interval.refused;
    CountRefusal(interval, *aCall.refusal);
  }
  if (isSlow || isUnknown || aCall.refusal) {
    CountCaller(interval, aCall.caller);
    entry.problemSince =
      entry.problemSince == 0 ? this->clock.Now() : entry.problemSince;
  }
}

std::vector<wire::EntryReport>
EntryStats::TakeReports()
{
  std::vector<wire::EntryReport> reports;
  for (auto& [key, entry] : this->stats) {
    if (HasProblem(entry.interval)) {
      reports.push_back(this->MakeReport(key, entry));
      entry.intervalsWithoutProblem = 0;
    } else if (++entry.intervalsWithoutProblem >= kIntervalsUntilResolved) {
      entry.problemSince = 0;
    }
    if (entry.interval.calls > 0 && entry.problemSince == 0) {
      entry.intervalsWithoutProblem = 0;
    }
    entry.interval = Interval();
  }
  std::erase_if(this->stats, [](const auto& aStats) {
    return aStats.second.intervalsWithoutProblem > kMaxIdleIntervals;
  });
  return reports;
}

bool
EntryStats::IsSlow(const Stats& aStats, const CallRecord& aCall)
{
  const double latency = aCall.latencyMillis;
  if (aCall.deadline > 0 &&
      latency > kSlowDeadlineFraction * static_cast<double>(aCall.deadline)) {
    return true;
  }
  return aStats.answerCount >= kMinAnswersForMean && latency > kMinSlowMillis &&
         latency > kSlowLatencyFactor * aStats.meanLatency;
}

void
EntryStats::UpdateMeanLatency(Stats& aStats, double aLatency, bool aIsSlow)
{
  ++aStats.answerCount;
  const double equalWeight = 1.0 / static_cast<double>(aStats.answerCount);
  const double weight =
    aIsSlow ? kSlowCallWeight : std::max(equalWeight, kMinMeanWeight);
  aStats.meanLatency += weight * (aLatency - aStats.meanLatency);
}

/**
 * Counts a problem of aCaller. If kMaxCallers other callers are listed, it
 * replaces the caller with the fewest problems and takes over its count.
 */
void
EntryStats::CountCaller(Interval& aInterval, const std::string& aCaller)
{
  auto& callers = aInterval.callers;
  if (!callers.contains(aCaller) && callers.size() >= kMaxCallers) {
    const auto least = std::ranges::min_element(
      callers, {}, [](const auto& aRow) { return aRow.second; });
    const std::int64_t count = least->second;
    callers.erase(least);
    callers[aCaller] = count;
  }
  ++callers[aCaller];
}

void
EntryStats::CountRefusal(Interval& aInterval, const Refusal& aRefusal)
{
  RefusalCount& count = aInterval.refusals[aRefusal.reason];
  ++count.count;
  if (aRefusal.seen >= count.seen) {
    count.bound = aRefusal.bound;
    count.seen = aRefusal.seen;
  }
}

void
EntryStats::SetExceededLimit(wire::EntryReport& aReport,
                             const Interval& aInterval)
{
  if (aInterval.refusals.empty()) {
    return;
  }
  const auto most = std::ranges::max_element(
    aInterval.refusals, {}, [](const auto& aRow) { return aRow.second.count; });
  aReport.limit = std::string(kRefusalReasonNames.NameOf(most->first));
  aReport.bound = most->second.bound;
  aReport.seen = most->second.seen;
}

bool
EntryStats::HasProblem(const Interval& aInterval)
{
  return aInterval.refused > 0 || aInterval.slow > 0 || aInterval.unknown > 0;
}

wire::EntryReport
EntryStats::MakeReport(const Key& aKey, Stats& aStats) const
{
  const double now = this->clock.PreciseNow();
  const Interval& interval = aStats.interval;
  wire::EntryReport report;
  report.entry = aKey.entry;
  report.owner = aKey.owner;
  report.calls = interval.calls;
  report.refused = interval.refused;
  report.slow = interval.slow;
  report.unknown = interval.unknown;
  report.p50Micros =
    MicrosFromMillis(aStats.latency.Quantile(LatencyQuantile::Median, now));
  report.p99Micros =
    MicrosFromMillis(aStats.latency.Quantile(LatencyQuantile::P99, now));
  report.sinceWallMillis = aStats.problemSince;
  SetExceededLimit(report, interval);
  for (const auto& [caller, count] : interval.callers) {
    report.callers.push_back(caller);
  }
  return report;
}

} // namespace lacewingwharf
