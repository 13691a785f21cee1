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

/** What the calls thread needs from the rest of the daemon. */
struct CallsServiceHooks
{
  std::function<bool(const PeerAddress&, wire::Envelope)> send;
  std::function<void(SessionId, wire::Envelope)> reply;
  std::function<bool(std::uint64_t aKeyHash, const std::string& aHolder)> claim;
  std::function<
    void(std::uint64_t aKeyHash, const std::string& aHolder, Outcome)>
    settleClaim;

  /** Nothing listens any more on the port of a server of this host. */
  std::function<void(const std::string& aService, int aPort)> serverGone;

  /** Reports of entries with trouble, once in each report interval. */
  std::function<void(std::vector<wire::EntryReport>)> report;
};

/**
 * The calls thread with the HTTP server for callers. The HTTP client for
 * backend servers runs on it, too: a hand-over to another thread and back costs
 * more than its work. Its public functions may be called from any thread.
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

  /** Tells callers to use other daemons from now on; serves them yet. */
  void AnnounceClose();

  /** Takes only calls from now on that end within aTime. */
  void LimitIntake(Millis aTime);

  /** Refuses calls that other daemons send; those in flight go on. */
  void StopPeerIntake();

  /** Refuses new calls; those in flight go on. */
  void StopIntake();
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
  void MergeMarks(std::vector<wire::QuarantineMark> aMarks);

  /** Quarantine marks to send with the next datagram. */
  std::vector<wire::QuarantineMark> TakeCrashReports();

  /** Calls that entered here or run here and have not ended. */
  std::size_t InFlight();

  /** Time since a peer's call was refused for the stop; empty: none was. */
  std::optional<Millis> SinceRefusal();

  std::uint64_t Overflows() const;

private:
  EntryCallsHooks EntryHooks();
  DestinationCallsHooks DestinationHooks();
  void Tick();
  void SetRetryBudget(const EndpointView& aView);
  void HandleMessage(SessionId aSession, wire::Envelope aEnvelope);
  void AnswerOrigin(SessionId aOrigin, wire::CallAnswer aAnswer);
  void BeginCall(RequestId aRequest, HttpRequest aRequestData);
  QuarantineDecision Check(std::uint64_t aDigest);
  void RecordEnd(const EntryCall& aCall, const Ending& aEnding);
  void Report();

  Settings settings;
  DaemonProtocol protocol;
  CallsServiceHooks hooks;
  Clock clock;
  MetricsRegistry& metrics;
  Quarantine quarantine;
  EntryStats stats;
  std::map<std::string, LatencyRecorder> latencies; // By entry.
  Millis reportDueAt = 0;
  HttpServer server;
  HttpClient client;
  EntryCalls entryCalls;
  DestinationCalls destinationCalls;
  std::mutex marksMutex;
  std::vector<wire::QuarantineMark> marks;
  Millis marksDueAt = 0;
  bool isStarted = false;
  EventLoop loop; // Last, so that its thread ends before what it uses.
};

inline std::uint64_t
CallsService::Overflows() const
{
  return this->loop.Overflows();
}

} // namespace lacewingwharf
