#include "admission/slotqueue.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr int kQueuePerSlot = 4;

// One part of the slots in this many stays free of an owner that already has
// the rest, while calls of other owners wait.
constexpr int kReservedPart = 4;

constexpr double kServiceWeight = 0.1;

// Routes come and go with versions; means of former ones are dropped with all.
constexpr std::size_t kMaxEntries = 1024;

void
Add(double& aMean, double aSample)
{
  aMean = aMean == 0 ? aSample
                     : aMean * (1 - kServiceWeight) + aSample * kServiceWeight;
}

Millis
RoundUp(double aMillis)
{
  return std::llround(std::ceil(aMillis));
}

} // namespace

Refusal
RefusalOf(const AdmissionRequest& aRequest,
          RefusalReason aReason,
          std::int64_t aBound,
          std::int64_t aSeen)
{
  Refusal refusal;
  refusal.reason = aReason;
  refusal.entry = aRequest.entry;
  refusal.owner = aRequest.owner;
  refusal.bound = aBound;
  refusal.seen = aSeen;
  return refusal;
}

void
SlotQueue::SetCapacity(int aSlots, int aConnections)
{
  this->slots = aConnections > 0 ? std::min(aSlots, aConnections) : aSlots;
}

OfferResult
SlotQueue::Offer(const AdmissionRequest& aRequest, double aNow)
{
  OfferResult result;
  result.refusal = this->CheckWait(aRequest, aNow);
  if (result.refusal) {
    return result;
  }
  if (this->running >= this->slots && this->Waiting() >= this->QueueBound()) {
    const auto victim = this->Victim(aRequest);
    const int seen = this->Waiting() + 1;
    if (victim == this->waiting.end()) {
      result.refusal =
        RefusalOf(aRequest, RefusalReason::QueueFull, this->QueueBound(), seen);
      result.refusal->retryAfter = RoundUp(this->ExpectedWait(aRequest));
      return result;
    }
    result.displaced = RefusedCall{ victim->request,
                                    RefusalOf(victim->request,
                                              RefusalReason::Displaced,
                                              this->QueueBound(),
                                              seen) };
    this->waiting.erase(victim);
  }
  this->waiting.push_back({ aRequest, aNow });
  return result;
}

std::optional<AdmissionRequest>
SlotQueue::StartNext(double aNow)
{
  if (this->running >= this->slots || this->waiting.empty()) {
    return std::nullopt;
  }
  const auto next = this->Next(aNow);
  if (this->Expiry(*next, aNow)) {
    return std::nullopt; // TakeExpired() has to be called first.
  }
  AdmissionRequest request = std::move(next->request);
  this->waiting.erase(next);
  ++this->running;
  ++this->runningByOwner[request.owner];
  return request;
}

void
SlotQueue::Finish(const AdmissionRequest& aRequest, double aServiceMillis)
{
  --this->running;
  const auto owner = this->runningByOwner.find(aRequest.owner);
  if (--owner->second == 0) {
    this->runningByOwner.erase(owner);
  }
  const double sample = std::max(0.0, aServiceMillis);
  Add(this->meanService, sample);
  if (this->meanByEntry.size() >= kMaxEntries &&
      !this->meanByEntry.contains(aRequest.entry)) {
    this->meanByEntry.clear();
  }
  Add(this->meanByEntry[aRequest.entry], sample);
}

/** How long calls of the entry run, or all calls when it is not known. */
double
SlotQueue::ServiceOf(const AdmissionRequest& aRequest) const
{
  const auto mean = this->meanByEntry.find(aRequest.entry);
  return mean == this->meanByEntry.end() ? this->meanService : mean->second;
}

bool
SlotQueue::MissesTarget(const AdmissionRequest& aRequest, double aNow) const
{
  return aRequest.targetAt && aNow + this->ServiceOf(aRequest) >
                                static_cast<double>(*aRequest.targetAt);
}

