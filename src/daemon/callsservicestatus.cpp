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
  if (aCall.team != nullptr) {
    this->RecordTeamCall(aCall.team->owner, aEnding);
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
CallsService::RecordHedge(const std::string& aService,
                          HedgeEvent aEvent,
                          std::optional<WithheldReason> aReason)
{
  const std::string event(kHedgeEventNames.NameOf(aEvent));
  const std::string reason(aReason ? kWithheldReasonNames.NameOf(*aReason)
                                   : std::string_view());
  this->metrics
    .Counter(
      "lacewingwharf_second_attempts_total",
      "Second attempts of slow calls that entered at this daemon",
      { { "service", aService }, { "event", event }, { "reason", reason } })
    ->Add();
}

void
CallsService::RecordTeamCall(const std::string& aTeam, const Ending& aEnding)
{
  this->metrics
    .Counter(
      "lacewingwharf_team_calls_total",
      "Calls of a team that entered at this daemon and ended",
      { { "team", aTeam },
        { "outcome", std::string(kOutcomeNames.NameOf(aEnding.outcome)) },
        { "reason", aEnding.reason } })
    ->Add();
  std::optional<RefusalReason> refusal;
  if (aEnding.isRefusal) {
    refusal = aEnding.refusal.reason;
  }
  this->teamStats.Record(aTeam, WireOutcome(aEnding.outcome), refusal);
}

nlohmann::json
CallsService::TeamState(const std::string& aName)
{
  nlohmann::json state;
  this->loop.Run([this, &aName, &state] {
    if (this->snapshot) {
      state = this->teamStats.Describe(*this->snapshot, aName);
    }
  });
  return state;
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
  this->metrics
    .Gauge("lacewingwharf_peer_request_bytes",
           "Bytes of the requests of other daemons that wait or run here")
    ->Set(static_cast<double>(this->destinationCalls.RequestBytes()));
  this->metrics
    .Gauge("lacewingwharf_quarantined_requests",
           "Requests that are refused because they crashed backend servers")
    ->Set(static_cast<double>(this->quarantine.CountRefused()));
  if (this->settings.linkRate > 0) {
    this->metrics
      .Gauge("lacewingwharf_large_answers_waiting_bytes",
             "Large answers that wait for the link of this host, in bytes")
      ->Set(static_cast<double>(this->destinationCalls.WaitingAnswerBytes()));
    this->metrics
      .Gauge("lacewingwharf_large_requests_waiting_bytes",
             "Large requests that wait for the link of this host, in bytes")
      ->Set(static_cast<double>(this->destinationCalls.WaitingRequestBytes()));
  }
  this->ReportUsage();
  std::vector<wire::EntryReport> reports = this->stats.TakeReports();
  if (!reports.empty()) {
    this->hooks.report(std::move(reports));
  }
}

void
CallsService::SetMemoryMetrics()
{
  const CallerMemoryCounts counts = this->server.Memory();
  const auto set = [this](const char* aName,
                          const char* aHelp,
                          const MetricLabels& aLabels,
                          double aValue) {
    this->metrics.Gauge(aName, aHelp, aLabels)->Set(aValue);
  };
  const auto setBytes = [&](const char* aKind, std::size_t aBytes) {
    set("lacewingwharf_caller_bytes",
        "Bytes held for callers, by kind",
        { { "kind", aKind } },
        static_cast<double>(aBytes));
  };
  setBytes("reading", counts.held.reading);
  setBytes("requests", counts.held.requests);
  setBytes("answers", counts.held.answers);
  std::ranges::for_each(kCallerLimitNames.Rows(), [&](const auto& aRow) {
    const auto index = static_cast<std::size_t>(aRow.first);
    const std::string limit(aRow.second);
    const auto setEnds = [&](const char* aOutcome, std::uint64_t aCount) {
      set("lacewingwharf_caller_limit_ends",
          "Requests refused, answers dropped and connections closed because of "
          "a limit on callers",
          { { "limit", limit }, { "outcome", aOutcome } },
          static_cast<double>(aCount));
    };
    setEnds("refused", counts.refused[index]);
    setEnds("dropped", counts.dropped[index]);
    setEnds("closed", counts.closed[index]);
  });
}

} // namespace lacewingwharf
