#include "execution/hedging.h"

#include <utility>

namespace lacewingwharf {

namespace {

// Callers that were refused come again after up to a third of the time they
// have left, so the lack of capacity is not over with the refusal.
constexpr double kRefusalMemoryMillis = 3000;

// Above this part of the slots in use, each added call makes others wait
// noticeably, as servers are loaded unevenly.
constexpr double kMaxLoad = 0.75;

} // namespace

Hedging::Hedging(HedgingConfig aConfig, Clock aClock, Random aRandom)
  : config(aConfig)
  , clock(std::move(aClock))
  , random(std::move(aRandom))
{
}

void
Hedging::RecordCall(std::string_view aService)
{
  this->GetOrCreateService(aService).share.RecordCall(this->clock.PreciseNow());
}

void
Hedging::RecordSecondAttempt(std::string_view aService)
{
  this->GetOrCreateService(aService).share.RecordSecondAttempt(
    this->clock.PreciseNow());
}

void
Hedging::RecordResponse(std::string_view aEntry, double aMillis)
{
  const double now = this->clock.PreciseNow();
  auto found = this->responseTimes.find(aEntry);
  if (found == this->responseTimes.end()) {
    // Entries that were removed from the catalogue do not stay for long.
    std::erase_if(this->responseTimes, [now](const auto& aPair) {
      return aPair.second.IsIdle(now);
    });
    found =
      this->responseTimes.emplace(aEntry, ResponseTimes(this->config.quantile))
        .first;
  }
  found->second.Add(aMillis, now);
}

void
Hedging::RecordLoad(std::string_view aService,
                    const EndpointKey& aServer,
                    ServerLoad aLoad)
{
  aLoad.reportedAt = this->clock.PreciseNow();
  this->GetOrCreateService(aService).loads.Record(aServer, aLoad);
}

void
Hedging::RecordRefusal(std::string_view aService)
{
  this->GetOrCreateService(aService).refusedAt = this->clock.PreciseNow();
}

std::optional<double>
Hedging::SlowAfter(std::string_view aEntry)
{
  const auto found = this->responseTimes.find(aEntry);
  if (found == this->responseTimes.end()) {
    return std::nullopt;
  }
  const auto& times = found->second.Summary(this->clock.PreciseNow());
  if (times.answers < this->config.minAnswers) {
    return std::nullopt;
  }
  return times.high;
}

HedgeDecision
Hedging::Decide(const SlowCall& aCall)
{
  const double now = this->clock.PreciseNow();
  HedgeDecision decision;
  const auto times = this->responseTimes.find(aCall.entry);
  if (times != this->responseTimes.end()) {
    decision.times = times->second.Summary(now);
  }
  const Service& service = this->GetOrCreateService(aCall.service);
  decision.load = service.loads.Total(now);
  decision.counts = service.share.Counts(now);
  decision.withheld = this->FindReason(aCall, decision);
  return decision;
}

std::set<EndpointKey>
Hedging::BusyServers(std::string_view aService) const
{
  const auto found = this->services.find(aService);
  return found == this->services.end()
           ? std::set<EndpointKey>()
           : found->second.loads.BusyServers(this->clock.PreciseNow());
}

double
Hedging::NextDecisionIn(double aSlowAfter) const
{
  constexpr std::uint64_t kSteps = 1000;
  const auto step = static_cast<double>(RandomBelow(this->random, kSteps));
  return aSlowAfter * (0.5 + step / kSteps);
}

/** Removes services without recent calls when another one is added. */
Hedging::Service&
Hedging::GetOrCreateService(std::string_view aName)
{
  const auto found = this->services.find(aName);
  if (found != this->services.end()) {
    return found->second;
  }
  const double now = this->clock.PreciseNow();
  std::erase_if(this->services, [now](const auto& aPair) {
    return aPair.second.share.IsIdle(now);
  });
  return this->services.emplace(aName, Service()).first->second;
}

std::optional<WithheldReason>
Hedging::FindReason(const SlowCall& aCall, const HedgeDecision& aInputs) const
{
  const double now = this->clock.PreciseNow();
  const Service& service = this->services.find(aCall.service)->second;
  if (aCall.left < aInputs.times.median) {
    return WithheldReason::LittleTime;
  }
  if (service.refusedAt && now - *service.refusedAt <= kRefusalMemoryMillis) {
    return WithheldReason::Refusals;
  }
  if (aInputs.load.servers == 0) {
    return WithheldReason::LoadUnknown;
  }
  if (aInputs.load.calls >= kMaxLoad * aInputs.load.slots) {
    return WithheldReason::Overload;
  }
  if (service.loads.IsBusy(aCall.firstServer, now) ||
      aCall.openAttempts >= aCall.slots) {
    return WithheldReason::FirstQueued;
  }
  if (!service.share.HasRoom(this->config.share, now)) {
    return WithheldReason::Share;
  }
  return std::nullopt;
}

} // namespace lacewingwharf
