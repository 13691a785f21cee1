#include "routing/serverchooser.h"

#include "routing/domainpreference.h"
#include "routing/ejectionpolicy.h"
#include "routing/endpointstats.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>
#include <vector>

namespace lacewingwharf {

namespace {

// An endpoint that has left the view keeps its statistics for this long, so
// that a short absence does not clear an ejection.
constexpr double kStatsRetentionMillis = 60000;

struct KnownEndpoint
{
  EndpointStats stats;
  EjectionPolicy ejection;
  std::int64_t incarnation = 0;
  std::string service;
  std::string domain;
  std::uint64_t lastViewNumber = 0; // Number of the last view that listed it.
  double lastSeenAt = 0;
};

using KnownEndpoints = std::map<EndpointKey, KnownEndpoint>;

struct Option
{
  const EndpointInfo* info = nullptr;
  KnownEndpoint* known = nullptr;
  bool isEjected = false;
};

/** A service of the current view with its endpoints' statistics. */
struct ServiceRecord
{
  std::vector<Option> options;
  std::vector<DomainOption> domains;
};

ChoiceReason
ReasonFor(Distance aDistance, ChoiceReason aDefault)
{
  if (aDistance == Distance::SameDomain) {
    return aDefault;
  }
  return aDistance == Distance::OtherRegion ? ChoiceReason::OtherRegionFallback
                                            : ChoiceReason::SameRegionFallback;
}

EndpointKey
KeyOf(const EndpointInfo& aInfo)
{
  return { aInfo.host, aInfo.port };
}

std::vector<DomainOption>
DomainsOf(const ServiceView& aView)
{
  std::vector<DomainOption> domains;
  for (const EndpointInfo& info : aView.endpoints) {
    const auto seen =
      std::ranges::find(domains, info.domain, &DomainOption::domain);
    if (seen != domains.end()) {
      continue;
    }
    const auto load =
      std::ranges::find(aView.domains, info.domain, &DomainLoad::domain);
    const double weight = load == aView.domains.end() ? 1 : DomainWeight(*load);
    domains.push_back({ info.domain, info.distance, weight });
  }
  return domains;
}

} // namespace

class ServerChooser::Impl
{
public:
  Impl(Clock aClock, Random aRandom);

  void SetView(EndpointViewPtr aView);
  std::optional<Choice> Choose(const std::string& aService,
                               const std::set<EndpointKey>& aTried);
  void RecordAttemptStart(const EndpointKey& aKey);
  void RecordAttemptEnd(const EndpointKey& aKey,
                        const Observation& aObservation);

private:
  ServiceRecord& GetOrCreateRecord(const std::string& aService);
  KnownEndpoint& UpdateEndpoint(const std::string& aService,
                                const EndpointInfo& aInfo);
  void MarkEjected(ServiceRecord& aRecord, double aNow) const;
  void RemoveStaleEndpoints(double aNow);
  std::optional<Choice> ChooseUsable(const ServiceRecord& aRecord,
                                     const std::vector<const Option*>& aUsable,
                                     const std::string& aService,
                                     double aNow);
  Choice ChooseAmong(const std::vector<const Option*>& aOptions, double aNow);
  Choice ChooseByLoad(const std::vector<const Option*>& aOptions, double aNow);

