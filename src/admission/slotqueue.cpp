#include "admission/slotqueue.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr int kMaxQueuedPerSlot = 4;

// While calls of other owners wait, no owner can use the last
// 1/kReservedSlotsDivisor of the slots.
constexpr int kReservedSlotsDivisor = 4;

constexpr double kMeanSampleWeight = 0.1;

// Catalogue versions add and remove routes. At this size, the means of all
// entries are dropped, and with them those of removed routes.
constexpr std::size_t kMaxEntryMeans = 1024;

void
UpdateMean(double& aMean, double aSample)
{
  aMean = aMean == 0
            ? aSample
            : aMean * (1 - kMeanSampleWeight) + aSample * kMeanSampleWeight;
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

void
SlotQueue::SetTeams(const Snapshot& aSnapshot)
{
  this->shares.SetTeams(aSnapshot);
}

OfferResult
SlotQueue::Offer(const AdmissionRequest& aRequest, double aNow)
{
  this->shares.Advance(aNow);
  if (!aRequest.team.empty()) {
    this->shares.AddDemand(aRequest.team);
  }
  OfferResult result;
  result.refusal = this->CheckExpectedWait(aRequest, aNow);
  if (result.refusal) {
    this->AddStanding(aRequest, *result.refusal);
    return result;
  }
  if (this->running >= this->slots && this->Waiting() >= this->MaxWaiting()) {
    const auto toDisplace = this->FindCallToDisplace(aRequest);
    const int seen = this->Waiting() + 1;
    if (toDisplace == this->waiting.end()) {
      result.refusal =
        RefusalOf(aRequest, RefusalReason::QueueFull, this->MaxWaiting(), seen);
      result.refusal->retryAfter = RoundUp(this->ExpectedWait(aRequest));
      this->AddStanding(aRequest, *result.refusal);
      return result;
    }
    result.displaced = RefusedCall{ toDisplace->request,
                                    RefusalOf(toDisplace->request,
                                              RefusalReason::Displaced,
                                              this->MaxWaiting(),
                                              seen) };
    this->AddStanding(result.displaced->request, result.displaced->refusal);
    this->waiting.erase(toDisplace);
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
  this->shares.Advance(aNow);
  const auto next = this->FindNext(aNow);
  if (this->CheckExpiry(*next, aNow)) {
    return std::nullopt; // TakeExpired() has to remove it first.
  }
  AdmissionRequest request = std::move(next->request);
  this->waiting.erase(next);
  ++this->running;
  ++this->runningByOwner[request.owner];
  if (!request.team.empty()) {
    this->shares.Start(request.team);
  }
  return request;
}

void
SlotQueue::Finish(const AdmissionRequest& aRequest,
                  double aServiceMillis,
                  double aNow)
{
  this->shares.Advance(aNow);
  if (!aRequest.team.empty()) {
    this->shares.Finish(aRequest.team);
  }
  --this->running;
  const auto owner = this->runningByOwner.find(aRequest.owner);
  if (--owner->second == 0) {
    this->runningByOwner.erase(owner);
  }
  const double sample = std::max(0.0, aServiceMillis);
  UpdateMean(this->meanServiceMillis, sample);
  if (this->meanMillisByEntry.size() >= kMaxEntryMeans &&
      !this->meanMillisByEntry.contains(aRequest.entry)) {
    this->meanMillisByEntry.clear();
  }
  UpdateMean(this->meanMillisByEntry[aRequest.entry], sample);
}

/**
 * Mean service time of the entry's calls, or of all calls while none of the
 * entry has finished.
 */
double
SlotQueue::ExpectedServiceMillis(const AdmissionRequest& aRequest) const
{
  const auto mean = this->meanMillisByEntry.find(aRequest.entry);
  return mean == this->meanMillisByEntry.end() ? this->meanServiceMillis
                                               : mean->second;
}

bool
SlotQueue::WouldMissTarget(const AdmissionRequest& aRequest, double aNow) const
{
  return aRequest.targetAt && aNow + this->ExpectedServiceMillis(aRequest) >
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
  this->shares.Advance(aNow);
  std::vector<RefusedCall> expired;
  for (auto call = this->waiting.begin(); call != this->waiting.end();) {
    if (auto refusal = this->CheckExpiry(*call, aNow)) {
      this->AddStanding(call->request, *refusal);
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
SlotQueue::MaxWaiting() const
{
  return kMaxQueuedPerSlot * this->slots;
}

int
SlotQueue::MaxSlotsPerOwner() const
{
  return std::max(1, this->slots - this->slots / kReservedSlotsDivisor);
}

int
SlotQueue::RunningOf(const std::string& aOwner) const
{
  const auto owner = this->runningByOwner.find(aOwner);
  return owner == this->runningByOwner.end() ? 0 : owner->second;
}

double
SlotQueue::ExpectedWait(const AdmissionRequest& aRequest) const
{
  const int before = this->CountStartsBefore(aRequest);
  const int free = this->slots - this->running;
  if (free > before || this->slots == 0) {
    return 0;
  }
  return (before - std::max(0, free) + 1) * this->meanServiceMillis /
         this->slots;
}

/**
 * Refuses a call whose deadline has passed, whose expected wait exceeds its
 * queueWait, or whose answer is expected after its deadline or target.
 * The work for an answer after the deadline would be wasted.
 */
std::optional<Refusal>
SlotQueue::CheckExpectedWait(const AdmissionRequest& aRequest,
                             double aNow) const
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
  const double service = this->ExpectedServiceMillis(aRequest);
  if (wait > 0 && wait + service > remaining) {
    return RefusalOf(aRequest,
                     RefusalReason::QueueWait,
                     RoundUp(remaining),
                     RoundUp(wait + service));
  }
  if (wait > 0 && this->WouldMissTarget(aRequest, aNow + wait)) {
    auto refusal = RefusalOf(aRequest,
                             RefusalReason::QueueWait,
                             *aRequest.targetAt - RoundUp(aNow),
                             RoundUp(wait + service));
    refusal.retryAfter = RoundUp(wait);
    return refusal;
  }
  return std::nullopt;
}

std::optional<Refusal>
SlotQueue::CheckExpiry(const WaitingCall& aCall, double aNow) const
{
  const AdmissionRequest& request = aCall.request;
  const double overdueMillis = aNow - static_cast<double>(request.deadlineAt);
  if (overdueMillis >= 0) {
    return RefusalOf(
      request, RefusalReason::DeadlinePassed, 0, RoundUp(overdueMillis));
  }
  const double service = this->ExpectedServiceMillis(request);
  const double waited = aNow - aCall.queuedAt;
  // The answer would come after the deadline, or after the target while other
  // calls wait.
  const bool willMissDeadline = service > -overdueMillis;
  const bool delaysOthers =
    this->Waiting() > 1 && waited > 0 && this->WouldMissTarget(request, aNow);
  if (request.targetAt && (willMissDeadline || delaysOthers)) {
    auto refusal = RefusalOf(request,
                             RefusalReason::QueueWait,
                             RoundUp(-overdueMillis),
                             RoundUp(waited));
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
