#include "daemon/callsservice.h"

#include <algorithm>
#include <utility>

namespace lacewingwharf {

namespace {

wire::CallOutcome::type
WireOutcome(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::Done:
      return wire::CallOutcome::DONE;
    case Outcome::NotRun:
      return wire::CallOutcome::NOT_RUN;
    default:
      return wire::CallOutcome::UNKNOWN;
  }
}

} // namespace

void
CallsService::RecordCallEnd(const EntryCall& aCall, const Ending& aEnding)
{
  const std::string entry = aCall.entry != nullptr ? aCall.entry->name : "-";
  const std::string outcome(kOutcomeNames.NameOf(aEnding.outcome));
  this->metrics
    .Counter("lacewingwharf_calls_total",
             "Calls that entered at this daemon and ended",
             { { "entry", entry },
               { "outcome", outcome },
               { "reason", aEnding.reason } })
    ->Add();
  if (aCall.entry == nullptr) {
    return;
  }
  CallRecord record;
  record.entry = entry;
  record.owner = aCall.entry->owner;
  record.caller = aCall.http.callerAddress;
  record.outcome = WireOutcome(aEnding.outcome);
  record.latencyMillis = this->clock.PreciseNow() - aCall.startedAt;
  record.deadline = aCall.entry->limits.deadline;
  if (aEnding.isRefusal) {
    record.refusal = aEnding.refusal;
  }
  this->stats.Record(record);
  this->latencies[entry].Add(record.latencyMillis, this->clock.PreciseNow());
}

void
CallsService::SendReports()
{
  if (this->clock.Now() < this->reportDueAt) {
    return;
  }
  this->reportDueAt = this->clock.Now() + this->settings.reportInterval;
  std::ranges::for_each(this->latencies, [this](auto& aPair) {
    std::ranges::for_each(kLatencyQuantileNames.Rows(), [&](const auto& aRow) {
      this->metrics
        .Gauge("lacewingwharf_call_latency_ms",
               "Latency of calls that ended, by entry, in milliseconds",
               { { "entry", aPair.first },
                 { "quantile", std::string(aRow.second) } })
        ->Set(aPair.second.Quantile(aRow.first, this->clock.PreciseNow()));
    });
  });
  std::vector<wire::EntryReport> reports = this->stats.TakeReports();
  if (!reports.empty()) {
    this->hooks.report(std::move(reports));
  }
}

} // namespace lacewingwharf
