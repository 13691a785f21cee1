#include "membership/leavingreports.h"

#include "common/log.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr Log kLog("membership");

// A server treats a report as lost after one second, so it is answered before.
constexpr Millis kMaxReportWait = 600;

} // namespace

LeavingReports::LeavingReports(Clock aClock, Store aStore)
  : clock(std::move(aClock))
  , store(std::move(aStore))
{
}

void
LeavingReports::Handle(const LeavingServer& aLeaving, Answer aAnswer)
{
  if (this->store(aLeaving)) {
    aAnswer(ReportDecision::Taken);
    return;
  }
  this->pending.push_back(
    { aLeaving, std::move(aAnswer), this->clock.Now() + kMaxReportWait });
}

void
LeavingReports::HandleStored(const LeavingServer& aLeaving)
{
  const auto stored = this->TakeIf([&aLeaving](const PendingReport& aReport) {
    // The start time of a report may have been filled in since it arrived.
    return aReport.leaving.id == aLeaving.id &&
           aReport.leaving.startedAt <= aLeaving.startedAt;
  });
  std::ranges::for_each(stored, [](const PendingReport& aReport) {
    aReport.answer(ReportDecision::Taken);
  });
}

void
LeavingReports::Tick()
{
  const auto due =
    this->TakeIf([now = this->clock.Now()](const PendingReport& aReport) {
      return now >= aReport.dueAt;
    });
  std::ranges::for_each(due, [](const PendingReport& aReport) {
    kLog.Decision("leaving-not-acknowledged",
                  "server={} started={} reason=not-stored waited_ms={}",
                  aReport.leaving.id,
                  aReport.leaving.startedAt,
                  kMaxReportWait);
    aReport.answer(ReportDecision::NotStored);
  });
}

/** Removes the reports before they are answered; an answer may add others. */
std::vector<LeavingReports::PendingReport>
LeavingReports::TakeIf(
  const std::function<bool(const PendingReport&)>& aIsTaken)
{
  const auto taken = std::stable_partition(
    this->pending.begin(), this->pending.end(), std::not_fn(aIsTaken));
  std::vector<PendingReport> reports(
    std::make_move_iterator(taken),
    std::make_move_iterator(this->pending.end()));
  this->pending.erase(taken, this->pending.end());
  return reports;
}

} // namespace lacewingwharf
