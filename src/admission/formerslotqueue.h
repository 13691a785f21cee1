#pragma once

#include "admission/slotqueue.h"

#include <algorithm>
#include <cmath>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace lacewingwharf::testing {

namespace former {

inline constexpr int kMaxQueuedPerSlot = 4;

// While calls of other owners wait, no owner can use the last
// 1/kReservedSlotsDivisor of the slots.
inline constexpr int kReservedSlotsDivisor = 4;

inline constexpr double kMeanSampleWeight = 0.1;

// Catalogue versions add and remove routes. At this size, the means of all
// entries are dropped, and with them those of removed routes.
inline constexpr std::size_t kMaxEntryMeans = 1024;

inline void
UpdateMean(double& aMean, double aSample)
{
  aMean = aMean == 0
            ? aSample
            : aMean * (1 - kMeanSampleWeight) + aSample * kMeanSampleWeight;
}

inline Millis
RoundUp(double aMillis)
{
  return std::llround(std::ceil(aMillis));
}

} // namespace former

/**
 * SlotQueue as it was before slots were shared among teams, at 8c9f012. Without
 * teams, SlotQueue must decide every call in the same way.
 */
class FormerSlotQueue
{
public:
  void SetCapacity(int aSlots, int aConnections);

  OfferResult Offer(const AdmissionRequest& aRequest, double aNow);

  std::optional<AdmissionRequest> StartNext(double aNow);

  void Finish(const AdmissionRequest& aRequest, double aServiceMillis, double);

  std::optional<AdmissionRequest> CancelWaiting(std::string_view aCallId);

  std::vector<RefusedCall> TakeExpired(double aNow);

  int Waiting() const;

private:
  using Iterator = std::list<WaitingCall>::iterator;

  int MaxWaiting() const;
  int MaxSlotsPerOwner() const;
  int RunningOf(const std::string& aOwner) const;
  int CountStartsBefore(const AdmissionRequest& aRequest) const;
  double ExpectedWait(const AdmissionRequest& aRequest) const;
  std::optional<Refusal> CheckExpectedWait(const AdmissionRequest& aRequest,
                                           double aNow) const;
  Iterator FindCallToDisplace(const AdmissionRequest& aRequest);
  Iterator FindNext(double aNow);
  double ExpectedServiceMillis(const AdmissionRequest& aRequest) const;
  bool WouldMissTarget(const AdmissionRequest& aRequest, double aNow) const;
  std::optional<Refusal> CheckExpiry(const WaitingCall& aCall,
                                     double aNow) const;

  int slots = 0;
  std::map<std::string, int, std::less<>> runningByOwner;
  int running = 0;
  std::list<WaitingCall> waiting; // In order of arrival.
  double meanServiceMillis = 0;   // 0 until the first call has finished.
  std::map<std::string, double, std::less<>> meanMillisByEntry;
};

inline void
FormerSlotQueue::SetCapacity(int aSlots, int aConnections)
{
  this->slots = aConnections > 0 ? std::min(aSlots, aConnections) : aSlots;
}

inline OfferResult
FormerSlotQueue::Offer(const AdmissionRequest& aRequest, double aNow)
{
  OfferResult result;
  result.refusal = this->CheckExpectedWait(aRequest, aNow);
  if (result.refusal) {
    return result;
  }
  if (this->running >= this->slots && this->Waiting() >= this->MaxWaiting()) {
    const auto toDisplace = this->FindCallToDisplace(aRequest);
    const int seen = this->Waiting() + 1;
    if (toDisplace == this->waiting.end()) {
      result.refusal =
        RefusalOf(aRequest, RefusalReason::QueueFull, this->MaxWaiting(), seen);
      result.refusal->retryAfter =
        former::RoundUp(this->ExpectedWait(aRequest));
      return result;
    }
    result.displaced = RefusedCall{ toDisplace->request,
                                    RefusalOf(toDisplace->request,
                                              RefusalReason::Displaced,
                                              this->MaxWaiting(),
                                              seen) };
    this->waiting.erase(toDisplace);
  }
  this->waiting.push_back({ aRequest, aNow });
  return result;
}

