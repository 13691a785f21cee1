#pragma once

#include "admission/admission.h"
#include "catalogue/snapshot.h"
#include "common/clock.h"
#include "execution/answerpacer.h"
#include "execution/callrequest.h"
#include "execution/refusedrequests.h"
#include "execution/requestpacer.h"
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

/** Settings that do not change while the destination daemon runs. */
struct DestinationCallsConfig
{
  std::string host;
  std::string address;
  std::int64_t incarnation = 0;

  /**
   * How long the answer of a non-idempotent call is kept for an entry daemon
   * that lost its session. Idempotent calls are retried instead.
   */
  Millis answerRetention = kAnswerRetention;
  std::size_t maxKeptBytes = 16U << 20U;

  /** How long the id of a fenced call is kept. */
  Millis fenceRetention = 600000;

  CallDialect dialect;

  /** Rate at which large answers leave this host; 0 means without pacing. */
  double answerBytesPerMilli = 0;

  /** Rate at which large requests reach this host; 0 means without pacing. */
  double requestBytesPerMilli = 0;

  /**
   * Limit on the requests of other daemons that wait or run; 0 means none.
   * Those of the same daemon count at its entry part.
   */
  std::size_t maxRequestBytes = 0;

  /** Whether to run calls of entries that this daemon does not hold yet. */
  bool acceptsUnknownEntries = false;
};

/** Callbacks into the rest of the daemon. */
struct DestinationCallsHooks
{
  /** aOrigin is 0 for the entry part of this same daemon. */
  std::function<void(SessionId aOrigin, wire::CallAnswer)> answer;

  /**
   * Tells an entry daemon how much of a large request it may send. Returns
   * false if the message could not be sent.
   */
  std::function<bool(SessionId aOrigin, wire::BodyGrant)> grant;
  std::function<bool(HttpExchange)> submit;
  std::function<void(const std::string& aCallId)> cancel;
  std::function<bool(std::uint64_t aDigest)> isQuarantined;
  std::function<void(std::uint64_t aDigest)> serverLost;

  /** Whether a process still listens on a port of this host. */
  std::function<bool(int aPort)> isListening;

  /** Called when a call of a team has left its slot. Optional. */
  std::function<void(const std::string& aTeam, double aMillis)> teamSlotUsed;

  /** Called when a call of a team was refused here. Optional. */
  std::function<void(const std::string& aTeam, RefusalReason)> teamRefused;

  /** Called when no process listens on the port any more. Optional. */
  std::function<void(const std::string& aService, int aPort)> serverGone;
};

/**
 * Runs calls on the backend servers of this host. Each call id is run at most
 * once: requests with a known or fenced id are dropped. A query for an unknown
 * id fences it, so that a request that arrives later is not run.
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

  /** Sets the id of the server process on a port; empty if it is not known. */
  void SetServerId(int aPort, const std::string& aId);

  void HandleRequest(SessionId aOrigin, wire::CallRequest aRequest);

  /** Adds a part of the body of a request that arrived without it. */
  void HandleBodyPart(const wire::BodyPart& aPart);
  void HandleCancel(const std::string& aCallId);
  void HandleQuery(SessionId aOrigin, const wire::CallQuery& aQuery);
  void HandleExchange(ExchangeResult aResult);
  void Tick();

  /** Refuses new calls as not run; calls that are known here continue. */
  void StopAccepting();

  /** When a call was last refused after StopAccepting(); 0 if never. */
  Millis RefusedAt() const;

  /** Calls that wait or run, and answers that wait for the link. */
  std::size_t InFlight() const;

  /** Bytes of the requests of other daemons that wait or run. */
  std::size_t RequestBytes() const;

  /** Bytes of large answers that wait for the link. */
  std::size_t WaitingAnswerBytes() const;

  /** Bytes of large requests that wait for the link. */
  std::size_t WaitingRequestBytes() const;

