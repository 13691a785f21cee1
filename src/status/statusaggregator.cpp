#include "status/statusaggregator.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace lacewingwharf {

namespace {

constexpr Millis kEntryWriteInterval = 5000;
constexpr Millis kSecond = 1000;
constexpr std::size_t kMaxWritesPerSecond = 20;

// Daemons report every 5 s. After two missing reports, the problems have ended.
constexpr Millis kReportLifetime = 12000;
constexpr std::size_t kMaxCallers = 8;

void
AddCounts(DomainStatus& aStatus, const wire::EntryReport& aReport)
{
  const std::int64_t calls = aStatus.calls + aReport.calls;
  if (calls > 0) {
    aStatus.p50Micros =
      (aStatus.p50Micros * aStatus.calls + aReport.p50Micros * aReport.calls) /
      calls;
  }
  aStatus.p99Micros =
    std::max<std::int64_t>(aStatus.p99Micros, aReport.p99Micros);
  aStatus.calls = calls;
  aStatus.refused += aReport.refused;
  aStatus.slow += aReport.slow;
  aStatus.unknown += aReport.unknown;
}

void
AddSince(DomainStatus& aStatus, const wire::EntryReport& aReport)
{
  if (aReport.sinceWallMillis <= 0) {
    return;
  }
  aStatus.since = aStatus.since == 0
                    ? aReport.sinceWallMillis
                    : std::min(aStatus.since, aReport.sinceWallMillis);
}

void
AddCallers(DomainStatus& aStatus, const wire::EntryReport& aReport)
{
  for (const std::string& caller : aReport.callers) {
    const bool isKnown =
      std::ranges::find(aStatus.callers, caller) != aStatus.callers.end();
    if (!isKnown && aStatus.callers.size() < kMaxCallers) {
      aStatus.callers.push_back(caller);
    }
  }
}

} // namespace

StatusAggregator::StatusAggregator(std::string aDomain,
                                   Clock aWallClock,
                                   Write aWrite)
  : domain(std::move(aDomain))
  , clock(std::move(aWallClock))
  , write(std::move(aWrite))
{
}

void
StatusAggregator::Merge(const wire::StatusReport& aReport)
{
  const Millis now = this->clock.Now();
  for (const wire::EntryReport& report : aReport.entries) {
    Entry& entry = this->entries[report.entry];
    entry.reportsByHost[aReport.host] = { report, now };
    entry.isChanged = true;
    this->ownersByEntry[report.entry] = report.owner;
  }
}

void
StatusAggregator::Tick()
{
  const Millis now = this->clock.Now();
  std::vector<std::pair<Millis, std::string>> due;
  for (auto& [name, entry] : this->entries) {
    this->DropOldReports(entry, now);
    if (this->IsDue(entry, now)) {
      due.emplace_back(entry.writtenAt, name);
    }
  }
  std::ranges::sort(due);
  for (const auto& [writtenAt, name] : due) {
    if (!this->IsWriteAllowed(now)) {
      return;
    }
    Entry& entry = this->entries.at(name);
    StoredObject object;
    object.name = StatusObjectName(name, this->domain);
    object.value = EncodeStatus(this->MergeReports(name, entry, now));
    this->recentWrites.push_back(now);
    entry.writtenAt = now;
    entry.isChanged = false;
    if (entry.reportsByHost.empty()) {
      this->entries.erase(name);
      this->ownersByEntry.erase(name);
    }
    this->write(object);
  }
}

void
StatusAggregator::DropOldReports(Entry& aEntry, Millis aNow) const
{
  const auto dropped =
    std::erase_if(aEntry.reportsByHost, [aNow](const auto& aReport) {
      return aNow - aReport.second.receivedAt > kReportLifetime;
    });
  aEntry.isChanged = aEntry.isChanged || dropped > 0;
}

bool
StatusAggregator::IsDue(const Entry& aEntry, Millis aNow) const
{
  const bool isFirst = aEntry.writtenAt == 0;
  return aEntry.isChanged &&
         (isFirst || aNow - aEntry.writtenAt >= kEntryWriteInterval);
}

bool
StatusAggregator::IsWriteAllowed(Millis aNow)
{
  while (!this->recentWrites.empty() &&
         aNow - this->recentWrites.front() >= kSecond) {
    this->recentWrites.pop_front();
  }
  return this->recentWrites.size() < kMaxWritesPerSecond;
}

DomainStatus
StatusAggregator::MergeReports(const std::string& aName,
                               const Entry& aEntry,
                               Millis aNow) const
{
  DomainStatus status;
  status.entry = aName;
  status.domain = this->domain;
  status.owner = this->ownersByEntry.at(aName);
  status.updated = aNow;
  std::map<std::string, std::int64_t> refusalsByLimit;
  for (const auto& [host, row] : aEntry.reportsByHost) {
    const wire::EntryReport& report = row.report;
    ++status.hosts;
    AddCounts(status, report);
    AddSince(status, report);
    AddCallers(status, report);
    refusalsByLimit[report.limit] += report.refused;
  }
  refusalsByLimit.erase("");
  if (refusalsByLimit.empty()) {
    return status;
  }
  status.limit =
    std::ranges::max_element(refusalsByLimit, {}, [](const auto& aRow) {
      return aRow.second;
    })->first;
  for (const auto& [host, row] : aEntry.reportsByHost) {
    if (row.report.limit == status.limit && row.report.seen >= status.seen) {
      status.bound = row.report.bound;
      status.seen = row.report.seen;
    }
  }
  return status;
}

} // namespace lacewingwharf
