#include "membership/leavingreports.h"

#include "common/log.h"

#include <algorithm>
#include <utility>
#include <vector>

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
  const std::uint64_t number = ++this->lastNumber;
  this->pending[number] = { std::move(aAnswer),
                            this->clock.Now() + kMaxReportWait };
  this->store(aLeaving, [this, number] {
    this->AnswerReport(number, ReportDecision::Taken);
  });
}

void
LeavingReports::Tick()
{
  const Millis now = this->clock.Now();
  std::vector<std::uint64_t> due;
  std::ranges::for_each(this->pending, [&due, now](const auto& aPair) {
    if (now >= aPair.second.dueAt) {
      due.push_back(aPair.first);
    }
  });
  std::ranges::for_each(due, [this](std::uint64_t aNumber) {
    kLog.Decision("leaving-not-acknowledged",
                  "reason=not-stored waited_ms={}",
                  kMaxReportWait);
    this->AnswerReport(aNumber, ReportDecision::NotStored);
  });
}

void
LeavingReports::AnswerReport(std::uint64_t aNumber, ReportDecision aDecision)
{
  const auto report = this->pending.extract(aNumber);
  if (!report.empty()) {
    report.mapped().answer(aDecision);
  }
}

} // namespace lacewingwharf
