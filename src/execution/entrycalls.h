#pragma once

#include "admission/retrybudget.h"
#include "common/clock.h"
#include "common/random.h"
#include "execution/callqueries.h"
#include "execution/entrycall.h"
#include "execution/hedging.h"
#include "execution/limitmemory.h"
#include "execution/opencalls.h"
#include "execution/outgoinglink.h"
#include "execution/teamkeys.h"
#include "peer/peernetwork.h"
#include "peer_types.h"
#include "rollout/rollouttraffic.h"
#include "routing/splitchooser.h"
#include "usage/usagedecision.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lacewingwharf {

/** Settings that do not change while the entry daemon runs. */
struct EntryCallsConfig
{
  std::string host;
  std::int64_t incarnation = 0;
  Millis claimWait = 1000;
  CallDialect dialect;

  /** Service of the backend server on this host; may be empty. */
  std::string service;
  RetryBudgetConfig retryBudget;

  /** Whether an idempotent call is retried after a server error. */
  bool retriesServerErrors = false;

  /**
   * Whether a call refused for lack of capacity is retried elsewhere without
   * taking from the retry budget.
   */
  bool retriesCapacityRefusals = false;

  /** Time within which a new version must be in force on every daemon. */
  Millis rolloutTime = 12000;

  /** How long the status of a call is queried at its destination. */
  Millis queryWait = 2000;

  /** Rate at which large requests leave this host; 0 means without pacing. */
  double requestBytesPerMilli = 0;

  HedgingConfig hedging;
};

/** What happened to the second attempt of a slow call; for metrics. */
enum class HedgeEvent
{
  Started,
  Won, // The second attempt was answered first.
  FirstCancelled,
  SecondCancelled,
  Withheld
};

inline constexpr auto kHedgeEventNames = MakeNameTable<HedgeEvent>(
  { { HedgeEvent::Started, "started" },
    { HedgeEvent::Won, "won" },
    { HedgeEvent::FirstCancelled, "first-cancelled" },
    { HedgeEvent::SecondCancelled, "second-cancelled" },
    { HedgeEvent::Withheld, "withheld" } });

/** Callbacks into the rest of the daemon. */
struct EntryCallsHooks
{
  std::function<void(RequestId, HttpAnswer)> answer;
  std::function<bool(const PeerAddress&, wire::Envelope)> send;

  /** Passes a message to the destination part of the same daemon. */
  std::function<bool(wire::Envelope)> sendLocal;

  std::function<bool(std::uint64_t aKeyHash, const std::string& aHolder)> claim;
  std::function<
    void(std::uint64_t aKeyHash, const std::string& aHolder, Outcome)>
    settleClaim;
  std::function<bool(std::uint64_t aDigest)> isQuarantined;
  std::function<bool(std::uint64_t aDigest)> hasLostServer;

  /**
   * Called when a destination daemon reports that a call lost its backend
   * server.
   */
  std::function<void(std::uint64_t aDigest, const std::string& aHost)>
    serverLost;

  /** Applies the cap of the call's team, if any; may be empty. */
  std::function<UsageDecision(const EntryCall&, Millis aRemaining)> admit;

  /** Returns the token of a call that did not run. */
  std::function<void(const EntryCall&)> returnToken;

  /** Ends the waiting for a token. */
  std::function<void(const EntryCall&)> cancelAdmission;

  /** Called once for each call, when its ending is known. */
  std::function<void(const EntryCall&, const Ending&)> ended;

  /** Counts second attempts of slow calls; may be empty. */
  std::function<
    void(const EntryCall&, HedgeEvent, std::optional<WithheldReason>)>
    hedged;
};

/**
 * Handles the calls that enter at this daemon: choice of route, deadlines,
 * retries and one answer for each caller. Runs on the calls thread.
 */
class EntryCalls
{
public:
  EntryCalls(EntryCallsConfig aConfig,
             Clock aClock,
             Random aRandom,
             EntryCallsHooks aHooks);
  ~EntryCalls();

  void SetSnapshot(SnapshotPtr aSnapshot);
  void SetView(EndpointViewPtr aView);

  /** See TeamKeys::SetConfirmedAt(). */
  void SetVersionConfirmed(std::optional<Millis> aTime);

