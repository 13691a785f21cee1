#include "admission/admission.h"

#include "admission/limittracker.h"
#include "admission/slotqueue.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace lacewingwharf {

namespace {

struct LocalEndpointKey
{
  std::string service;
  int port = 0;

  // clang-tidy 14 mistakes the zero in a defaulted <=> for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const LocalEndpointKey&) const = default;
};

struct LocalEndpoint
{
  SlotQueue queue;
  int connections = 0;
  EndpointState state = EndpointState::Starting;
  bool isRemoved = false;
};

struct TrackedCall
{
  LocalEndpointKey endpoint;
  std::optional<AdmissionRequest> running; // Empty while the call waits.
};

struct Decision
{
  std::string callId;
  std::optional<Refusal> refusal;
};

LocalEndpointKey
KeyOf(const AdmissionRequest& aRequest)
{
  return { aRequest.service, aRequest.port };
}

bool
AcceptsCalls(const LocalEndpoint& aEndpoint)
{
  return !aEndpoint.isRemoved && aEndpoint.state == EndpointState::Ready;
}

RefusalReason
ReasonNotAccepting(const LocalEndpoint& aEndpoint)
{
  const bool isDraining =
    !aEndpoint.isRemoved && aEndpoint.state == EndpointState::Draining;
  return isDraining ? RefusalReason::Draining : RefusalReason::NoEndpoint;
}

} // namespace

class Admission::Impl
{
public:
  Impl(std::string aHost, Clock aClock, Hooks aHooks);

  void SetEndpoint(const LocalEndpointKey& aKey,
                   int aSlots,
                   int aConnections,
                   EndpointState aState);
  void RemoveEndpoint(const LocalEndpointKey& aKey);
  void SetConfiguration(SnapshotPtr aSnapshot, EndpointViewPtr aView);
  void Offer(AdmissionRequest aRequest);
  void Finish(const std::string& aCallId, double aServiceMillis);
  bool CancelWaiting(const std::string& aCallId);
  void Tick();
  EndpointLoad LoadOf(const LocalEndpointKey& aKey) const;

private:
  void Configure();
  std::int64_t OwnSlots(std::string_view aService) const;
  std::optional<Refusal> CheckBeforeQueue(const AdmissionRequest& aRequest);
  void Enqueue(LocalEndpoint& aEndpoint, const AdmissionRequest& aRequest);
  void Refuse(const std::vector<RefusedCall>& aCalls);
  void StartCalls(LocalEndpoint& aEndpoint);
  void RemoveIfIdle(const LocalEndpointKey& aKey);
  void AddDecision(std::string aCallId, std::optional<Refusal> aRefusal);
  void DeliverDecisions();

  Clock clock;
  Hooks hooks;
  LimitTracker limits;
  SnapshotPtr snapshot;
  EndpointViewPtr view;
  std::map<LocalEndpointKey, LocalEndpoint> endpoints;
  std::map<std::string, TrackedCall> calls; // Waiting or running.
  std::deque<Decision> decisions;
  bool isDelivering = false;
};

Admission::Impl::Impl(std::string aHost, Clock aClock, Hooks aHooks)
  : clock(std::move(aClock))
  , hooks(std::move(aHooks))
  , limits(std::move(aHost))
{
}

void
Admission::Impl::SetEndpoint(const LocalEndpointKey& aKey,
                             int aSlots,
                             int aConnections,
                             EndpointState aState)
{
  const auto [found, isNew] = this->endpoints.try_emplace(aKey);
  LocalEndpoint& endpoint = found->second;
  if (isNew && this->snapshot) {
    endpoint.queue.SetTeams(*this->snapshot);
  }
  const int slotsBefore = endpoint.queue.Slots();
  const bool didAcceptCalls = AcceptsCalls(endpoint);
  endpoint.queue.SetCapacity(aSlots, aConnections);
  endpoint.state = aState;
  endpoint.isRemoved = false;
  const bool hasShareChanged = slotsBefore != endpoint.queue.Slots() ||
                               didAcceptCalls != AcceptsCalls(endpoint);
  if (hasShareChanged) {
    this->Configure();
  }
  if (!AcceptsCalls(endpoint)) {
    this->Refuse(endpoint.queue.TakeAll(ReasonNotAccepting(endpoint)));
  }
  this->StartCalls(endpoint);
  this->DeliverDecisions();
}

