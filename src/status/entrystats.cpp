#include "status/entrystats.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr double kSlowPartOfDeadline = 0.5;
constexpr double kSlowFactor = 4;

// Differences below this are scheduling noise rather than a slow server.
constexpr double kLeastSlowMillis = 5;

// "Usual" is not known before this many answers.
constexpr std::int64_t kAnswersToLearn = 50;
constexpr double kUsualWeight = 0.01;

// Slow calls move the usual latency too, or a lasting change would be reported
// for ever.
constexpr double kSlowWeight = 0.0005;

constexpr std::size_t kCallersKept = 8;

// Trouble that returns within this many quiet intervals is the same trouble.
constexpr int kQuietIntervals = 3;

// Statistics of an entry without calls are dropped after this many intervals.
constexpr int kForgetIntervals = 120;

constexpr double kMicrosPerMilli = 1000;

std::int32_t
MicrosOf(double aMillis)
{
  constexpr double kLargest = 2e9;
  return static_cast<std::int32_t>(
    std::min(kLargest, std::round(aMillis * kMicrosPerMilli)));
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
    Learn(entry, aCall.latencyMillis, isSlow);
  }
  interval.slow += isSlow ? 1 : 0;
  interval.unknown += isUnknown ? 1 : 0;
  if (aCall.refusal) {
    ++interval.refused;
    CountRefusal(interval, *aCall.refusal);
  }
  if (isSlow || isUnknown || aCall.refusal) {
    CountCaller(interval, aCall.caller);
    entry.since = entry.since == 0 ? this->clock.Now() : entry.since;
  }
}

std::vector<wire::EntryReport>
EntryStats::TakeReports()
{
  std::vector<wire::EntryReport> reports;
  for (auto& [key, entry] : this->stats) {
    if (HasTrouble(entry.interval)) {
      reports.push_back(this->ReportOf(key, entry));
      entry.quietIntervals = 0;
    } else if (++entry.quietIntervals >= kQuietIntervals) {
      entry.since = 0;
    }
    if (entry.interval.calls > 0 && entry.since == 0) {
      entry.quietIntervals = 0;
    }
    entry.interval = Interval();
  }
  std::erase_if(this->stats, [](const auto& aStats) {
    return aStats.second.quietIntervals > kForgetIntervals;
  });
  return reports;
}

bool
EntryStats::IsSlow(const Stats& aStats, const CallRecord& aCall)
{
  const double latency = aCall.latencyMillis;
  if (aCall.deadline > 0 &&
      latency > kSlowPartOfDeadline * static_cast<double>(aCall.deadline)) {
    return true;
  }
  return aStats.answers >= kAnswersToLearn && latency > kLeastSlowMillis &&
         latency > kSlowFactor * aStats.usual;
}

void
EntryStats::Learn(Stats& aStats, double aLatency, bool aIsSlow)
{
  ++aStats.answers;
  const double first = 1.0 / static_cast<double>(aStats.answers);
  const double weight = aIsSlow ? kSlowWeight : std::max(first, kUsualWeight);
  aStats.usual += weight * (aLatency - aStats.usual);
}

/** Keeps the callers with the most trouble; the least one gives way. */
void
EntryStats::CountCaller(Interval& aInterval, const std::string& aCaller)
{
  auto& callers = aInterval.callers;
  if (!callers.contains(aCaller) && callers.size() >= kCallersKept) {
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
EntryStats::FillLimit(wire::EntryReport& aReport, const Interval& aInterval)
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
EntryStats::HasTrouble(const Interval& aInterval)
{
  return aInterval.refused > 0 || aInterval.slow > 0 || aInterval.unknown > 0;
}

wire::EntryReport
EntryStats::ReportOf(const Key& aKey, Stats& aStats) const
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
    MicrosOf(aStats.latency.Quantile(LatencyQuantile::Median, now));
  report.p99Micros =
    MicrosOf(aStats.latency.Quantile(LatencyQuantile::P99, now));
  report.sinceWallMillis = aStats.since;
  FillLimit(report, interval);
  for (const auto& [caller, count] : interval.callers) {
    report.callers.push_back(caller);
  }
  return report;
}

} // namespace lacewingwharf
