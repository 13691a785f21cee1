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

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lacewingwharf {

/** Fixed facts of the entry daemon. */
struct EntryCallsConfig
{
  std::string host;
  std::int64_t incarnation = 0;
  Millis claimWait = 1000;
  CallDialect dialect;

  /** Service of the backend server on this host; may be empty. */
  std::string service;
  RetryBudgetConfig retryBudget;

  /** Whether an idempotent call is tried again after a server's failure. */
  bool retriesServerErrors = false;

  /** Whether a refusal for lack of room may be tried elsewhere for free. */
  bool retriesCapacityRefusals = false;

  /** How long a destination may be asked for the fate of a call. */
  Millis queryWait = 2000;
};

/** What the entry daemon's calls need from the rest of the daemon. */
struct EntryCallsHooks
{
  std::function<void(RequestId, HttpAnswer)> answer;
  std::function<bool(const PeerAddress&, wire::Envelope)> send;

  /** Hands a call to the destination part of this same daemon. */
  std::function<bool(wire::Envelope)> sendLocal;

  std::function<bool(std::uint64_t aKeyHash, const std::string& aHolder)> claim;
  std::function<
    void(std::uint64_t aKeyHash, const std::string& aHolder, Outcome)>
    settleClaim;
  std::function<bool(std::uint64_t aDigest)> isQuarantined;
  std::function<bool(std::uint64_t aDigest)> hasLostServer;

  /** A destination daemon reported that the call lost its backend server. */
  std::function<void(std::uint64_t aDigest, const std::string& aHost)>
    serverLost;

  /** Called once for each call, when its ending is known. */
  std::function<void(const EntryCall&, const Ending&)> ended;
};

/**
 * The calls that entered at this daemon: route choice, deadlines, retries and
 * the one answer each caller gets. Runs on the calls thread.
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
   * aUnsent are the attempts whose requests have certainly not left. A session
   * that was never connected says nothing about other attempts at that daemon:
   * their requests may have left on a later one.
   */
  void HandleSessionLost(const PeerAddress& aRemote,
                         bool aWasConnected,
                         const std::vector<std::string>& aUnsent);
  void Tick();

  /** No new calls from now on; those in flight go on. */
  void StopIntake();
  std::size_t InFlight() const;

  /** Takes only calls from now on whose deadline comes before aEnd. */
  void SetIntakeEnd(Millis aEnd);

  void SetRetryBudget(const RetryBudgetConfig& aConfig);

private:
  EntryCallPtr Admit(RequestId aRequest, HttpRequest aHttp);
  bool PassesChecks(const EntryCallPtr& aCall);
  void StartAttempt(const EntryCallPtr& aCall);
  bool Dispatch(const EntryCall& aCall);
  bool SendTo(const EndpointInfo& aEndpoint, wire::Envelope aEnvelope);
  void Observe(const EntryCall& aCall,
               CallEnd aEnd,
               const wire::CallAnswer& aAnswer);
  void HandleDone(const EntryCallPtr& aCall, wire::CallAnswer aAnswer);
  bool RetryFailure(const EntryCallPtr& aCall, wire::CallAnswer& aAnswer);
  void DeliverFailure(const EntryCallPtr& aCall);
  void HandleNotRun(const EntryCallPtr& aCall, const wire::CallAnswer& aAnswer);
  void HandleUnknown(const EntryCallPtr& aCall, const std::string& aReason);
  void HandleUnsent(const std::string& aAttemptId);
  void LeaveSuspects();
  void LeaveSuspect(const EndpointInfo& aEndpoint);
  bool HasOtherServer(const EntryCall& aCall) const;
  void LoseAttempt(const EntryCallPtr& aCall);
  bool MayRetry(EntryCall& aCall, bool aIsFree);
  bool IsFree(RefusalReason aReason) const;
  void CheckTime(const EntryCallPtr& aCall);
  void Refuse(const EntryCallPtr& aCall, const Refusal& aRefusal);
  void RefuseReason(const EntryCallPtr& aCall, RefusalReason aReason);
  void End(const EntryCallPtr& aCall,
           HttpAnswer aAnswer,
           const Ending& aEnding);
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
  OpenCalls open;
  CallQueries queries;
  LimitMemory limitMemory;
  RetryBudget retryBudget;
};

inline void
EntryCalls::StopIntake()
{
  this->isStopping = true;
}

inline void
EntryCalls::SetIntakeEnd(Millis aEnd)
{
  this->intakeEnd = aEnd;
}

inline void
EntryCalls::SetRetryBudget(const RetryBudgetConfig& aConfig)
{
  this->retryBudget.SetConfig(aConfig);
}

inline std::size_t
EntryCalls::InFlight() const
{
  return this->open.Size();
}

inline Millis
EntryCalls::Remaining(const EntryCall& aCall) const
{
  return aCall.deadlineAt - this->clock.Now();
}

} // namespace lacewingwharf