void
Admission::Impl::RemoveEndpoint(const LocalEndpointKey& aKey)
{
  const auto found = this->endpoints.find(aKey);
  if (found == this->endpoints.end()) {
    return;
  }
  found->second.isRemoved = true;
  this->Refuse(found->second.queue.TakeAll(RefusalReason::NoEndpoint));
  this->RemoveIfIdle(aKey);
  this->Configure();
  this->DeliverDecisions();
}

void
Admission::Impl::SetConfiguration(SnapshotPtr aSnapshot, EndpointViewPtr aView)
{
  this->snapshot = std::move(aSnapshot);
  this->view = std::move(aView);
  if (this->snapshot) { // Null until a version is in force.
    for (auto& [key, endpoint] : this->endpoints) {
      endpoint.queue.SetTeams(*this->snapshot);
    }
  }
  this->Configure();
}

void
Admission::Impl::Offer(AdmissionRequest aRequest)
{
  // Refusing a second offer of the same call would tell its caller that the
  // first one did not run.
  if (this->calls.contains(aRequest.callId)) {
    return;
  }
  auto refusal = this->CheckBeforeQueue(aRequest);
  if (refusal) {
    refusal->entry = aRequest.entry;
    refusal->owner = aRequest.owner;
    this->AddDecision(std::move(aRequest.callId), std::move(refusal));
  } else {
    this->Enqueue(this->endpoints.at(KeyOf(aRequest)), aRequest);
  }
  this->DeliverDecisions();
}

void
Admission::Impl::Finish(const std::string& aCallId, double aServiceMillis)
{
  const auto found = this->calls.find(aCallId);
  if (found == this->calls.end() || !found->second.running) {
    return;
  }
  const TrackedCall call = std::move(found->second);
  this->calls.erase(found);
  this->limits.Release(*call.running);
  LocalEndpoint& endpoint = this->endpoints.at(call.endpoint);
  endpoint.queue.Finish(
    *call.running, aServiceMillis, this->clock.PreciseNow());
  this->StartCalls(endpoint);
  this->RemoveIfIdle(call.endpoint);
  this->DeliverDecisions();
}

bool
Admission::Impl::CancelWaiting(const std::string& aCallId)
{
  const auto found = this->calls.find(aCallId);
  if (found == this->calls.end() || found->second.running) {
    return false;
  }
  LocalEndpoint& endpoint = this->endpoints.at(found->second.endpoint);
  const auto request = endpoint.queue.CancelWaiting(aCallId);
  this->limits.Release(*request);
  this->calls.erase(found);
  return true;
}

void
Admission::Impl::Tick()
{
  for (auto& [key, endpoint] : this->endpoints) {
    this->StartCalls(endpoint);
  }
  this->DeliverDecisions();
}

EndpointLoad
Admission::Impl::LoadOf(const LocalEndpointKey& aKey) const
{
  const auto found = this->endpoints.find(aKey);
  if (found == this->endpoints.end()) {
    return {};
  }
  const SlotQueue& queue = found->second.queue;
  return { queue.Running(), queue.Waiting(), queue.Slots() };
}

void
Admission::Impl::Configure()
{
  if (!this->snapshot) {
    return;
  }
  static const EndpointView sEmpty;
  this->limits.Configure(
    *this->snapshot,
    this->view ? *this->view : sEmpty,
    [this](std::string_view aService) { return this->OwnSlots(aService); });
}

std::int64_t
Admission::Impl::OwnSlots(std::string_view aService) const
{
  std::int64_t slots = 0;
  for (const auto& [key, endpoint] : this->endpoints) {
    if (key.service == aService && AcceptsCalls(endpoint)) {
      slots += endpoint.queue.Slots();
    }
  }
  return slots;
}

std::optional<Refusal>
Admission::Impl::CheckBeforeQueue(const AdmissionRequest& aRequest)
{
  if (!this->snapshot) {
    return RefusalOf(aRequest, RefusalReason::NoConfiguration, 0, 0);
  }
  const auto found = this->endpoints.find(KeyOf(aRequest));
  if (found == this->endpoints.end()) {
    return RefusalOf(aRequest, RefusalReason::NoEndpoint, 0, 0);
  }
  if (!AcceptsCalls(found->second)) {
    return RefusalOf(aRequest, ReasonNotAccepting(found->second), 0, 0);
  }
  return this->limits.Check(aRequest, this->clock.PreciseNow());
}

