#pragma once

#include "admission/admission.h"
#include "admission/teamshares.h"

#include <functional>
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
  double queuedAt = 0;
};

/** A call that was removed from the queue, and the reason. */
struct RefusedCall
{
  AdmissionRequest request;
  Refusal refusal;
};

/** Result of SlotQueue::Offer(). The call waits when refusal is empty. */
struct OfferResult
{
  std::optional<Refusal> refusal;       // Of the offered call.
  std::optional<RefusedCall> displaced; // Removed for the offered call.
};

/**
 * The slots and the bounded queue of one backend server.
 *
 * A call with a target time is accepted only if it is expected to be answered
 * by then. Among the waiting calls of a class that have a target, the one with
 * the earliest target starts first. A call that will miss its target is refused
 * while others wait, so that another server can run it.
 *
 * A free slot goes to the most important class and, in it, to the team that is
 * least above its share (TeamShares). Calls of teams at the same level, and all
 * calls without a team, are ordered by target and, among calls with equal
 * targets, by the owner with the fewest running calls. Owners that always have
 * calls waiting therefore get equal numbers of slots, however many calls they
 * send. While calls of other owners wait, no owner gets the last quarter of the
 * slots, so that a flood of calls in an important class leaves some slots to
 * others, and the same holds for teams. A full queue refuses the least
 * important class first and, in it, the newest call of the team that is
 * furthest above its share or, if none is, of the owner with the most waiting
 * calls.
 */
class SlotQueue
{
public:
  void SetCapacity(int aSlots, int aConnections);

  /** Sets the weights of teams. */
  void SetTeams(const Snapshot& aSnapshot);

  /** Queues or refuses the call. StartNext() has to be called afterwards. */
  OfferResult Offer(const AdmissionRequest& aRequest, double aNow);

  /**
   * Takes a slot for the next call. Empty when no slot is free or no call can
   * start.
   */
  std::optional<AdmissionRequest> StartNext(double aNow);

  void Finish(const AdmissionRequest& aRequest,
              double aServiceMillis,
              double aNow);

  std::optional<AdmissionRequest> CancelWaiting(std::string_view aCallId);

  /**
   * Removes the calls that have waited too long, whose deadline has passed or
   * that can no longer be answered in time.
   */
  std::vector<RefusedCall> TakeExpired(double aNow);

  std::vector<RefusedCall> TakeAll(RefusalReason aReason);

  int Running() const;
  int Waiting() const;
  int Slots() const;

private:
  using Iterator = std::list<WaitingCall>::iterator;

  int MaxWaiting() const;
  int MaxSlotsPerOwner() const;
  int RunningOf(const std::string& aOwner) const;
  int LevelOf(const AdmissionRequest& aRequest) const;
  void AddStanding(const AdmissionRequest& aRequest, Refusal& aRefusal) const;
  bool TeamHasMaxSlots(const AdmissionRequest& aRequest) const;
  int CountStartsBefore(const AdmissionRequest& aRequest) const;
  double ExpectedWait(const AdmissionRequest& aRequest) const;
  std::optional<Refusal> CheckExpectedWait(const AdmissionRequest& aRequest,
                                           double aNow) const;
  std::string FindTeamToDisplace(const AdmissionRequest& aRequest,
                                 WorkClass aClass) const;
  Iterator FindCallToDisplace(const AdmissionRequest& aRequest);
  Iterator FindNewest(
    const AdmissionRequest& aNew,
    const std::function<bool(const AdmissionRequest&)>& aMayBeDisplaced);
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
  TeamShares shares;
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

/** Creates a refusal with the entry and the owner of the call. */
Refusal
RefusalOf(const AdmissionRequest& aRequest,
          RefusalReason aReason,
          std::int64_t aBound,
          std::int64_t aSeen);

} // namespace lacewingwharf
