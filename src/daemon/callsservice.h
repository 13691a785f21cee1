#pragma once

#include "common/eventloop.h"
#include "daemon/daemonprotocol.h"
#include "daemon/teamslotmetrics.h"
#include "daemon/usagemetrics.h"
#include "execution/destinationcalls.h"
#include "execution/entrycalls.h"
#include "execution/quarantine.h"
#include "peer/peernetwork.h"
#include "proxy/httpclient.h"
#include "proxy/httpserver.h"
#include "rollout/rollouttraffic.h"
#include "settings/settings.h"
#include "status/entrystats.h"
#include "status/metricsregistry.h"
#include "status/teamstats.h"
#include "usage/usagegate.h"

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
  std::function<bool(SessionId, wire::Envelope)> reply;
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

  /** Sends a report on a rollout to the daemon that decides it. */
  RolloutTraffic::Send sendRolloutReport;
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

  /** See EntryCalls::BeginStop(). */
  void BeginStop();

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
  void HandleRolloutShare(const wire::RolloutShare& aShare);
  void SetConfiguration(SnapshotPtr aSnapshot, EndpointViewPtr aView);

  /** See TeamKeys::SetConfirmedAt(). */
  void SetVersionConfirmed(std::optional<Millis> aTime);
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

  /** See TeamStats::Describe(). Null while no version is in force. */
  nlohmann::json TeamState(const std::string& aName);

  /** The usage of a team's cap; nothing without a cap. */
  std::optional<UsageState> UsageOf(const std::string& aTeam);

  std::uint64_t Overflows() const;

  /** Requests whose connection was closed before their whole answer was sent.
   */
  std::uint64_t AnswersLost() const;

  PipelineCounts Pipelining() const;

  /** Sets the metrics of what is held for callers. */
  void SetMemoryMetrics();

private:
  EntryCallsHooks EntryHooks();
  DestinationCallsHooks DestinationHooks();
  UsageGateHooks UsageHooks();
  void SetUsageHooks(EntryCallsHooks& aHooks);
  void HandleUsageRequest(SessionId aSession,
                          const wire::UsageRequest& aRequest);
  void PostLocal(wire::Envelope aEnvelope);
  void ReportUsage();
  void Tick();
  void SetCallerLimits(const Snapshot& aSnapshot);
  void SetRetryBudget(const EndpointView& aView);
  void HandleMessage(SessionId aSession, wire::Envelope aEnvelope);
  void AnswerOrigin(SessionId aOrigin, wire::CallAnswer aAnswer);
  void BeginCall(RequestId aRequest, HttpRequest aRequestData);
  bool MayRunBeside(const HttpRequest& aRequest);
  QuarantineDecision CheckQuarantine(std::uint64_t aDigest);
  void RecordCallEnd(const EntryCall& aCall, const Ending& aEnding);
  void RecordHedge(const std::string& aService,
                   HedgeEvent aEvent,
                   std::optional<WithheldReason> aReason);
  void RecordTeamCall(const std::string& aTeam, const Ending& aEnding);
  void SendReports();

  Settings settings;
  DaemonProtocol protocol;
  CallsServiceHooks hooks;
  Clock clock;
  MetricsRegistry& metrics;
  Quarantine quarantine;
  EntryStats stats;
  TeamStats teamStats;
  SnapshotPtr snapshot; // Null until a version is in force.
  std::map<std::string, LatencyRecorder> latencies; // By entry.
  Millis reportDueAt = 0;
  ListenerLimits listenerLimits;
  std::mutex routesMutex;
  SnapshotPtr
    routes; // For the server thread; null until a version is in force.
  HttpServer server;
  HttpClient client;
  UsageGate usage;
  UsageMetrics usageMetrics;
  TeamSlotMetrics teamSlots;
  std::optional<RolloutTraffic> rollouts; // Only where they are enabled.
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

inline PipelineCounts
CallsService::Pipelining() const
{
  return this->server.Pipelining();
}

inline std::uint64_t
CallsService::Overflows() const
{
  return this->loop.Overflows();
}

} // namespace lacewingwharf