  Clock clock;
  Random random;
  EndpointViewPtr view;
  std::uint64_t viewNumber = 0;
  KnownEndpoints known;
  std::map<std::string, ServiceRecord, std::less<>> records; // Of this view.
  std::map<std::string, DomainPreference, std::less<>> preferences;
};

ServerChooser::Impl::Impl(Clock aClock, Random aRandom)
  : clock(std::move(aClock))
  , random(std::move(aRandom))
{
}

void
ServerChooser::Impl::SetView(EndpointViewPtr aView)
{
  const double now = this->clock.PreciseNow();
  this->records.clear();
  this->view = std::move(aView);
  ++this->viewNumber;
  if (!this->view) {
    return;
  }
  for (const auto& [service, serviceView] : this->view->services) {
    for (const EndpointInfo& info : serviceView.endpoints) {
      this->UpdateEndpoint(service, info);
    }
  }
  this->RemoveStaleEndpoints(now);
}

std::optional<Choice>
ServerChooser::Impl::Choose(const std::string& aService,
                            const std::set<EndpointKey>& aTried)
{
  const double now = this->clock.PreciseNow();
  ServiceRecord& record = this->GetOrCreateRecord(aService);
  this->MarkEjected(record, now);
  std::vector<const Option*> usable;
  std::vector<const Option*> ejected;
  for (const Option& option : record.options) {
    if (!aTried.empty() && aTried.contains(KeyOf(*option.info))) {
      continue;
    }
    (option.isEjected ? ejected : usable).push_back(&option);
  }
  if (!usable.empty()) {
    return this->ChooseUsable(record, usable, aService, now);
  }
  if (ejected.empty()) {
    return std::nullopt;
  }
  Choice choice = this->ChooseAmong(ejected, now);
  choice.reason = ChoiceReason::AllEjected;
  return choice;
}

void
ServerChooser::Impl::RecordAttemptStart(const EndpointKey& aKey)
{
  const auto found = this->known.find(aKey);
  if (found != this->known.end()) {
    found->second.stats.RecordAttemptStart();
  }
}

void
ServerChooser::Impl::RecordAttemptEnd(const EndpointKey& aKey,
                                      const Observation& aObservation)
{
  const auto found = this->known.find(aKey);
  if (found == this->known.end()) {
    return;
  }
  const double now = this->clock.PreciseNow();
  KnownEndpoint& endpoint = found->second;
  endpoint.stats.RecordAttemptEnd(aObservation, now);
  endpoint.ejection.RecordAttemptEnd(aObservation.end, now);
  // A refusal while slots are free comes from a limit of an entry or an owner
  // and does not mean that the domain is full.
  const bool hasFreeSlots =
    aObservation.running >= 0 && aObservation.running < aObservation.slots;
  if (aObservation.end == CallEnd::Refused && !hasFreeSlots) {
    this->preferences[endpoint.service].RecordRefusal(endpoint.domain, now);
  }
}

ServiceRecord&
ServerChooser::Impl::GetOrCreateRecord(const std::string& aService)
{
  const auto [found, isNew] = this->records.try_emplace(aService);
  ServiceRecord& record = found->second;
  if (!isNew || !this->view) {
    return record;
  }
  const auto service = this->view->services.find(aService);
  if (service == this->view->services.end()) {
    return record;
  }
  for (const EndpointInfo& info : service->second.endpoints) {
    record.options.push_back({ &info, &this->known.at(KeyOf(info)), false });
  }
  record.domains = DomainsOf(service->second);
  return record;
}

KnownEndpoint&
ServerChooser::Impl::UpdateEndpoint(const std::string& aService,
                                    const EndpointInfo& aInfo)
{
  const double now = this->clock.PreciseNow();
  auto [found, isNew] = this->known.try_emplace(KeyOf(aInfo));
  KnownEndpoint& endpoint = found->second;
  const bool isRestarted = !isNew && endpoint.incarnation != aInfo.incarnation;
  if (isRestarted) {
    // Calls to the previous process end as lost. They must not count against
    // the new process.
    endpoint.ejection = EjectionPolicy();
  }
  const bool hasReturned = endpoint.lastViewNumber + 1 != this->viewNumber;
  // In the first view, all endpoints are equally unknown. A slow start would
  // not change the choice.
  if (this->viewNumber > 1 && (isNew || isRestarted || hasReturned)) {
    endpoint.stats.BeginSlowStart(now);
  }
  endpoint.incarnation = aInfo.incarnation;
  endpoint.service = aService;
  endpoint.domain = aInfo.domain;
  endpoint.lastViewNumber = this->viewNumber;
  endpoint.lastSeenAt = now;
  return endpoint;
}

void
ServerChooser::Impl::MarkEjected(ServiceRecord& aRecord, double aNow) const
{
  std::vector<EjectionCandidate> candidates;
  for (std::size_t index = 0; index < aRecord.options.size(); ++index) {
    Option& option = aRecord.options[index];
    option.isEjected = false;
    const EjectionPolicy& ejection = option.known->ejection;
    if (ejection.IsEjectionActive(aNow)) {
      candidates.push_back({ index,
                             option.info->distance,
                             ejection.Level(),
                             ejection.EjectedUntil() });
    }
  }
  CapEjections(candidates, aRecord.options.size());
  for (const EjectionCandidate& candidate : candidates) {
    aRecord.options[candidate.index].isEjected = true;
  }
  // Suspect endpoints are treated as ejected. The cap does not apply to them.
  for (Option& option : aRecord.options) {
    option.isEjected = option.isEjected || option.info->isSuspect;
  }
}

void
ServerChooser::Impl::RemoveStaleEndpoints(double aNow)
{
  std::erase_if(this->known, [this, aNow](const auto& aKnown) {
    const KnownEndpoint& endpoint = aKnown.second;
    return endpoint.lastViewNumber != this->viewNumber &&
           endpoint.stats.Outstanding() == 0 &&
           aNow - endpoint.lastSeenAt > kStatsRetentionMillis;
  });
}

std::optional<Choice>
ServerChooser::Impl::ChooseUsable(const ServiceRecord& aRecord,
                                  const std::vector<const Option*>& aUsable,
                                  const std::string& aService,
                                  double aNow)
{
  auto order = aRecord.domains;
  this->preferences[aService].SortByPreference(order, this->random, aNow);
  for (const DomainOption& domain : order) {
    std::vector<const Option*> inDomain;
    std::ranges::copy_if(
      aUsable, std::back_inserter(inDomain), [&domain](const Option* aOption) {
        return aOption->info->domain == domain.domain;
      });
    if (inDomain.empty()) {
      continue;
    }
    Choice choice = this->ChooseAmong(inDomain, aNow);
    choice.reason = ReasonFor(domain.distance, choice.reason);
    return choice;
  }
  return std::nullopt;
}

Choice
ServerChooser::Impl::ChooseAmong(const std::vector<const Option*>& aOptions,
                                 double aNow)
{
  if (aOptions.size() == 1) {
    return { *aOptions.front()->info, ChoiceReason::OnlyOne };
  }
  return this->ChooseByLoad(aOptions, aNow);
}

Choice
ServerChooser::Impl::ChooseByLoad(const std::vector<const Option*>& aOptions,
                                  double aNow)
{
  double sum = 0;
  int endpointsWithLatency = 0;
  for (const Option* const option : aOptions) {
    const double latency = option->known->stats.Latency(aNow);
    sum += latency;
    endpointsWithLatency += latency > 0 ? 1 : 0;
  }
  const double defaultLatency =
    endpointsWithLatency > 0 ? sum / endpointsWithLatency : 1;
  const std::size_t first = RandomBelow(this->random, aOptions.size());
  const std::size_t step = 1 + RandomBelow(this->random, aOptions.size() - 1);
  const Option* better = aOptions[first];
  const Option* worse = aOptions[(first + step) % aOptions.size()];
  if (worse->known->stats.Score(defaultLatency, aNow) <
      better->known->stats.Score(defaultLatency, aNow)) {
    std::swap(better, worse);
  }
  const bool isWorseInSlowStart = worse->known->stats.IsInSlowStart(aNow);
  return { *better->info,
           isWorseInSlowStart ? ChoiceReason::SlowStart
                              : ChoiceReason::LowerLoad };
}

ServerChooser::ServerChooser(Clock aClock, Random aRandom)
  : impl(std::make_unique<Impl>(std::move(aClock), std::move(aRandom)))
{
}

ServerChooser::~ServerChooser() = default;

void
ServerChooser::SetView(EndpointViewPtr aView)
{
  this->impl->SetView(std::move(aView));
}

std::optional<Choice>
ServerChooser::Choose(const std::string& aService,
                      const std::set<EndpointKey>& aTried)
{
  return this->impl->Choose(aService, aTried);
}

void
ServerChooser::RecordAttemptStart(const EndpointKey& aKey)
{
  this->impl->RecordAttemptStart(aKey);
}

void
ServerChooser::RecordAttemptEnd(const EndpointKey& aKey,
                                const Observation& aObservation)
{
  this->impl->RecordAttemptEnd(aKey, aObservation);
}

} // namespace lacewingwharf
