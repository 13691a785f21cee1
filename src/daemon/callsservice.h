#pragma once

#include "common/eventloop.h"
#include "daemon/daemonprotocol.h"
#include "execution/destinationcalls.h"
#include "execution/entrycalls.h"
#include "execution/quarantine.h"
#include "peer/peernetwork.h"
#include "proxy/httpclient.h"
#include "proxy/httpserver.h"
#include "settings/settings.h"
#include "status/entrystats.h"
#include "status/metricsregistry.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace lacewingwharf {

/** Functions of other parts of the daemon that the calls thread calls. */
struct CallsServiceHooks
{
  std::function<bool(const PeerAddress&, wire::Envelope)> send;
  std::function<void(SessionId, wire::Envelope)> reply;
  std::function<bool(std::uint64_t aKeyHash, const std::string& aHolder)> claim;
  std::function<
    void(std::uint64_t aKeyHash, const std::string& aHolder, Outcome)>
    settleClaim;

  /** Called when the port of a server on this host no longer listens. */
  std::function<void(const std::string& aService, int aPort)> serverGone;

  /**
   * Called once in each report interval with the entries that had refused, slow
   * or unknown calls.
   */
  std::function<void(std::vector<wire::EntryReport>)> report;
};

/**
 * The calls thread and the HTTP server for callers. The HTTP client for backend
 * servers also runs on the calls thread, because passing an exchange to another
 * thread and back costs more than the client's work. The public functions may
 * be called from any thread.
 */
class CallsService
{
public:
  CallsService(const Settings& aSettings,
               const DaemonProtocol& aProtocol,
               std::int64_t aIncarnation,
               MetricsRegistry& aMetrics,
               CallsServiceHooks aHooks);
  ~CallsService();

  bool Start();

  /** Tells callers to use other daemons, but still serves them. */
  void AnnounceClose();

  /** Refuses new calls whose deadline is later than aEnd. */
  void LimitIntake(Millis aEnd);

  /** Answers by aEnd all calls that entered here. */
  void EndCallsBy(Millis aEnd);

  /** Refuses calls from other daemons; calls in flight continue. */
  void StopPeerIntake();

  /** Refuses new calls; calls in flight continue. */
  void StopAccepting();
  void Stop();

  void HandlePeerEvent(PeerEvent aEvent);
  void SetConfiguration(SnapshotPtr aSnapshot, EndpointViewPtr aView);
  void SetEndpoint(const std::string& aService,
                   int aPort,
                   int aSlots,
                   int aConnections,
                   EndpointState aState);
  void RemoveEndpoint(const std::string& aService, int aPort);
  void SetServerId(int aPort, const std::string& aId);
  void HandleClaim(const std::string& aHolder, wire::ClaimResult::type aResult);
  void MergeCrashReports(std::vector<wire::QuarantineMark> aCrashReports);

  /** Returns the crash reports to send with the next datagram. */
  std::vector<wire::QuarantineMark> TakeCrashReports();

  /** Counts the calls that entered here or run here and have not ended. */
  std::size_t InFlight();

  /**
   * Returns the time since the last refusal of a peer's call because of the
   * shutdown, or nothing when none was refused.
   */
  std::optional<Millis> TimeSinceRefusal();

  std::uint64_t Overflows() const;

  /** Requests whose connection was closed before their whole answer was sent.
   */
  std::uint64_t AnswersLost() const;

private:
  EntryCallsHooks EntryHooks();
  DestinationCallsHooks DestinationHooks();
  void Tick();
  void SetCallerLimits(const Snapshot& aSnapshot);
  void SetRetryBudget(const EndpointView& aView);
  void HandleMessage(SessionId aSession, wire::Envelope aEnvelope);
  void AnswerOrigin(SessionId aOrigin, wire::CallAnswer aAnswer);
  void BeginCall(RequestId aRequest, HttpRequest aRequestData);
  QuarantineDecision CheckQuarantine(std::uint64_t aDigest);
  void RecordCallEnd(const EntryCall& aCall, const Ending& aEnding);
  void SendReports();

  Settings settings;
  DaemonProtocol protocol;
  CallsServiceHooks hooks;
  Clock clock;
  MetricsRegistry& metrics;
  Quarantine quarantine;
  EntryStats stats;
  std::map<std::string, LatencyRecorder> latencies; // By entry.
  Millis reportDueAt = 0;
  ListenerLimits listenerLimits;
  HttpServer server;
  HttpClient client;
  EntryCalls entryCalls;
  DestinationCalls destinationCalls;
  std::mutex crashReportsMutex;
  std::vector<wire::QuarantineMark> crashReports;
  Millis crashReportsDueAt = 0;
  bool isStarted = false;
  EventLoop loop; // Last, so that its thread ends before its data is destroyed.
};

inline std::uint64_t
CallsService::AnswersLost() const
{
  return this->server.AnswersLost();
}

inline std::uint64_t
CallsService::Overflows() const
{
  return this->loop.Overflows();
}

} // namespace lacewingwharf
