#include "rollout/rolloutreports.h"

#include "rollout/rollouttimes.h"

#include <algorithm>

namespace lacewingwharf {

namespace {

// With the head of a report, below the limit of a datagram (1,200 bytes).
constexpr std::size_t kMaxRowBytes = 800;

// A changed row is sent in this many reports, because one may be lost.
constexpr std::uint64_t kRepeats = 2;

// Repeated for a new decider in each report. 100 routes take about 2 s, and 300
// daemons send 3 MB/s in that time (calculated).
constexpr std::size_t kMaxRepeatBytes = 2400;

std::size_t
SizeOf(const wire::RolloutCounts& aRow)
{
  constexpr std::size_t kFixedBytes = 16;
  constexpr std::size_t kTimeBytes = 2;
  return kFixedBytes + aRow.route.size() + kTimeBytes * aRow.times.size();
}

} // namespace

void
RolloutReports::SetOrder(std::int64_t aOrder, bool aIsSameVersion)
{
  if (aOrder == this->order) {
    return;
  }
  const std::int64_t sent = aIsSameVersion ? this->exposed : 0;
  *this = RolloutReports();
  this->order = aOrder;
  this->exposed = sent;
}

void
RolloutReports::RecordStart(bool aIsTarget)
{
  ++this->requests;
  this->exposed += aIsTarget ? 1 : 0;
}

void
RolloutReports::RecordEnd(std::int64_t aOrder,
                          const std::string& aRoute,
                          bool aIsTarget,
                          const ServerResult& aResult)
{
  if (!aResult.hasReached && aOrder == this->order) {
    --this->requests;
    this->exposed -= aIsTarget ? 1 : 0;
  }
  if (!aResult.isAnswer) {
    return;
  }
  Row& row = this->rows[{ aRoute, aIsTarget }];
  row.counts.route = aRoute;
  row.counts.isTarget = aIsTarget;
  ++row.counts.answers;
  row.counts.failures += aResult.isFailure ? 1 : 0;
  row.changedIn = this->round;
  if (aResult.isFailure || !aResult.isTimeUseful) {
    return;
  }
  const std::size_t range = TimeRangeOf(aResult.serviceMillis);
  if (row.counts.times.size() <= range) {
    row.counts.times.resize(range + 1);
  }
  ++row.counts.times[range];
}

std::vector<wire::RolloutReport>
RolloutReports::Take(const wire::RolloutReport& aHead)
{
  std::vector<wire::RolloutCounts> due;
  for (const auto& [key, row] : this->rows) {
    if (row.changedIn + kRepeats > this->round) {
      due.push_back(row.counts);
    }
  }
  this->AddRepair(due);
  ++this->round;
  wire::RolloutReport report = aHead;
  report.order = this->order;
  report.requests = this->requests;
  report.exposed = this->exposed;
  std::vector<wire::RolloutReport> reports{ report };
  std::size_t size = 0;
  for (const wire::RolloutCounts& row : due) {
    size += SizeOf(row);
    if (size > kMaxRowBytes && !reports.back().counts.empty()) {
      reports.push_back(report);
      size = SizeOf(row);
    }
    reports.back().counts.push_back(row);
  }
  return reports;
}

/** Repeats one row after the other, for a decider that lacks older ones. */
void
RolloutReports::AddRepair(std::vector<wire::RolloutCounts>& aRows)
{
  std::size_t size = 0;
  do {
    if (this->rows.empty()) {
      return;
    }
    auto next = this->rows.upper_bound(this->repaired);
    next = next == this->rows.end() ? this->rows.begin() : next;
    this->repaired = next->first;
    if (next->second.changedIn + kRepeats <= this->round) {
      aRows.push_back(next->second.counts);
      size += SizeOf(next->second.counts);
    }
    this->repeatsLeft -= this->repeatsLeft > 0 ? 1 : 0;
  } while (this->repeatsLeft > 0 && size < kMaxRepeatBytes);
}

} // namespace lacewingwharf
