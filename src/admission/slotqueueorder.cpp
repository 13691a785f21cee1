// The part of SlotQueue that orders calls.

#include "admission/slotqueue.h"

#include <algorithm>
#include <tuple>

namespace lacewingwharf {

/** How far the team of the call is above its share; 0 without a team. */
int
SlotQueue::LevelOf(const AdmissionRequest& aRequest) const
{
  return aRequest.team.empty() ? 0
                               : lacewingwharf::LevelOf(this->shares.StandingOf(
                                   aRequest.team, this->meanServiceMillis));
}

void
SlotQueue::AddStanding(const AdmissionRequest& aRequest,
                       Refusal& aRefusal) const
{
  if (aRequest.team.empty()) {
    return;
  }
  const TeamStanding standing =
    this->shares.StandingOf(aRequest.team, this->meanServiceMillis);
  aRefusal.team = aRequest.team;
  aRefusal.teamSlots = standing.used;
  aRefusal.teamShare = standing.share;
}

bool
SlotQueue::TeamHasMaxSlots(const AdmissionRequest& aRequest) const
{
  return !aRequest.team.empty() &&
         this->shares.RunningOf(aRequest.team) >= this->MaxSlotsPerOwner();
}

/**
 * Number of waiting calls that start before a new call of this class, team and
 * owner. They are the calls of more important classes and of teams that are
 * less above their shares and, of the teams at the same level, the waiting
 * calls of this owner and those of other owners that start while the other
 * owner has no more running calls than this owner would have. Calls of other
 * owners and teams that already use MaxSlotsPerOwner() slots start later and
 * are not counted.
 */
int
SlotQueue::CountStartsBefore(const AdmissionRequest& aRequest) const
{
  int before = 0;
  std::map<std::string_view, int> byOwner;
  const int level = this->LevelOf(aRequest);
  for (const WaitingCall& call : this->waiting) {
    const AdmissionRequest& other = call.request;
    const bool isLater =
      (other.owner != aRequest.owner &&
       this->RunningOf(other.owner) >= this->MaxSlotsPerOwner()) ||
      (other.team != aRequest.team && this->TeamHasMaxSlots(other));
    if (isLater || other.workClass > aRequest.workClass) {
      continue;
    }
    const int otherLevel = this->LevelOf(other);
    if (other.workClass < aRequest.workClass || otherLevel < level) {
      ++before;
    } else if (otherLevel == level) {
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

/**
 * Returns the team of the class that is furthest above its share when its
 * waiting calls are counted with those that run; empty if none is above it.
 */
std::string
SlotQueue::FindTeamToDisplace(const AdmissionRequest& aRequest,
                              WorkClass aClass) const
{
  std::map<std::string_view, int> byTeam;
  const auto count = [&](const AdmissionRequest& aCall) {
    if (aCall.workClass == aClass && !aCall.team.empty()) {
      ++byTeam[aCall.team];
    }
  };
  count(aRequest);
  for (const WaitingCall& call : this->waiting) {
    count(call.request);
  }
  std::string furthest;
  double highest = 0;
  for (const auto& [team, calls] : byTeam) {
    const TeamStanding standing =
      this->shares.StandingOf(team, this->meanServiceMillis, calls);
    if (lacewingwharf::LevelOf(standing) > 0 && standing.ratio > highest) {
      highest = standing.ratio;
      furthest = team;
    }
  }
  return furthest;
}

/**
 * Returns the call to displace, or the end iterator when the new call is the
 * one to refuse.
 */
SlotQueue::Iterator
SlotQueue::FindCallToDisplace(const AdmissionRequest& aRequest)
{
  WorkClass lowest = aRequest.workClass;
  for (const WaitingCall& call : this->waiting) {
    lowest = std::max(lowest, call.request.workClass);
  }
  const std::string team = this->FindTeamToDisplace(aRequest, lowest);
  if (!team.empty()) {
    return this->FindNewest(aRequest, [&](const AdmissionRequest& aCall) {
      return aCall.workClass == lowest && aCall.team == team;
    });
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
  return this->FindNewest(aRequest, [&](const AdmissionRequest& aCall) {
    return aCall.workClass == lowest && byOwner[aCall.owner] == mostWaiting;
  });
}

/** Returns the end iterator if the new call itself is the newest. */
SlotQueue::Iterator
SlotQueue::FindNewest(
  const AdmissionRequest& aNew,
  const std::function<bool(const AdmissionRequest&)>& aMayBeDisplaced)
{
  if (aMayBeDisplaced(aNew)) {
    return this->waiting.end();
  }
  const auto newest = std::find_if(
    this->waiting.rbegin(),
    this->waiting.rend(),
    [&](const WaitingCall& aCall) { return aMayBeDisplaced(aCall.request); });
  return std::prev(newest.base());
}

SlotQueue::Iterator
SlotQueue::FindNext(double aNow)
{
  const auto first = this->waiting.begin();
  const bool hasOthers =
    std::ranges::any_of(this->waiting, [&first](const WaitingCall& aCall) {
      return aCall.request.owner != first->request.owner;
    });
  const bool hasOtherTeams =
    std::ranges::any_of(this->waiting, [&first](const WaitingCall& aCall) {
      return aCall.request.team != first->request.team;
    });
  const int cap = this->MaxSlotsPerOwner();
  const auto rank = [&](const WaitingCall& aCall) {
    const int owned = this->RunningOf(aCall.request.owner);
    const bool isAtCap =
      (hasOthers && owned >= cap) ||
      (hasOtherTeams && this->TeamHasMaxSlots(aCall.request));
    return std::tuple(isAtCap,
                      aCall.request.workClass,
                      this->WouldMissTarget(aCall.request, aNow),
                      this->LevelOf(aCall.request),
                      aCall.request.targetAt.value_or(0),
                      owned);
  };
  // Among calls of equal rank, min_element returns the first, which has waited
  // longest.
  return std::ranges::min_element(this->waiting, {}, rank);
}

} // namespace lacewingwharf
