#pragma once

#include "admission/admission.h"
#include "admission/retrybudget.h"
#include "choosers.h"

#include <fmt/format.h>

namespace lacewingwharf::bench {

inline constexpr int kPort = 8000;
inline constexpr int kSlots = 6;
inline constexpr int kEntryDaemons = 4; // In each failure domain.
inline constexpr double kServiceFloor = 5;
inline constexpr double kServiceRest = 15;
inline constexpr Millis kDeadline = 1000;
inline constexpr Millis kQueueWait = 200;
inline constexpr int kRetries = 2;
inline constexpr double kNearOneWay = 0.5;
inline constexpr double kFarOneWay = 8;
inline constexpr double kCallBytes = 4096; // Request and answer.
inline constexpr double kPublishEvery = 1000;
inline constexpr double kStart = 1000; // Of the manual clock.
inline constexpr double kWarmUp = 5000;
inline constexpr double kMeasured = 30000;

struct DomainSpec
{
  std::string name;
  std::string region;
  int servers = 4;
  double load = 0.7; // Calls that arrive here, as a part of the capacity.
};

/** How entry daemons learn of the endpoints in other failure domains. */
enum class Knowledge
{
  Records,
  Aggregate,
  AggregateWithSlowdown
};

struct Scenario
{
  std::string name;
  std::vector<DomainSpec> domains; // The first one is measured.
  double slowFactor = 1;           // Of the first server.
  bool isLying = false;            // The first server reports no load.
  double coldAt = 0;               // The first server joins at this time.
  Knowledge knowledge = Knowledge::AggregateWithSlowdown;
};

struct Figures
{
  std::vector<double> latencies;
  int calls = 0;
  int refused = 0;
  double linkBytes = 0;
};

/** Hosts with their admission, and entry daemons that choose among them. */
class ChoiceWorld
{
public:
  using MakeChooser =
    std::function<Chooser(const EventLoop&, Random, const Published&)>;

  ChoiceWorld(Scenario aScenario, const MakeChooser& aMake);
  Figures Run();

private:
  struct Host
  {
    const DomainSpec* domain = nullptr;
    std::unique_ptr<Admission> admission;
    int number = 0;
  };

  struct DomainLoadSum
  {
    double inSystem = 0;
    double service = 0;
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
    Tried tried;
    double bornAt = 0;
    double sentAt = 0;
    double offeredAt = 0;
    double service = 0;
    int retries = 0;
    bool isFar = false;
    std::string host;
  };

  void AddHosts(const DomainSpec& aDomain);
  void Publish();
  EndpointViewPtr ViewFrom(const DomainSpec& aFrom) const;
  DomainLoad LoadOf(const DomainSpec& aDomain, Distance aDistance) const;
  bool IsPresent(const Host& aHost) const;
  double SpeedOf(const Host& aHost) const;
  static Distance Between(const DomainSpec& aOne, const DomainSpec& aOther);
  void Arrive(EntryDaemon& aEntry);
  void Send(Call aCall);
  void Run(const std::string& aId);
  void Answer(const std::string& aId, CallEnd aEnd);
  void Conclude(Call aCall, CallEnd aEnd);
  bool IsMeasured(const Call& aCall) const;

