#pragma once

#include "admission/admission.h"

#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingwharf {

/** A call in the queue of a backend server. */
struct WaitingCall
{
  AdmissionRequest request;
  double since = 0;
};

/** A waiting call that is taken out of the queue, and why. */
struct RefusedCall
{
  AdmissionRequest request;
  Refusal refusal;
};

/** What an offer did; the offered call waits when it is not in refused. */
struct OfferResult
{
  std::optional<Refusal> refusal;       // Of the offered call.
  std::optional<RefusedCall> displaced; // Made room for the offered call.
};

/**
 * The slots and the bounded queue of one backend server.
 *
 * Calls with a target time are taken only if they are expected to be answered
 * by then, and among waiting calls of a class the one whose target comes first
 * goes first. One that will miss it is refused while others wait, so that
 * another server can run it.
 *
 * A free slot goes to the most important class and within it to the owner
 * with the fewest running calls, so owners that always have calls waiting get
 * equal numbers of slots whatever they send. While other owners wait, no owner
 * takes the last quarter of the slots, so a flood in an important class leaves
 * some slots to others. A full queue refuses the lowest class first and, in
 * it, the newest call of the owner with the most waiting calls.
 */
class SlotQueue
{
public:
  void SetCapacity(int aSlots, int aConnections);

  /** Queues the call or refuses it; StartNext() is to be called after it. */
  OfferResult Offer(const AdmissionRequest& aRequest, double aNow);

  /** Takes a slot for the next call, if there is a slot and a call. */
  std::optional<AdmissionRequest> StartNext(double aNow);

  void Finish(const AdmissionRequest& aRequest, double aServiceMillis);

  std::optional<AdmissionRequest> CancelWaiting(std::string_view aCallId);

  /** Calls whose time in the queue or whose deadline has passed. */
  std::vector<RefusedCall> TakeExpired(double aNow);

  std::vector<RefusedCall> TakeAll(RefusalReason aReason);

  int Running() const;
  int Waiting() const;
  int Slots() const;

private:
  using Iterator = std::list<WaitingCall>::iterator;

  int QueueBound() const;
  int OwnerCap() const;
  int RunningOf(const std::string& aOwner) const;
  int StartsBefore(const AdmissionRequest& aRequest) const;
  double ExpectedWait(const AdmissionRequest& aRequest) const;
  std::optional<Refusal> CheckWait(const AdmissionRequest& aRequest,
                                   double aNow) const;
  Iterator Victim(const AdmissionRequest& aRequest);
  Iterator Next(double aNow);
  double ServiceOf(const AdmissionRequest& aRequest) const;
  bool MissesTarget(const AdmissionRequest& aRequest, double aNow) const;
  std::optional<Refusal> Expiry(const WaitingCall& aCall, double aNow) const;

  int slots = 0;
  std::map<std::string, int, std::less<>> runningByOwner;
  int running = 0;
  std::list<WaitingCall> waiting; // In order of arrival.
  double meanService = 0;         // 0 until the first call has finished.
  std::map<std::string, double, std::less<>> meanByEntry; // As meanService.
};

inline int
SlotQueue::Running() const
{
  return this->running;
}

inline int
SlotQueue::Waiting() const
{
  return static_cast<int>(this->waiting.size());
}

inline int
SlotQueue::Slots() const
{
  return this->slots;
}

/** A refusal that carries entry and owner of the call. */
Refusal
RefusalOf(const AdmissionRequest& aRequest,
          RefusalReason aReason,
          std::int64_t aBound,
          std::int64_t aSeen);

} // namespace lacewingwharf