std::optional<AdmissionRequest>
SlotQueue::CancelWaiting(std::string_view aCallId)
{
  const auto call =
    std::ranges::find_if(this->waiting, [aCallId](const WaitingCall& aWaiting) {
      return aWaiting.request.callId == aCallId;
    });
  if (call == this->waiting.end()) {
    return std::nullopt;
  }
  AdmissionRequest request = std::move(call->request);
  this->waiting.erase(call);
  return request;
}

std::vector<RefusedCall>
SlotQueue::TakeExpired(double aNow)
{
  std::vector<RefusedCall> expired;
  for (auto call = this->waiting.begin(); call != this->waiting.end();) {
    if (auto refusal = this->Expiry(*call, aNow)) {
      expired.push_back({ std::move(call->request), std::move(*refusal) });
      call = this->waiting.erase(call);
    } else {
      ++call;
    }
  }
  return expired;
}

std::vector<RefusedCall>
SlotQueue::TakeAll(RefusalReason aReason)
{
  std::vector<RefusedCall> taken;
  for (WaitingCall& call : this->waiting) {
    Refusal refusal = RefusalOf(call.request, aReason, 0, this->Waiting());
    taken.push_back({ std::move(call.request), std::move(refusal) });
  }
  this->waiting.clear();
  return taken;
}

int
SlotQueue::QueueBound() const
{
  return kQueuePerSlot * this->slots;
}

int
SlotQueue::OwnerCap() const
{
  return std::max(1, this->slots - this->slots / kReservedPart);
}

int
SlotQueue::RunningOf(const std::string& aOwner) const
{
  const auto owner = this->runningByOwner.find(aOwner);
  return owner == this->runningByOwner.end() ? 0 : owner->second;
}

/**
 * Calls that start before a new call of this class and owner: all of more
 * important classes, and in its own class those of each owner that come up
 * before this owner has had its earlier calls started. Calls of owners that
 * have reached their cap come later.
 */
int
SlotQueue::StartsBefore(const AdmissionRequest& aRequest) const
{
  int before = 0;
  std::map<std::string_view, int> byOwner;
  for (const WaitingCall& call : this->waiting) {
    const AdmissionRequest& other = call.request;
    const bool isLater = other.owner != aRequest.owner &&
                         this->RunningOf(other.owner) >= this->OwnerCap();
    if (other.workClass < aRequest.workClass) {
      before += isLater ? 0 : 1;
    } else if (other.workClass == aRequest.workClass && !isLater) {
      ++byOwner[other.owner];
    }
  }
  const int own = byOwner[aRequest.owner];
  const int level = this->RunningOf(aRequest.owner) + own;
  for (const auto& [owner, calls] : byOwner) {
    const int ahead = level + 1 - this->RunningOf(std::string(owner));
    before += owner == aRequest.owner ? own : std::clamp(ahead, 0, calls);
  }
  return before;
}

double
SlotQueue::ExpectedWait(const AdmissionRequest& aRequest) const
{
  const int before = this->StartsBefore(aRequest);
  const int free = this->slots - this->running;
  if (free > before || this->slots == 0) {
    return 0;
  }
  return (before - std::max(0, free) + 1) * this->meanService / this->slots;
}

/**
 * The expected wait may use up the call's queue time or the deadline; a call
 * whose answer would come after its deadline is refused as well, because its
 * work would be thrown away.
 */