  Scenario scenario;
  EventLoop loop;
  Random random = SeededRandom(9);
  std::map<std::string, Host> hosts;
  std::vector<std::unique_ptr<EntryDaemon>> entries;
  std::map<std::string, Call> calls;
  std::map<std::string, DomainLoadSum> sums;
  Published published;
  Figures figures;
  std::uint64_t sequence = 0;
};

inline ChoiceWorld::ChoiceWorld(Scenario aScenario, const MakeChooser& aMake)
  : scenario(std::move(aScenario))
{
  for (const DomainSpec& domain : this->scenario.domains) {
    this->AddHosts(domain);
    for (int index = 0; index < kEntryDaemons; ++index) {
      auto entry = std::make_unique<EntryDaemon>();
      entry->domain = &domain;
      entry->chooser = aMake(
        this->loop, SeededRandom(100 + this->entries.size()), this->published);
      entry->budget = std::make_unique<RetryBudget>(this->loop.View());
      this->entries.push_back(std::move(entry));
    }
  }
}

inline Figures
ChoiceWorld::Run()
{
  this->Publish();
  this->loop.Every(kPublishEvery, [this] { this->Publish(); });
  for (const auto& entry : this->entries) {
    this->Arrive(*entry);
  }
  this->loop.RunUntil(kStart + kWarmUp + kMeasured);
  return std::move(this->figures);
}

inline void
ChoiceWorld::AddHosts(const DomainSpec& aDomain)
{
  for (int index = 0; index < aDomain.servers; ++index) {
    const std::string name = fmt::format("{}-{:02}", aDomain.name, index);
    Host host;
    host.domain = &aDomain;
    host.number = index;
    host.admission = std::make_unique<Admission>(
      name,
      this->loop.View(),
      Admission::Hooks{ [this](const std::string& aId) { this->Run(aId); },
                        [this](const std::string& aId, const Refusal&) {
                          this->Answer(aId, CallEnd::Refused);
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
ChoiceWorld::Publish()
{
  for (const auto& [name, host] : this->hosts) {
    const auto load = host.admission->LoadOf(kService, kPort);
    const bool isLiar = this->scenario.isLying && host.number == 0 &&
                        host.domain == this->scenario.domains.data();
    this->published[name] = isLiar ? 0 : load.running + load.waiting;
  }
  for (const auto& entry : this->entries) {
    entry->chooser.setView(this->ViewFrom(*entry->domain));
  }
  this->sums.clear();
}

inline EndpointViewPtr
ChoiceWorld::ViewFrom(const DomainSpec& aFrom) const
{
  constexpr int kSample = 8;
  auto view = std::make_shared<EndpointView>();
  ServiceView& service = view->services[kService];
  const bool isRecords = this->scenario.knowledge == Knowledge::Records;
  for (const auto& [name, host] : this->hosts) {
    const Distance distance = Between(aFrom, *host.domain);
    const bool isLeftOut =
      !isRecords && distance != Distance::SameDomain && host.number >= kSample;
    if (isLeftOut || !this->IsPresent(host)) {
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
    if (!isRecords) {
      service.domains.push_back(this->LoadOf(domain, Between(aFrom, domain)));
    }
  }
  return view;
}

inline DomainLoad
ChoiceWorld::LoadOf(const DomainSpec& aDomain, Distance aDistance) const
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
  const auto sum = this->sums.find(aDomain.name);
  const bool hasSlowdown =
    this->scenario.knowledge == Knowledge::AggregateWithSlowdown &&
    sum != this->sums.end() && sum->second.service > 0;
  load.slowdown = hasSlowdown ? sum->second.inSystem / sum->second.service : 1;
  return load;
}

inline bool
ChoiceWorld::IsPresent(const Host& aHost) const
{
  const bool isFirst =
    aHost.number == 0 && aHost.domain == this->scenario.domains.data();
  return !isFirst || this->loop.Now() >= this->scenario.coldAt;
}

/** A cold server gets to its full speed within five seconds. */
inline double
ChoiceWorld::SpeedOf(const Host& aHost) const
{
  if (aHost.number != 0 || aHost.domain != this->scenario.domains.data()) {
    return 1;
  }
  if (this->scenario.coldAt <= 0) {
    return this->scenario.slowFactor;
  }
  constexpr double kWarm = 5000;
  const double left = 1 - (this->loop.Now() - this->scenario.coldAt) / kWarm;
  return 1 + (this->scenario.slowFactor - 1) * std::clamp(left, 0.0, 1.0);
}

inline Distance
ChoiceWorld::Between(const DomainSpec& aOne, const DomainSpec& aOther)
{
  if (aOne.name == aOther.name) {
    return Distance::SameDomain;
  }
  return aOne.region == aOther.region ? Distance::SameRegion
                                      : Distance::OtherRegion;
}

inline void
ChoiceWorld::Arrive(EntryDaemon& aEntry)
{
  const double perServer = kSlots / (kServiceFloor + kServiceRest);
  const double rate = aEntry.domain->load * aEntry.domain->servers * perServer;
  Call call;
  call.entry = &aEntry;
  call.bornAt = this->loop.Now();
  call.service = kServiceFloor + Exponential(this->random, kServiceRest);
  this->Send(std::move(call));
  this->loop.After(Exponential(this->random, kEntryDaemons / rate),
                   [this, &aEntry] { this->Arrive(aEntry); });
}

inline void
ChoiceWorld::Send(Call aCall)
{
  const auto info = aCall.entry->chooser.choose(aCall.tried);
  if (!info) {
    this->Conclude(std::move(aCall), CallEnd::Failed);
    return;
  }
  const EndpointKey key{ info->host, info->port };
  aCall.tried.insert(key);
  aCall.sentAt = this->loop.Now();
  aCall.host = info->host;
  aCall.isFar = info->distance == Distance::OtherRegion;
  this->figures.linkBytes +=
    aCall.isFar && this->IsMeasured(aCall) ? kCallBytes : 0;
  aCall.entry->chooser.started(key);
  AdmissionRequest request;
  request.callId = std::to_string(this->sequence++);
  request.entry = "route";
  request.owner = "owner";
  request.service = kService;
  request.port = kPort;
  request.deadlineAt = static_cast<Millis>(aCall.bornAt) + kDeadline;
  request.queueWait = kQueueWait;
  const double oneWay = aCall.isFar ? kFarOneWay : kNearOneWay;
  this->calls[request.callId] = std::move(aCall);
  this->loop.After(oneWay, [this, host = info->host, request] {
    this->calls.at(request.callId).offeredAt = this->loop.Now();
    this->hosts.at(host).admission->Offer(request);
  });
}

inline void
ChoiceWorld::Run(const std::string& aId)
{
  const Call& call = this->calls.at(aId);
  const Host& host = this->hosts.at(call.host);
  const double service = call.service * this->SpeedOf(host);
  this->loop.After(service, [this, aId, service, &host] {
    DomainLoadSum& sum = this->sums[host.domain->name];
    sum.inSystem += this->loop.Now() - this->calls.at(aId).offeredAt;
    sum.service += service;
    host.admission->Finish(aId, service);
    this->Answer(aId, CallEnd::Succeeded);
  });
}

inline void
ChoiceWorld::Answer(const std::string& aId, CallEnd aEnd)
{
  const Call& call = this->calls.at(aId);
  const Host& host = this->hosts.at(call.host);
  auto load = host.admission->LoadOf(kService, kPort);
  const bool isLiar = this->scenario.isLying && host.number == 0 &&
                      host.domain == this->scenario.domains.data();
  if (isLiar) {
    load.running = 0;
    load.waiting = 0;
  }
  const double oneWay = call.isFar ? kFarOneWay : kNearOneWay;
  this->loop.After(oneWay, [this, aId, aEnd, load] {
    Call ended = std::move(this->calls.at(aId));
    this->calls.erase(aId);
    const Observation observation{ aEnd,
                                   this->loop.Now() - ended.sentAt,
                                   load.running,
                                   load.waiting,
                                   load.slots };
    ended.entry->chooser.finished({ ended.host, kPort }, observation);
    this->Conclude(std::move(ended), aEnd);
  });
}

inline void
ChoiceWorld::Conclude(Call aCall, CallEnd aEnd)
{
  RetryBudget& budget = *aCall.entry->budget;
  const bool mayRetry = aEnd == CallEnd::Refused && aCall.retries < kRetries;
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
  ++this->figures.calls;
  if (isAnswered) {
    this->figures.latencies.push_back(this->loop.Now() - aCall.bornAt);
  } else {
    ++this->figures.refused;
  }
}

inline bool
ChoiceWorld::IsMeasured(const Call& aCall) const
{
  return aCall.entry->domain == this->scenario.domains.data() &&
         aCall.bornAt > kStart + kWarmUp;
}

} // namespace lacewingwharf::bench