  void Begin(RequestId aRequest, HttpRequest aHttp);
  void CallerLeft(RequestId aRequest);
  void HandleClaim(const std::string& aHolder, wire::ClaimResult::type aResult);
  void HandleAnswer(wire::CallAnswer aAnswer);

  /** Sends a further part of a large request. */
  void HandleGrant(const wire::BodyGrant& aGrant);

  /** Continues a call that waited for a token of its team's cap. */
  void HandleUsageDecision(const std::string& aCallId, UsageDecision aDecision);

  /**
   * Handles the loss of a session. aUnsent lists the attempts whose requests,
   * or parts of them, were certainly not sent. If the session was never
   * connected, other attempts at that daemon are unaffected: their requests may
   * have been sent on a later session.
   */
  void HandleSessionLost(const PeerAddress& aRemote,
                         bool aWasConnected,
                         const std::vector<std::string>& aUnsent);
  void Tick();

  /**
   * To be called first at a stop. From then on, calls at suspect daemons stay
   * there.
   */
  void BeginStop();

  /** Refuses new calls; calls in flight continue. */
  void StopAccepting();
  std::size_t InFlight() const;

  /** Accepts only new calls whose deadline is not after aEnd. */
  void SetIntakeEnd(Millis aEnd);

  /**
   * Ends all calls by aEnd, so that each gets an answer before this daemon
   * stops. Servers get no more time than that for attempts from now on.
   */
  void SetCallsEnd(Millis aEnd);

  void SetRetryBudget(const RetryBudgetConfig& aConfig);

  /** Lets versions of servers decide which of them may get requests. */
  void SetRollouts(RolloutTraffic* aRollouts);

private:
  EntryCallPtr CreateCall(RequestId aRequest, HttpRequest aHttp);
  bool PassesChecks(const EntryCallPtr& aCall);
  void Admit(const EntryCallPtr& aCall);
  void ApplyUsageDecision(const EntryCallPtr& aCall, UsageDecision aDecision);
  void LeaveAdmission(const EntryCallPtr& aCall);
  void ReturnUnusedToken(EntryCall& aCall, const Ending& aEnding);
  void StartAdmitted(const EntryCallPtr& aCall);
  void StartAttempt(const EntryCallPtr& aCall);
  void StartAttemptAt(const EntryCallPtr& aCall, const Choice& aChoice);
  std::optional<Choice> ChooseServer(const EntryCall& aCall,
                                     std::set<EndpointKey> aExcluded = {});
  std::set<EndpointKey> ServersOfOtherVersions(const EntryCall& aCall) const;
  void RecordForRollout(const EntryCall& aCall,
                        CallEnd aEnd,
                        const wire::CallAnswer& aAnswer);
  bool MustAnnounce(const EntryCall& aCall,
                    const EndpointInfo& aEndpoint) const;
  std::optional<Refusal> CheckOwnLink(const EntryCall& aCall,
                                      const EndpointInfo& aEndpoint);
  bool Dispatch(const EntryCall& aCall);
  void SendParts();
  void ForgetEndedBodies();
  bool SendPart(EntryCall& aCall, const OutgoingPart& aPart);
  void GiveUpAnnounced(const EntryCall& aCall);
  void EndAnnounced(const EntryCallPtr& aCall);
  bool SendTo(const EndpointInfo& aEndpoint, wire::Envelope aEnvelope);
  void RecordObservation(const EntryCall& aCall,
                         CallEnd aEnd,
                         const wire::CallAnswer& aAnswer);
  void HandleDone(const EntryCallPtr& aCall, wire::CallAnswer aAnswer);
  bool RetryFailure(const EntryCallPtr& aCall, wire::CallAnswer& aAnswer);
  void DeliverFailure(const EntryCallPtr& aCall);
  void HandleNotRun(const EntryCallPtr& aCall, const wire::CallAnswer& aAnswer);
  void HandleUnknown(const EntryCallPtr& aCall, const std::string& aReason);
  void HandleUnsent(const std::string& aAttemptId);
  void LeaveSuspectEndpoints();
  void LeaveSuspectEndpoint(const EndpointInfo& aEndpoint);
  bool HasOtherServer(const EntryCall& aCall) const;
  void HandleOtherAnswer(const EntryCallPtr& aCall, wire::CallAnswer aAnswer);
  bool ReturnToOtherAttempt(const EntryCallPtr& aCall);
  void CancelOtherAttempt(EntryCall& aCall);
  void CloseOtherAttempt(EntryCall& aCall, CallEnd aEnd);
  void StartSecondAttempts();
  bool MayBecomeSlow(const EntryCall& aCall, double aNow) const;
  void DecideSecondAttempt(const EntryCallPtr& aCall, double aSlowAfter);
  std::optional<WithheldReason> FindObstacle(const EntryCall& aCall) const;
  int OtherAttemptsAtServer(const EntryCall& aCall) const;
  void StartSecondAttempt(const EntryCallPtr& aCall,
                          const Choice& aChoice,
                          const HedgeDecision& aDecision);
  void Withhold(EntryCall& aCall,
                WithheldReason aReason,
                const HedgeDecision& aDecision);
  void HandleHedgedAnswer(const EntryCallPtr& aCall, wire::CallAnswer aAnswer);
  void RecordHedgeEnd(const EntryCall& aCall, const Ending& aEnding) const;
  void RecordFailedAttempt(EntryCall& aCall, wire::CallAnswer aAnswer);
  void RecordForHedging(const EntryCall& aCall,
                        CallEnd aEnd,
                        const wire::CallAnswer& aAnswer);
  void CountHedge(const EntryCall& aCall,
                  HedgeEvent aEvent,
                  std::optional<WithheldReason> aReason = std::nullopt) const;
  void HandleLostAttempt(const EntryCallPtr& aCall);
  bool MayRetry(EntryCall& aCall, bool aIsFree);
  bool IsFreeRetry(RefusalReason aReason) const;
  void CheckTimeLimits(const EntryCallPtr& aCall);
  void Refuse(const EntryCallPtr& aCall, const Refusal& aRefusal);
  void RefuseWithReason(const EntryCallPtr& aCall, RefusalReason aReason);
  void End(const EntryCallPtr& aCall,
           HttpAnswer aAnswer,
           const Ending& aEnding);
  Millis EndOf(const EntryCall& aCall) const;
  Millis Remaining(const EntryCall& aCall) const;

