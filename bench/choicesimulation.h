#pragma once

#include "admission/admission.h"
#include "admission/retrybudget.h"
#include "choosers.h"

#include <fmt/format.h>

namespace lacewingwharf::bench {

inline constexpr int kPort = 8000;
inline constexpr int kSlots = 6;
inline constexpr int kEntryDaemons = 4; // Per failure domain.
inline constexpr double kMinServiceMillis = 5;
inline constexpr double kMeanExtraServiceMillis = 15;
inline constexpr Millis kDeadline = 1000;
inline constexpr Millis kQueueWait = 200;
inline constexpr int kMaxRetries = 2;
inline constexpr double kSameRegionDelayMillis = 0.5;
inline constexpr double kOtherRegionDelayMillis = 8;
inline constexpr double kCallBytes = 4096; // Request and answer together.
inline constexpr double kPublishIntervalMillis = 1000;
inline constexpr double kStartMillis = 1000; // Of the event loop's clock.
inline constexpr double kWarmUpMillis = 5000;
inline constexpr double kMeasuredMillis = 30000;

struct DomainSpec
{
  std::string name;
  std::string region;
  int servers = 4;
  double load = 0.7; // Rate of arriving calls as a share of the capacity.
};

/** Information that entry daemons have about other failure domains. */
enum class RemoteEndpointDetail
{
  Records,              // The record of every endpoint.
  Aggregate,            // Sampled endpoints and total load per domain.
  AggregateWithSlowdown // As Aggregate, with the slowdown of the domain.
};

struct Scenario
{
  std::string name;
  std::vector<DomainSpec> domains;  // Only calls of the first one are measured.
  double slowFactor = 1;            // Service time factor of the first server.
  bool isReportingZeroLoad = false; // The first server always reports 0.
  double coldStartAt = 0;           // Time at which the first server joins.
  RemoteEndpointDetail remoteEndpointDetail =
    RemoteEndpointDetail::AggregateWithSlowdown;
};

struct Results
{
  std::vector<double> latencies;
  int calls = 0;
  int refused = 0;
  double linkBytes = 0;
};

/**
 * Simulates hosts that run the admission control of a daemon, and entry daemons
 * that choose among these hosts for calls that arrive at random.
 */
class ChoiceSimulation
{
public:
  using MakeChooser =
    std::function<Chooser(const EventLoop&, Random, const PublishedLoads&)>;

  ChoiceSimulation(Scenario aScenario, const MakeChooser& aMakeChooser);
  Results Run();

private:
  struct Host
  {
    const DomainSpec* domain = nullptr;
    std::unique_ptr<Admission> admission;
    int number = 0;
  };

  struct DomainLoadSum
  {
    double inSystemMillis = 0;
    double serviceMillis = 0;
  };

  struct EntryDaemon
  {
    const DomainSpec* domain = nullptr;
    Chooser chooser;
    std::unique_ptr<RetryBudget> budget;
  };

  struct Call
  {
    EntryDaemon* entry = nullptr;
    TriedEndpoints triedEndpoints;
    double arrivedAt = 0;
    double sentAt = 0;
    double offeredAt = 0;
    double serviceMillis = 0;
    int retries = 0;
    bool isInOtherRegion = false;
    std::string host;
  };

  void AddHosts(const DomainSpec& aDomain);
  void Publish();
  EndpointViewPtr MakeViewFor(const DomainSpec& aFrom) const;
  DomainLoad LoadOf(const DomainSpec& aDomain, Distance aDistance) const;
  bool IsPresent(const Host& aHost) const;
  double ServiceTimeFactor(const Host& aHost) const;
  static Distance DistanceBetween(const DomainSpec& aOne,
                                  const DomainSpec& aOther);
  void GenerateCall(EntryDaemon& aEntry);
  void Send(Call aCall);
  void ExecuteCall(const std::string& aId);
  void SendAnswer(const std::string& aId, CallEnd aEnd);
  void FinishOrRetry(Call aCall, CallEnd aEnd);
  bool IsMeasured(const Call& aCall) const;

