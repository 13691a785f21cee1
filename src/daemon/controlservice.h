#pragma once

#include "common/eventloop.h"
#include "daemon/daemonprotocol.h"
#include "daemon/rolloutservice.h"
#include "distribution/distributor.h"
#include "distribution/storeaccess.h"
#include "execution/claimclient.h"
#include "execution/claimwriter.h"
#include "execution/outcome.h"
#include "membership/leavingreports.h"
#include "membership/localserver.h"
#include "membership/memberdirectory.h"
#include "membership/membership.h"
#include "membership/seedlist.h"
#include "peer/peernetwork.h"
#include "settings/settings.h"
#include "status/metricsregistry.h"
#include "status/statusaggregator.h"
#include "store/platformwatch.h"
#include "store/platformworker.h"
#include "store/storeera.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lacewingwharf {

/** Functions of other parts of the daemon that the control thread calls. */
struct ControlServiceHooks
{
  std::function<void(const PeerAddress&, wire::Envelope)> sendDatagram;
  std::function<bool(const PeerAddress&, wire::Envelope)> sendControl;
  std::function<void(SessionId, wire::Envelope)> reply;

  /**
   * Called when a new version or a new view is in force. The snapshot is null
   * while the daemon is not ready.
   */
  std::function<void(SnapshotPtr, EndpointViewPtr)> onConfiguration;

  /**
   * Called when the time of the last evidence that no newer version exists
   * changes, if the version has teams. Empty if there is no evidence.
   */
  std::function<void(std::optional<Millis>)> onVersionConfirmed;
  std::function<void(const wire::Endpoint&)> onEndpoint;
  std::function<void(const std::string& aService, int aPort)> onEndpointRemoved;

  /** Called with the id of the server process that now uses a port. */
  std::function<void(int aPort, const std::string& aId)> onServerId;
  std::function<void(const std::string& aHolder, wire::ClaimResult::type)>
    onClaim;

  /** Called with each share of a rollout; see RolloutTraffic. */
  std::function<void(const wire::RolloutShare&)> onRolloutShare;
  std::function<std::vector<wire::QuarantineMark>()> takeCrashReports;
  std::function<void(std::vector<wire::QuarantineMark>)> mergeCrashReports;
};

/**
 * The control thread, which runs membership, distribution, the acceptor and
 * claims, and the platform and watch threads that it uses. The public functions
 * may be called from any thread.
 */
class ControlService
{
public:
  using Json = nlohmann::json;

  ControlService(const Settings& aSettings,
                 const DaemonProtocol& aProtocol,
                 std::int64_t aIncarnation,
                 MetricsRegistry& aMetrics,
                 ControlServiceHooks aHooks);
  ~ControlService();

  void Start();

  /** Notifies the other members that this daemon stops. */
  void Leave();

  /** Cancels pending calls to the store, so that Stop() does not wait. */
  void CancelStoreCalls();
  void Stop();

  void HandlePeerEvent(PeerEvent aEvent);
  void Announce(const Announcement& aAnnouncement);

  /**
   * Calls aDone when the report is in effect, and with NotStored if it has to
   * be stored and the store does not answer in time.
   */
  void HandleServerReport(ServerReport aReport,
                          std::function<void(ReportDecision)> aDone);

  /** Withdraws a server that ended without a report. */
  void WithdrawServer(const std::string& aService, int aPort);

  /** Whether this daemon holds a version that may be served. */
  bool IsReady() const;

  /** Sends a report on a rollout to the daemon that decides it. */
  void SendRolloutReport(const std::string& aDecider,
                         wire::RolloutReport aReport);

  /** Sends the reports to the relay that aggregates the domain's status. */
  void Report(std::vector<wire::EntryReport> aReports);
  bool Claim(std::uint64_t aKeyHash, const std::string& aHolder);
  void SettleClaim(std::uint64_t aKeyHash,
                   const std::string& aHolder,
                   Outcome aOutcome);

  Json State();
  Json Members();

  /** Null while the daemon is not ready or when its version lacks the entry. */
  Json EntryState(const std::string& aName);

private:
  bool HasDocuments() const;
  void PublishServer();
  PlatformResult<std::optional<CatalogueDocument>> ReadDocument(
    const ObjectStore& aStore) const;
  void HandleDocumentChange(const PlatformResult<ObjectList>& aResult);
  void HandleStoreFailure();
  void HandleStoreAnswer();
  void RecordPeerStoreEra(std::int64_t aEra);
  void HandleStoreRise();
  void UpdateStoreAccess();
  void PublishMembers();
  MemberDirectoryHooks DirectoryHooks();
  MembershipConfig MemberConfig(std::int64_t aIncarnation) const;
  MembershipHooks MemberHooks();
  DistributorConfig DistributionConfig(std::int64_t aIncarnation) const;
  DistributorHooks DistributionHooks();
  ClaimClientHooks ClaimHooks();
  RolloutServiceHooks RolloutHooks();
  PlatformWatch::Hook WatchHook(bool aIsCatalogue);
  PlatformWatchConfig VersionWatchConfig();
  void HandleDatagram(const PeerEvent& aEvent);
  void HandleRolloutMessage(const wire::Envelope& aEnvelope);
  void HandleMessage(const PeerEvent& aEvent);
  void HandleClaimMessage(const PeerEvent& aEvent);
  void Tick();
  void SetWatches();
  void SetWatchTimeout();
  void PublishSeeds();
  void PublishReadiness();
  void PublishConfiguration();
  void PublishConfirmation();
  void PublishEndpoints();
  void PublishMetrics();
  /** When the platform last answered a watch; 0 when it never did. */
  Millis LastPlatformAnswerTime() const;
  void WriteStatus(const StoredObject& aObject);

  Settings settings;
  DaemonProtocol protocol;
  MetricsRegistry& metrics;
  ControlServiceHooks hooks;
  Clock clock;
  std::atomic<bool> isStopping = false;
  Random random;
  std::shared_ptr<StoreEra> storeEra;
  ObjectStore store;
  PlatformWorker platform;

  // A worker of its own, so that claims of keyed calls and the acceptor's work
  // do not delay each other.
  PlatformWorker claimPlatform;
  Membership membership;
  Distributor distributor;
  ClaimWriter claimWriter;
  ClaimClient claimClient;
  SeedList seeds;
  MemberDirectory directory;
  LocalServer localServer;
  LeavingReports leavingReports;
  bool isServerPending = false; // Reported, but not announced yet.
  Millis startedAt;
  StoreAccess storeAccess;
  std::atomic<bool> isReady = false;
  StatusAggregator aggregator;
  PlatformWatch acceptedWatch;
  PlatformWatch catalogueWatch;
  SnapshotPtr publishedSnapshot;
  EndpointViewPtr publishedView;
  std::optional<Millis> publishedConfirmation;
  // Version of the member table that the roles are based on.
  std::uint64_t handledTableVersion = 0;
  std::map<std::pair<std::string, int>, wire::Endpoint> publishedEndpoints;
  Millis metricsDueAt = 0;
  std::optional<RolloutService> rollouts; // Only where they are enabled.
  EventLoop loop; // Last, so that its thread ends before its data is destroyed.
};

inline bool
ControlService::IsReady() const
{
  return this->isReady;
}

inline bool
ControlService::HasDocuments() const
{
  return this->protocol.documents.has_value();
}

} // namespace lacewingwharf