inline std::optional<AdmissionRequest>
FormerSlotQueue::StartNext(double aNow)
{
  if (this->running >= this->slots || this->waiting.empty()) {
    return std::nullopt;
  }
  const auto next = this->FindNext(aNow);
  if (this->CheckExpiry(*next, aNow)) {
    return std::nullopt; // TakeExpired() has to remove it first.
  }
  AdmissionRequest request = std::move(next->request);
  this->waiting.erase(next);
  ++this->running;
  ++this->runningByOwner[request.owner];
  return request;
}

inline void
FormerSlotQueue::Finish(const AdmissionRequest& aRequest,
                        double aServiceMillis,
                        double /*aNow*/)
{
  --this->running;
  const auto owner = this->runningByOwner.find(aRequest.owner);
  if (--owner->second == 0) {
    this->runningByOwner.erase(owner);
  }
  const double sample = std::max(0.0, aServiceMillis);
  former::UpdateMean(this->meanServiceMillis, sample);
  if (this->meanMillisByEntry.size() >= former::kMaxEntryMeans &&
      !this->meanMillisByEntry.contains(aRequest.entry)) {
    this->meanMillisByEntry.clear();
  }
  former::UpdateMean(this->meanMillisByEntry[aRequest.entry], sample);
}

/**
 * Mean service time of the entry's calls, or of all calls while none of the
 * entry has finished.
 */
inline double
FormerSlotQueue::ExpectedServiceMillis(const AdmissionRequest& aRequest) const
{
  const auto mean = this->meanMillisByEntry.find(aRequest.entry);
  return mean == this->meanMillisByEntry.end() ? this->meanServiceMillis
                                               : mean->second;
}

inline bool
FormerSlotQueue::WouldMissTarget(const AdmissionRequest& aRequest,
                                 double aNow) const
{
  return aRequest.targetAt && aNow + this->ExpectedServiceMillis(aRequest) >
                                static_cast<double>(*aRequest.targetAt);
}

inline std::optional<AdmissionRequest>
FormerSlotQueue::CancelWaiting(std::string_view aCallId)
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

inline std::vector<RefusedCall>
FormerSlotQueue::TakeExpired(double aNow)
{
  std::vector<RefusedCall> expired;
  for (auto call = this->waiting.begin(); call != this->waiting.end();) {
    if (auto refusal = this->CheckExpiry(*call, aNow)) {
      expired.push_back({ std::move(call->request), std::move(*refusal) });
      call = this->waiting.erase(call);
    } else {
      ++call;
    }
  }
  return expired;
}

inline int
FormerSlotQueue::MaxWaiting() const
{
  return former::kMaxQueuedPerSlot * this->slots;
}

inline int
FormerSlotQueue::MaxSlotsPerOwner() const
{
  return std::max(1, this->slots - this->slots / former::kReservedSlotsDivisor);
}

inline int
FormerSlotQueue::RunningOf(const std::string& aOwner) const
{
  const auto owner = this->runningByOwner.find(aOwner);
  return owner == this->runningByOwner.end() ? 0 : owner->second;
}

/**
 * Number of waiting calls that start before a new call of this class and owner.
 * They are the calls of more important classes, the waiting calls of this owner
 * in the class, and the calls of other owners in the class that start while the
 * other owner has no more running calls than this owner would have. Calls of
 * other owners that already use MaxSlotsPerOwner() slots start later and are
 * not counted.
 */
inline int
FormerSlotQueue::CountStartsBefore(const AdmissionRequest& aRequest) const
{
  int before = 0;
  std::map<std::string_view, int> byOwner;
  for (const WaitingCall& call : this->waiting) {
    const AdmissionRequest& other = call.request;
    const bool isLater =
      other.owner != aRequest.owner &&
      this->RunningOf(other.owner) >= this->MaxSlotsPerOwner();
    if (other.workClass < aRequest.workClass) {
      before += isLater ? 0 : 1;
    } else if (other.workClass == aRequest.workClass && !isLater) {
      ++byOwner[other.owner];
    }
  }
  const int ownWaiting = byOwner[aRequest.owner];
  const int callsOfOwner = this->RunningOf(aRequest.owner) + ownWaiting;
  for (const auto& [owner, calls] : byOwner) {
    const int startingFirst =
      callsOfOwner + 1 - this->RunningOf(std::string(owner));
    before += owner == aRequest.owner ? ownWaiting
                                      : std::clamp(startingFirst, 0, calls);
  }
  return before;
}