  Scenario scenario;
  EventLoop loop;
  Random random = SeededRandom(9);
  std::map<std::string, Host> hosts;
  std::vector<std::unique_ptr<EntryDaemon>> entries;
  std::map<std::string, Call> calls;
  std::map<std::string, DomainLoadSum> loadSums;
  PublishedLoads publishedLoads;
  Results results;
  std::uint64_t sequence = 0;
};

inline ChoiceSimulation::ChoiceSimulation(Scenario aScenario,
                                          const MakeChooser& aMakeChooser)
  : scenario(std::move(aScenario))
{
  for (const DomainSpec& domain : this->scenario.domains) {
    this->AddHosts(domain);
    for (int index = 0; index < kEntryDaemons; ++index) {
      auto entry = std::make_unique<EntryDaemon>();
      entry->domain = &domain;
      entry->chooser = aMakeChooser(this->loop,
                                    SeededRandom(100 + this->entries.size()),
                                    this->publishedLoads);
      entry->budget = std::make_unique<RetryBudget>(this->loop.View());
      this->entries.push_back(std::move(entry));
    }
  }
}

inline Results
ChoiceSimulation::Run()
{
  this->Publish();
  this->loop.Every(kPublishIntervalMillis, [this] { this->Publish(); });
  for (const auto& entry : this->entries) {
    this->GenerateCall(*entry);
  }
  this->loop.RunUntil(kStartMillis + kWarmUpMillis + kMeasuredMillis);
  return std::move(this->results);
}

inline void
ChoiceSimulation::AddHosts(const DomainSpec& aDomain)
{
  for (int index = 0; index < aDomain.servers; ++index) {
    const std::string name = fmt::format("{}-{:02}", aDomain.name, index);
    Host host;
    host.domain = &aDomain;
    host.number = index;
    host.admission = std::make_unique<Admission>(
      name,
      this->loop.View(),
      Admission::Hooks{
        [this](const std::string& aId) { this->ExecuteCall(aId); },
        [this](const std::string& aId, const Refusal&) {
          this->SendAnswer(aId, CallEnd::Refused);
        } });
    host.admission->SetConfiguration(Snapshot::Empty(), nullptr);
    host.admission->SetEndpoint(
      kService, kPort, kSlots, 0, EndpointState::Ready);
    Admission* const admission = host.admission.get();
    this->loop.Every(10, [admission] { admission->Tick(); });
    this->hosts[name] = std::move(host);
  }
}

inline void
ChoiceSimulation::Publish()
{
  for (const auto& [name, host] : this->hosts) {
    const auto load = host.admission->LoadOf(kService, kPort);
    const bool isZeroReported = this->scenario.isReportingZeroLoad &&
                                host.number == 0 &&
                                host.domain == this->scenario.domains.data();
    this->publishedLoads[name] =
      isZeroReported ? 0 : load.running + load.waiting;
  }
  for (const auto& entry : this->entries) {
    entry->chooser.setView(this->MakeViewFor(*entry->domain));
  }
  this->loadSums.clear();
}

inline EndpointViewPtr
ChoiceSimulation::MakeViewFor(const DomainSpec& aFrom) const
{
  constexpr int kSampledHosts = 8;
  auto view = std::make_shared<EndpointView>();
  ServiceView& service = view->services[kService];
  const bool hasFullRecords =
    this->scenario.remoteEndpointDetail == RemoteEndpointDetail::Records;
  for (const auto& [name, host] : this->hosts) {
    const Distance distance = DistanceBetween(aFrom, *host.domain);
    const bool isOutsideSample = !hasFullRecords &&
                                 distance != Distance::SameDomain &&
                                 host.number >= kSampledHosts;
    if (isOutsideSample || !this->IsPresent(host)) {
      continue;
    }
    EndpointInfo info;
    info.host = name;
    info.domain = host.domain->name;
    info.distance = distance;
    info.port = kPort;
    info.slots = kSlots;
    service.endpoints.push_back(info);
  }
  for (const DomainSpec& domain : this->scenario.domains) {
    if (!hasFullRecords) {
      service.domains.push_back(
        this->LoadOf(domain, DistanceBetween(aFrom, domain)));
    }
  }
  return view;
}

inline DomainLoad
ChoiceSimulation::LoadOf(const DomainSpec& aDomain, Distance aDistance) const
{
  DomainLoad load;
  load.domain = aDomain.name;
  load.distance = aDistance;
  for (const auto& [name, host] : this->hosts) {
    if (host.domain == &aDomain && this->IsPresent(host)) {
      const auto own = host.admission->LoadOf(kService, kPort);
      ++load.ready;
      load.slots += kSlots;
      load.freeSlots += std::max(0, kSlots - own.running);
    }
  }
  const auto sum = this->loadSums.find(aDomain.name);
  const bool hasSlowdown = this->scenario.remoteEndpointDetail ==
                             RemoteEndpointDetail::AggregateWithSlowdown &&
                           sum != this->loadSums.end() &&
                           sum->second.serviceMillis > 0;
  load.slowdown =
    hasSlowdown ? sum->second.inSystemMillis / sum->second.serviceMillis : 1;
  return load;
}

inline bool
ChoiceSimulation::IsPresent(const Host& aHost) const
{
  const bool isFirst =
    aHost.number == 0 && aHost.domain == this->scenario.domains.data();
  return !isFirst || this->loop.Now() >= this->scenario.coldStartAt;
}

/**
 * Factor by which the service times of a host are multiplied. That of a cold
 * server falls linearly from slowFactor to 1 within five seconds.
 */
inline double
ChoiceSimulation::ServiceTimeFactor(const Host& aHost) const
{
  if (aHost.number != 0 || aHost.domain != this->scenario.domains.data()) {
    return 1;
  }
  if (this->scenario.coldStartAt <= 0) {
    return this->scenario.slowFactor;
  }
  constexpr double kColdStartMillis = 5000;
  const double coldShare =
    1 - (this->loop.Now() - this->scenario.coldStartAt) / kColdStartMillis;
  return 1 + (this->scenario.slowFactor - 1) * std::clamp(coldShare, 0.0, 1.0);
}

inline Distance
ChoiceSimulation::DistanceBetween(const DomainSpec& aOne,
                                  const DomainSpec& aOther)
{
  if (aOne.name == aOther.name) {
    return Distance::SameDomain;
  }
  return aOne.region == aOther.region ? Distance::SameRegion
                                      : Distance::OtherRegion;
}

inline void
ChoiceSimulation::GenerateCall(EntryDaemon& aEntry)
{
  const double perServer =
    kSlots / (kMinServiceMillis + kMeanExtraServiceMillis);
  const double rate = aEntry.domain->load * aEntry.domain->servers * perServer;
  Call call;
  call.entry = &aEntry;
  call.arrivedAt = this->loop.Now();
  call.serviceMillis =
    kMinServiceMillis + Exponential(this->random, kMeanExtraServiceMillis);
  this->Send(std::move(call));
  this->loop.After(Exponential(this->random, kEntryDaemons / rate),
                   [this, &aEntry] { this->GenerateCall(aEntry); });
}

inline void
ChoiceSimulation::Send(Call aCall)
{
  const auto info = aCall.entry->chooser.choose(aCall.triedEndpoints);
  if (!info) {
    this->FinishOrRetry(std::move(aCall), CallEnd::Failed);
    return;
  }
  const EndpointKey key{ info->host, info->port };
  aCall.triedEndpoints.insert(key);
  aCall.sentAt = this->loop.Now();
  aCall.host = info->host;
  aCall.isInOtherRegion = info->distance == Distance::OtherRegion;
  this->results.linkBytes +=
    aCall.isInOtherRegion && this->IsMeasured(aCall) ? kCallBytes : 0;
  aCall.entry->chooser.recordStart(key);
  AdmissionRequest request;
  request.callId = std::to_string(this->sequence++);
  request.entry = "route";
  request.owner = "owner";
  request.service = kService;
  request.port = kPort;
  request.deadlineAt = static_cast<Millis>(aCall.arrivedAt) + kDeadline;
  request.queueWait = kQueueWait;
  const double delayMillis =
    aCall.isInOtherRegion ? kOtherRegionDelayMillis : kSameRegionDelayMillis;
  this->calls[request.callId] = std::move(aCall);
  this->loop.After(delayMillis, [this, host = info->host, request] {
    this->calls.at(request.callId).offeredAt = this->loop.Now();
    this->hosts.at(host).admission->Offer(request);
  });
}

inline void
ChoiceSimulation::ExecuteCall(const std::string& aId)
{
  const Call& call = this->calls.at(aId);
  const Host& host = this->hosts.at(call.host);
  const double serviceMillis =
    call.serviceMillis * this->ServiceTimeFactor(host);
  this->loop.After(serviceMillis, [this, aId, serviceMillis, &host] {
    DomainLoadSum& sum = this->loadSums[host.domain->name];
    sum.inSystemMillis += this->loop.Now() - this->calls.at(aId).offeredAt;
    sum.serviceMillis += serviceMillis;
    host.admission->Finish(aId, serviceMillis);
    this->SendAnswer(aId, CallEnd::Succeeded);
  });
}

inline void
ChoiceSimulation::SendAnswer(const std::string& aId, CallEnd aEnd)
{
  const Call& call = this->calls.at(aId);
  const Host& host = this->hosts.at(call.host);
  auto load = host.admission->LoadOf(kService, kPort);
  const bool isZeroReported = this->scenario.isReportingZeroLoad &&
                              host.number == 0 &&
                              host.domain == this->scenario.domains.data();
  if (isZeroReported) {
    load.running = 0;
    load.waiting = 0;
  }
  const double delayMillis =
    call.isInOtherRegion ? kOtherRegionDelayMillis : kSameRegionDelayMillis;
  this->loop.After(delayMillis, [this, aId, aEnd, load] {
    Call ended = std::move(this->calls.at(aId));
    this->calls.erase(aId);
    const Observation observation{ aEnd,
                                   this->loop.Now() - ended.sentAt,
                                   load.running,
                                   load.waiting,
                                   load.slots };
    ended.entry->chooser.recordEnd({ ended.host, kPort }, observation);
    this->FinishOrRetry(std::move(ended), aEnd);
  });
}

inline void
ChoiceSimulation::FinishOrRetry(Call aCall, CallEnd aEnd)
{
  RetryBudget& budget = *aCall.entry->budget;
  const bool mayRetry = aEnd == CallEnd::Refused && aCall.retries < kMaxRetries;
  if (mayRetry && budget.TryTakeRetry(kService)) {
    ++aCall.retries;
    this->Send(std::move(aCall));
    return;
  }
  const bool isAnswered = aEnd == CallEnd::Succeeded;
  if (isAnswered) {
    budget.RecordSuccess(kService);
  }
  if (!this->IsMeasured(aCall)) {
    return;
  }
  ++this->results.calls;
  if (isAnswered) {
    this->results.latencies.push_back(this->loop.Now() - aCall.arrivedAt);
  } else {
    ++this->results.refused;
  }
}

inline bool
ChoiceSimulation::IsMeasured(const Call& aCall) const
{
  return aCall.entry->domain == this->scenario.domains.data() &&
         aCall.arrivedAt > kStartMillis + kWarmUpMillis;
}

} // namespace lacewingwharf::bench
