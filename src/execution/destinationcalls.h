#pragma once

#include "admission/admission.h"
#include "catalogue/snapshot.h"
#include "common/clock.h"
#include "execution/callrequest.h"
#include "peer/peernetwork.h"
#include "peer_types.h"
#include "proxy/httpclient.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace lacewingwharf {

/** Fixed facts of the destination daemon. */
struct DestinationCallsConfig
{
  std::string host;
  std::string address;
  std::int64_t incarnation = 0;

  /**
   * How long the answer of a non-idempotent call is kept for an entry daemon
   * that lost its session; idempotent calls are simply tried again.
   */
  Millis keepAnswers = kKeepAnswers;
  std::size_t keepBytes = 16U << 20U;

  /** How long a fenced call id is remembered. */
  Millis keepFences = 600000;

  CallDialect dialect;

  /** Whether calls of entries are run that this daemon does not hold yet. */
  bool acceptsUnknownEntries = false;
};

/** What the destination daemon's calls need from the rest of the daemon. */
struct DestinationCallsHooks
{
  /** aOrigin 0 is the entry part of this same daemon. */
  std::function<void(SessionId aOrigin, wire::CallAnswer)> answer;
  std::function<bool(HttpExchange)> submit;
  std::function<void(const std::string& aCallId)> cancel;
  std::function<bool(std::uint64_t aDigest)> isQuarantined;
  std::function<void(std::uint64_t aDigest)> serverLost;

  /** Whether something still listens on a port of this host. */
  std::function<bool(int aPort)> isListening;

  /** Nothing listens there. Optional. */
  std::function<void(const std::string& aService, int aPort)> serverGone;
};

/**
 * The calls for backend servers on this host. Each call id is run at most
 * once: known ids are dropped and fenced ids are never run.
 */
class DestinationCalls
{
public:
  DestinationCalls(DestinationCallsConfig aConfig,
                   Clock aClock,
                   DestinationCallsHooks aHooks);
  ~DestinationCalls();

  void SetConfiguration(SnapshotPtr aSnapshot, EndpointViewPtr aView);
  Admission& GetAdmission();

  /** The id of the server process that has a port; empty: not known. */
  void SetServerId(int aPort, const std::string& aId);

  void HandleRequest(SessionId aOrigin, wire::CallRequest aRequest);
  void HandleCancel(const std::string& aCallId);
  void HandleQuery(SessionId aOrigin, const wire::CallQuery& aQuery);
  void HandleExchange(ExchangeResult aResult);
  void Tick();

  /** Refuses new calls as not run; those known here go on. */
  void StopIntake();

  /** When a call was last refused because the intake has stopped; 0: never. */
  Millis RefusedAt() const;

  /** Calls that wait or run. */
  std::size_t InFlight() const;

private:
  enum class Stage
  {
    Waiting,
    Running,
    Finished,
    Fenced
  };

  struct Call
  {
    Stage stage = Stage::Waiting;
    SessionId origin = 0;
    wire::CallRequest request;
    Millis deadlineAt = 0;
    double startedAt = 0;
    wire::CallAnswer answer; // When finished.
  };

  /** A cut exchange whose backend server may be about to end. */
  struct CutExchange
  {
    ExchangeResult result;
    Millis until = 0;
  };

  void Start(const std::string& aCallId);
  void RefuseCall(const std::string& aCallId, const Refusal& aRefusal);
  HttpExchange ExchangeOf(const Call& aCall) const;
  wire::CallAnswer AnswerOf(const Call& aCall, ExchangeResult aResult);
  void EndExchange(ExchangeResult aResult);
  void CheckCutExchanges();
  const std::string& RequestIdOf(const Call& aCall) const;
  void ReportGone(const Call& aCall) const;
  void CheckServerLost(const Call& aCall, wire::CallAnswer& aAnswer);
  void Finish(const std::string& aCallId,
              Call& aCall,
              wire::CallAnswer aAnswer);
  void AddLoad(const Call& aCall, wire::CallAnswer& aAnswer) const;
  void Keep(Call& aCall, const wire::CallAnswer& aAnswer);
  void ForgetOld();

  DestinationCallsConfig config;
  Clock clock;
  DestinationCallsHooks hooks;
  SnapshotPtr snapshot;
  Admission admission;
  std::map<int, std::string> serverIds; // By port.
  std::unordered_map<std::string, Call> calls;
  std::deque<std::pair<Millis, std::string>> finishedQueue;
  std::deque<std::pair<Millis, std::string>> fenceQueue;
  std::vector<CutExchange> cutExchanges;
  std::deque<std::string> keptAnswers; // Oldest first.
  std::size_t keptBytes = 0;
  bool isStopping = false;
  Millis refusedAt = 0;
  std::size_t inFlight = 0;
};

inline Millis
DestinationCalls::RefusedAt() const
{
  return this->refusedAt;
}

inline void
DestinationCalls::StopIntake()
{
  this->isStopping = true;
}

inline void
DestinationCalls::SetServerId(int aPort, const std::string& aId)
{
  this->serverIds[aPort] = aId;
}

inline Admission&
DestinationCalls::GetAdmission()
{
  return this->admission;
}

inline std::size_t
DestinationCalls::InFlight() const
{
  return this->inFlight;
}

} // namespace lacewingwharf