std::optional<Refusal>
SlotQueue::CheckWait(const AdmissionRequest& aRequest, double aNow) const
{
  const double remaining = static_cast<double>(aRequest.deadlineAt) - aNow;
  if (remaining <= 0) {
    return RefusalOf(
      aRequest, RefusalReason::DeadlinePassed, 0, RoundUp(-remaining));
  }
  const double wait = this->ExpectedWait(aRequest);
  const bool hasBound = aRequest.queueWait > 0;
  if (hasBound && wait > static_cast<double>(aRequest.queueWait)) {
    auto refusal = RefusalOf(
      aRequest, RefusalReason::QueueWait, aRequest.queueWait, RoundUp(wait));
    refusal.retryAfter = RoundUp(wait) - aRequest.queueWait;
    return refusal;
  }
  const double service = this->ServiceOf(aRequest);
  if (wait > 0 && wait + service > remaining) {
    return RefusalOf(aRequest,
                     RefusalReason::QueueWait,
                     RoundUp(remaining),
                     RoundUp(wait + service));
  }
  if (wait > 0 && this->MissesTarget(aRequest, aNow + wait)) {
    auto refusal = RefusalOf(aRequest,
                             RefusalReason::QueueWait,
                             *aRequest.targetAt - RoundUp(aNow),
                             RoundUp(wait + service));
    refusal.retryAfter = RoundUp(wait);
    return refusal;
  }
  return std::nullopt;
}

/** The call to displace, or the end when the new call is the one to refuse. */
SlotQueue::Iterator
SlotQueue::Victim(const AdmissionRequest& aRequest)
{
  WorkClass lowest = aRequest.workClass;
  for (const WaitingCall& call : this->waiting) {
    lowest = std::max(lowest, call.request.workClass);
  }
  std::map<std::string_view, int> byOwner;
  if (aRequest.workClass == lowest) {
    ++byOwner[aRequest.owner];
  }
  for (const WaitingCall& call : this->waiting) {
    if (call.request.workClass == lowest) {
      ++byOwner[call.request.owner];
    }
  }
  int most = 0;
  for (const auto& [owner, calls] : byOwner) {
    most = std::max(most, calls);
  }
  if (aRequest.workClass == lowest && byOwner[aRequest.owner] == most) {
    return this->waiting.end();
  }
  const auto isVictim = [&](const WaitingCall& aCall) {
    return aCall.request.workClass == lowest &&
           byOwner[aCall.request.owner] == most;
  };
  const auto newest =
    std::find_if(this->waiting.rbegin(), this->waiting.rend(), isVictim);
  return std::prev(newest.base());
}

SlotQueue::Iterator
SlotQueue::Next(double aNow)
{
  const auto first = this->waiting.begin();
  const bool hasOthers =
    std::ranges::any_of(this->waiting, [&first](const WaitingCall& aCall) {
      return aCall.request.owner != first->request.owner;
    });
  const int cap = this->OwnerCap();
  const auto rank = [&](const WaitingCall& aCall) {
    const int owned = this->RunningOf(aCall.request.owner);
    return std::tuple(hasOthers && owned >= cap,
                      aCall.request.workClass,
                      this->MissesTarget(aCall.request, aNow),
                      aCall.request.targetAt.value_or(0),
                      owned);
  };
  // The first of the lowest rank is also the one that waits longest.
  return std::ranges::min_element(this->waiting, {}, rank);
}

std::optional<Refusal>
SlotQueue::Expiry(const WaitingCall& aCall, double aNow) const
{
  const AdmissionRequest& request = aCall.request;
  const double late = aNow - static_cast<double>(request.deadlineAt);
  if (late >= 0) {
    return RefusalOf(request, RefusalReason::DeadlinePassed, 0, RoundUp(late));
  }
  const double service = this->ServiceOf(request);
  const double waited = aNow - aCall.since;
  // Nobody waits for its answer, or others would miss their target for it.
  const bool isHopeless = service > -late;
  const bool isInTheWay =
    this->Waiting() > 1 && waited > 0 && this->MissesTarget(request, aNow);
  if (request.targetAt && (isHopeless || isInTheWay)) {
    auto refusal = RefusalOf(
      request, RefusalReason::QueueWait, RoundUp(-late), RoundUp(waited));
    refusal.retryAfter = RoundUp(service / std::max(1, this->slots));
    return refusal;
  }
  if (request.queueWait > 0 &&
      waited > static_cast<double>(request.queueWait)) {
    return RefusalOf(
      request, RefusalReason::QueueWait, request.queueWait, RoundUp(waited));
  }
  return std::nullopt;
}

} // namespace lacewingwharf