private:
  enum class Stage
  {
    Receiving, // The body is not complete.
    Waiting,
    Running,
    Sending, // The answer waits for the link.
    Finished,
    Fenced
  };

  struct Call
  {
    Stage stage = Stage::Waiting;
    SessionId origin = 0;
    wire::CallRequest request;
    std::string team; // Empty without one.
    Millis deadlineAt = 0;
    std::optional<Millis> targetAt;
    double receivedAt = 0; // The request, or its announcement.
    double startedAt = 0;
    double answeredAt = 0;
    std::size_t bodyBytes = 0;   // Of the whole body, also if it is not there.
    std::size_t heldBytes = 0;   // Counted in the limit on requests.
    bool hasPacedAnswer = false; // The answers of its entry are large.
    wire::CallAnswer answer;     // Set when the call has been answered.
  };

  /** An exchange that was cut and whose backend server may be about to stop. */
  struct CutExchange
  {
    ExchangeResult result;
    Millis checkUntil = 0;
  };

  Call MakeCall(SessionId aOrigin, wire::CallRequest aRequest) const;
  AdmissionRequest MakeAdmissionRequest(const Call& aCall) const;
  void ReceiveBody(const std::string& aCallId, Call& aCall);
  std::optional<Refusal> CheckLinkForRequest(const Call& aCall) const;
  void SendGrants();
  void RefuseLateBodies();
  void RefuseWithReason(const std::string& aCallId, RefusalReason aReason);
  void StartCall(const std::string& aCallId);
  void RefuseCall(const std::string& aCallId, const Refusal& aRefusal);
  std::string TeamOf(const wire::CallRequest& aRequest) const;
  HttpExchange MakeExchange(Call& aCall) const;
  wire::CallAnswer MakeCallAnswer(const Call& aCall, ExchangeResult aResult);
  void EndExchange(ExchangeResult aResult);
  void CheckCutExchanges();
  const std::string& RequestIdOf(const Call& aCall) const;
  void ReportServerGone(const Call& aCall) const;
  void CheckServerLost(const Call& aCall, wire::CallAnswer& aAnswer);
  std::optional<Refusal> CheckMemory(const Call& aCall) const;
  std::optional<Refusal> CheckLinkForAnswer(
    const Call& aCall,
    const AdmissionRequest& aRequest) const;
  Refusal LinkRefusal(const Call& aCall, Millis aLateness) const;
  void SendPacedAnswers();
  void Finish(const std::string& aCallId,
              Call& aCall,
              wire::CallAnswer aAnswer);
  void Deliver(const std::string& aCallId,
               Call& aCall,
               wire::CallAnswer aAnswer);
  void AddLoad(const Call& aCall, wire::CallAnswer& aAnswer) const;
  void KeepAnswer(Call& aCall, const wire::CallAnswer& aAnswer);
  void RemoveExpired();

  DestinationCallsConfig config;
  Clock clock;
  DestinationCallsHooks hooks;
  SnapshotPtr snapshot;
  Admission admission;
  AnswerPacer answerPacer;
  RequestPacer requestPacer;
  std::deque<std::string> receiving;    // Calls in that stage, oldest first.
  std::optional<PartGrant> unsentGrant; // The ring buffer was full.
  std::map<int, std::string> serverIds; // By port.
  std::unordered_map<std::string, Call> calls;
  std::deque<std::pair<Millis, std::string>> finishedQueue;
  std::deque<std::pair<Millis, std::string>> fenceQueue;
  std::vector<CutExchange> cutExchanges;
  RefusedRequests refusedRequests;
  std::deque<std::string> keptAnswers; // Oldest first.
  std::size_t keptBytes = 0;
  std::size_t requestBytes = 0;
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
DestinationCalls::StopAccepting()
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
DestinationCalls::RequestBytes() const
{
  return this->requestBytes;
}

inline std::size_t
DestinationCalls::WaitingAnswerBytes() const
{
  return this->answerPacer.WaitingBytes();
}

inline std::size_t
DestinationCalls::WaitingRequestBytes() const
{
  return this->requestPacer.WaitingBytes();
}

inline std::size_t
DestinationCalls::InFlight() const
{
  return this->inFlight;
}

} // namespace lacewingwharf
