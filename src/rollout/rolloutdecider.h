#pragma once

#include "common/clock.h"
#include "common/names.h"
#include "peer_types.h"
#include "rollout/rolloutbudget.h"
#include "rollout/rolloutevidence.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace lacewingwharf {

/** An order as its decider took it over. */
struct RolloutPlan
{
  std::string service;
  std::int64_t order = 0;
  std::string target;
  std::string base;
  Millis duration = 0;
  Millis elapsed = 0;   // Since the order, at the time of the takeover.
  Millis wallStart = 0; // When the order was taken up, by the wall clock.
  std::int64_t era = 0; // Of the store that has the status.

  /** Counts the deciders of the order; the first one has 1. */
  std::int64_t term = 1;

  // The budget of exposure: a share of all requests, and a fixed number.
  double exposureShare = 0.1;
  double exposureSlack = 50;

  /** Time by the receiver's clock from the report that a share answers. */
  Millis shareTime = 1000;
};

enum class RolloutDecision
{
  Undecided,
  Succeed,
  RollBack
};

inline constexpr auto kRolloutDecisionNames = MakeNameTable<RolloutDecision>(
  { { RolloutDecision::Undecided, "undecided" },
    { RolloutDecision::Succeed, "succeed" },
    { RolloutDecision::RollBack, "roll-back" } });

/** Ready slots of a service by version. */
struct VersionSlots
{
  int base = 0;
  int target = 0;
  int targetServers = 0;
};

/** A daemon that takes part in a rollout. */
struct RolloutMember
{
  std::string host;
  std::int64_t incarnation = 0;
  bool isAlive = true;
};

struct RolloutDeciderHooks
{
  std::string self; // The host of this daemon.
  std::int64_t incarnation = 0;
  std::function<void(const std::string& aHost, wire::RolloutShare)> send;
  std::function<std::vector<RolloutMember>()> members;
  std::function<VersionSlots()> slots;
};

/**
 * Decides one order: which daemon may send how many requests to the target
 * version, and whether the version is good. The numbers handed out never sum up
 * to more than the budget, and each counts as sent until the daemon reports
 * more, so lost messages and daemons cannot exceed it. Designed for 300
 * daemons, each of which reports four times a second.
 */
class RolloutDecider
{
public:
  RolloutDecider(RolloutPlan aPlan, Clock aClock, RolloutDeciderHooks aHooks);

  /** Merges the report and replies with a share. */
  void HandleReport(const wire::RolloutReport& aReport);

  /**
   * Call this often. aHasStore: the store answers; otherwise, nothing is
   * decided and no further request is allowed. The decision is final.
   */
  RolloutDecision Tick(bool aHasStore);

  /**
   * Whether the status may say what was decided: after a rollback, no daemon
   * may have a valid share.
   */
  bool IsEndSafe() const;

  /** The operator has changed the duration of the running order. */
  void SetDuration(Millis aDuration);

  /** The store has the status also after it was restored from a copy. */
  void SetEra(std::int64_t aEra);

  /** The term of the decider that sent a share with this sequence number. */
  static std::int64_t TermOf(std::int64_t aSequence);

  /** Sends the final state to all live members. */
  void AnnounceEnd(wire::RolloutState::type aState);

  const RolloutPlan& Plan() const;
  RolloutDecision Decision() const;
  bool IsStretch() const;
  const EvidenceFinding& Evidence() const;
  const RolloutBudget& Budget() const;

private:
  Millis Elapsed() const;
  double RateOf(std::int64_t aRequests) const;
  bool IsGranting() const;
  double ProbePart() const;
  std::int64_t ProbesLeft() const;
  std::int64_t OpenRequests() const;
  bool IsStretchOver() const;
  bool HasBudgetFor(double aMillis) const;
  void BeginGrants();
  void Grant(RolloutReporter& aReporter);
  wire::RolloutShare MakeShare(wire::RolloutState::type aState);
  void SendShare(const std::string& aHost, RolloutReporter* aReporter);
  void Announce(bool aToAll);
  bool MayBeginStretch() const;
  void BeginStretch();
  bool AreOthersIdle() const;
  RolloutDecision Judge();
  void Decide(RolloutDecision aDecision, const char* aReason);
  void UpdateEvidence();
  bool IsBad(double aChance) const;

  RolloutPlan plan;
  Clock clock;
  RolloutDeciderHooks hooks;
  Millis startedAt;
  RolloutBudget budget;
  std::int64_t sequence = 0;
  RolloutEvidence evidence;
  Millis sliceAt = 0;
  Millis announceAt = 0;
  Millis evidenceAt = 0;
  EvidenceFinding finding; // Computed at intervals.
  bool hasStore = true;
  bool hasBegun = false; // Whether shares are handed out.
  Millis stretchAt = 0;  // 0 before the last stretch.
  std::int64_t stretchSequence = 0;
  std::int64_t answersBeforeStretch = 0; // Of the target version.
  RolloutDecision decision = RolloutDecision::Undecided;
};

inline void
RolloutDecider::SetDuration(Millis aDuration)
{
  this->plan.duration = aDuration;
}

inline void
RolloutDecider::SetEra(std::int64_t aEra)
{
  this->plan.era = aEra;
}

inline const RolloutPlan&
RolloutDecider::Plan() const
{
  return this->plan;
}

inline RolloutDecision
RolloutDecider::Decision() const
{
  return this->decision;
}

inline bool
RolloutDecider::IsStretch() const
{
  return this->stretchAt > 0;
}

inline const EvidenceFinding&
RolloutDecider::Evidence() const
{
  return this->finding;
}

inline const RolloutBudget&
RolloutDecider::Budget() const
{
  return this->budget;
}

} // namespace lacewingwharf