inline double
FormerSlotQueue::ExpectedWait(const AdmissionRequest& aRequest) const
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
inline std::optional<Refusal>
FormerSlotQueue::CheckExpectedWait(const AdmissionRequest& aRequest,
                                   double aNow) const
{
  const double remaining = static_cast<double>(aRequest.deadlineAt) - aNow;
  if (remaining <= 0) {
    return RefusalOf(
      aRequest, RefusalReason::DeadlinePassed, 0, former::RoundUp(-remaining));
  }
  const double wait = this->ExpectedWait(aRequest);
  const bool hasBound = aRequest.queueWait > 0;
  if (hasBound && wait > static_cast<double>(aRequest.queueWait)) {
    auto refusal = RefusalOf(aRequest,
                             RefusalReason::QueueWait,
                             aRequest.queueWait,
                             former::RoundUp(wait));
    refusal.retryAfter = former::RoundUp(wait) - aRequest.queueWait;
    return refusal;
  }
  const double service = this->ExpectedServiceMillis(aRequest);
  if (wait > 0 && wait + service > remaining) {
    return RefusalOf(aRequest,
                     RefusalReason::QueueWait,
                     former::RoundUp(remaining),
                     former::RoundUp(wait + service));
  }
  if (wait > 0 && this->WouldMissTarget(aRequest, aNow + wait)) {
    auto refusal = RefusalOf(aRequest,
                             RefusalReason::QueueWait,
                             *aRequest.targetAt - former::RoundUp(aNow),
                             former::RoundUp(wait + service));
    refusal.retryAfter = former::RoundUp(wait);
    return refusal;
  }
  return std::nullopt;
}

/**
 * Returns the call to displace, or the end iterator when the new call is the
 * one to refuse.
 */
inline FormerSlotQueue::Iterator
FormerSlotQueue::FindCallToDisplace(const AdmissionRequest& aRequest)
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
  int mostWaiting = 0;
  for (const auto& [owner, calls] : byOwner) {
    mostWaiting = std::max(mostWaiting, calls);
  }
  if (aRequest.workClass == lowest && byOwner[aRequest.owner] == mostWaiting) {
    return this->waiting.end();
  }
  const auto mayBeDisplaced = [&](const WaitingCall& aCall) {
    return aCall.request.workClass == lowest &&
           byOwner[aCall.request.owner] == mostWaiting;
  };
  const auto newest =
    std::find_if(this->waiting.rbegin(), this->waiting.rend(), mayBeDisplaced);
  return std::prev(newest.base());
}

inline FormerSlotQueue::Iterator
FormerSlotQueue::FindNext(double aNow)
{
  const auto first = this->waiting.begin();
  const bool hasOthers =
    std::ranges::any_of(this->waiting, [&first](const WaitingCall& aCall) {
      return aCall.request.owner != first->request.owner;
    });
  const int cap = this->MaxSlotsPerOwner();
  const auto rank = [&](const WaitingCall& aCall) {
    const int owned = this->RunningOf(aCall.request.owner);
    return std::tuple(hasOthers && owned >= cap,
                      aCall.request.workClass,
                      this->WouldMissTarget(aCall.request, aNow),
                      aCall.request.targetAt.value_or(0),
                      owned);
  };
  // Among calls of equal rank, min_element returns the first, which has waited
  // longest.
  return std::ranges::min_element(this->waiting, {}, rank);
}

inline std::optional<Refusal>
FormerSlotQueue::CheckExpiry(const WaitingCall& aCall, double aNow) const
{
  const AdmissionRequest& request = aCall.request;
  const double overdueMillis = aNow - static_cast<double>(request.deadlineAt);
  if (overdueMillis >= 0) {
    return RefusalOf(request,
                     RefusalReason::DeadlinePassed,
                     0,
                     former::RoundUp(overdueMillis));
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
                             former::RoundUp(-overdueMillis),
                             former::RoundUp(waited));
    refusal.retryAfter = former::RoundUp(service / std::max(1, this->slots));
    return refusal;
  }
  if (request.queueWait > 0 &&
      waited > static_cast<double>(request.queueWait)) {
    return RefusalOf(request,
                     RefusalReason::QueueWait,
                     request.queueWait,
                     former::RoundUp(waited));
  }
  return std::nullopt;
}

inline int
FormerSlotQueue::Waiting() const
{
  return static_cast<int>(this->waiting.size());
}

} // namespace lacewingwharf::testing