void
Admission::Impl::Enqueue(LocalEndpoint& aEndpoint,
                         const AdmissionRequest& aRequest)
{
  const double now = this->clock.PreciseNow();
  this->Refuse(aEndpoint.queue.TakeExpired(now));
  OfferResult result = aEndpoint.queue.Offer(aRequest, now);
  if (result.refusal) {
    this->AddDecision(aRequest.callId, std::move(result.refusal));
    return;
  }
  this->limits.Admit(aRequest, now);
  this->calls.emplace(aRequest.callId,
                      TrackedCall{ KeyOf(aRequest), std::nullopt });
  if (result.displaced) {
    this->Refuse({ std::move(*result.displaced) });
  }
  this->StartCalls(aEndpoint);
}

void
Admission::Impl::Refuse(const std::vector<RefusedCall>& aCalls)
{
  for (const RefusedCall& call : aCalls) {
    this->limits.Release(call.request);
    this->calls.erase(call.request.callId);
    this->AddDecision(call.request.callId, call.refusal);
  }
}

void
Admission::Impl::StartCalls(LocalEndpoint& aEndpoint)
{
  const double now = this->clock.PreciseNow();
  this->Refuse(aEndpoint.queue.TakeExpired(now));
  if (!AcceptsCalls(aEndpoint)) {
    return;
  }
  while (auto request = aEndpoint.queue.StartNext(now)) {
    const std::string callId = request->callId;
    this->calls.at(callId).running = std::move(request);
    this->AddDecision(callId, std::nullopt);
  }
}

void
Admission::Impl::RemoveIfIdle(const LocalEndpointKey& aKey)
{
  const auto found = this->endpoints.find(aKey);
  if (found->second.isRemoved && found->second.queue.Running() == 0) {
    this->endpoints.erase(found);
  }
}

void
Admission::Impl::AddDecision(std::string aCallId,
                             std::optional<Refusal> aRefusal)
{
  this->decisions.push_back({ std::move(aCallId), std::move(aRefusal) });
}

/**
 * Calls the hooks. They may call Admission again, so they run only once its
 * state is consistent, and the outermost call delivers all decisions.
 */
void
Admission::Impl::DeliverDecisions()
{
  if (this->isDelivering) {
    return;
  }
  this->isDelivering = true;
  while (!this->decisions.empty()) {
    const Decision decision = std::move(this->decisions.front());
    this->decisions.pop_front();
    if (decision.refusal) {
      this->hooks.refuse(decision.callId, *decision.refusal);
    } else {
      this->hooks.start(decision.callId);
    }
  }
  this->isDelivering = false;
}

Admission::Admission(std::string aHost, Clock aClock, Hooks aHooks)
  : impl(std::make_unique<Impl>(std::move(aHost),
                                std::move(aClock),
                                std::move(aHooks)))
{
}

Admission::~Admission() = default;

void
Admission::SetEndpoint(const std::string& aService,
                       int aPort,
                       int aSlots,
                       int aConnections,
                       EndpointState aState)
{
  this->impl->SetEndpoint({ aService, aPort }, aSlots, aConnections, aState);
}

void
Admission::RemoveEndpoint(const std::string& aService, int aPort)
{
  this->impl->RemoveEndpoint({ aService, aPort });
}

void
Admission::SetConfiguration(SnapshotPtr aSnapshot, EndpointViewPtr aView)
{
  this->impl->SetConfiguration(std::move(aSnapshot), std::move(aView));
}

void
Admission::Offer(AdmissionRequest aRequest)
{
  this->impl->Offer(std::move(aRequest));
}

void
Admission::Finish(const std::string& aCallId, double aServiceMillis)
{
  this->impl->Finish(aCallId, aServiceMillis);
}

bool
Admission::CancelWaiting(const std::string& aCallId)
{
  return this->impl->CancelWaiting(aCallId);
}

void
Admission::Tick()
{
  this->impl->Tick();
}

EndpointLoad
Admission::LoadOf(const std::string& aService, int aPort) const
{
  return this->impl->LoadOf({ aService, aPort });
}

} // namespace lacewingwharf
