#pragma once

#include "admission/retrybudget.h"
#include "common/clock.h"
#include "common/random.h"
#include "execution/callqueries.h"
#include "execution/entrycall.h"
#include "execution/limitmemory.h"
#include "execution/opencalls.h"
#include "peer/peernetwork.h"
#include "peer_types.h"
#include "routing/splitchooser.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
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

  /** How long the status of a call is queried at its destination. */
  Millis queryWait = 2000;
};

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

  /** Called once for each call, when its ending is known. */
  std::function<void(const EntryCall&, const Ending&)> ended;
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

  void Begin(RequestId aRequest, HttpRequest aHttp);
  void CallerLeft(RequestId aRequest);
  void HandleClaim(const std::string& aHolder, wire::ClaimResult::type aResult);
  void HandleAnswer(wire::CallAnswer aAnswer);

  /**
   * Handles the loss of a session. aUnsent lists the attempts whose requests
   * were certainly not sent. If the session was never connected, other attempts
   * at that daemon are unaffected: their requests may have been sent on a later
   * session.
   */
  void HandleSessionLost(const PeerAddress& aRemote,
                         bool aWasConnected,
                         const std::vector<std::string>& aUnsent);
  void Tick();

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

private:
  EntryCallPtr CreateCall(RequestId aRequest, HttpRequest aHttp);
  bool PassesChecks(const EntryCallPtr& aCall);
  void StartAttempt(const EntryCallPtr& aCall);
  bool Dispatch(const EntryCall& aCall);
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
  bool isStopping = false;
  std::optional<Millis> intakeEnd;
  std::optional<Millis> callsEnd;
  OpenCalls openCalls;
  CallQueries queries;
  LimitMemory limitMemory;
  RetryBudget retryBudget;
};

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