  EntryCallsConfig config;
  Clock clock;
  EntryCallsHooks hooks;
  ServerChooser chooser;
  SplitChooser splits;
  SnapshotPtr snapshot;
  EndpointViewPtr view = std::make_shared<EndpointView>();
  std::uint64_t nextCall = 1;
  bool hasStopBegun = false;
  bool isStopping = false;
  std::optional<Millis> intakeEnd;
  std::optional<Millis> callsEnd;
  OpenCalls openCalls;
  CallQueries queries;
  LimitMemory limitMemory;
  RetryBudget retryBudget;
  Hedging hedging;
  OutgoingLink outgoingLink;
  TeamKeys teamKeys;
  RolloutTraffic* rollouts = nullptr; // Null where versions are ignored.
};

inline void
EntryCalls::SetVersionConfirmed(std::optional<Millis> aTime)
{
  this->teamKeys.SetConfirmedAt(aTime);
}

inline void
EntryCalls::BeginStop()
{
  this->hasStopBegun = true;
}

inline void
EntryCalls::StopAccepting()
{
  this->isStopping = true;
}

inline void
EntryCalls::SetIntakeEnd(Millis aEnd)
{
  this->intakeEnd = aEnd;
}

inline void
EntryCalls::SetCallsEnd(Millis aEnd)
{
  this->callsEnd = aEnd;
}

inline void
EntryCalls::SetRetryBudget(const RetryBudgetConfig& aConfig)
{
  this->retryBudget.SetConfig(aConfig);
}

inline void
EntryCalls::SetRollouts(RolloutTraffic* aRollouts)
{
  this->rollouts = aRollouts;
}

inline std::size_t
EntryCalls::InFlight() const
{
  return this->openCalls.Size();
}

inline Millis
EntryCalls::Remaining(const EntryCall& aCall) const
{
  return this->EndOf(aCall) - this->clock.Now();
}

inline Millis
EntryCalls::EndOf(const EntryCall& aCall) const
{
  return std::min(aCall.deadlineAt, this->callsEnd.value_or(aCall.deadlineAt));
}

} // namespace lacewingwharf
