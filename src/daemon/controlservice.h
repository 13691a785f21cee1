#pragma once

#include "common/eventloop.h"
#include "daemon/daemonprotocol.h"
#include "distribution/distributor.h"
#include "execution/claimclient.h"
#include "execution/claimwriter.h"
#include "execution/outcome.h"
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

/** What the control thread needs from the rest of the daemon. */
struct ControlServiceHooks
{
  std::function<void(const PeerAddress&, wire::Envelope)> sendDatagram;
  std::function<bool(const PeerAddress&, wire::Envelope)> sendControl;
  std::function<void(SessionId, wire::Envelope)> reply;

  /** A new version or a new view is in force; the snapshot may be null. */
  std::function<void(SnapshotPtr, EndpointViewPtr)> onConfiguration;
  std::function<void(const wire::Endpoint&)> onEndpoint;
  std::function<void(const std::string& aService, int aPort)> onEndpointGone;

  /** The server process that now has a port. */
  std::function<void(int aPort, const std::string& aId)> onServerId;
  std::function<void(const std::string& aHolder, wire::ClaimResult::type)>
    onClaim;
  std::function<std::vector<wire::QuarantineMark>()> takeCrashReports;
  std::function<void(std::vector<wire::QuarantineMark>)> mergeCrashReports;
};

/**
 * The control thread: membership, distribution, acceptor and claims, with the
 * platform and watch threads that it uses. Its public functions may be called
 * from any thread.
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

  /** Tells the other members that this daemon leaves. */
  void Leave();

  /** Gives up waiting calls of the store, so that Stop() is quick. */
  void StopWatching();
  void Stop();

  void HandlePeerEvent(PeerEvent aEvent);
  void Announce(const Announcement& aAnnouncement);

  /** aDone is called when the report is in effect and kept, if it must be. */
  void TakeReport(ServerReport aReport,
                  std::function<void(ReportDecision)> aDone);

  /** Withdraws a server that has ended without a word. */
  void ServerGone(const std::string& aService, int aPort);

  /** Whether a version is held and may be served. */
  bool IsReady() const;

  /** Sends the reports to the status reporter of the failure domain. */
  void Report(std::vector<wire::EntryReport> aReports);
  bool Claim(std::uint64_t aKeyHash, const std::string& aHolder);
  void Settle(std::uint64_t aKeyHash,
              const std::string& aHolder,
              Outcome aOutcome);

  Json State();
  Json Members();

  /** Null when the held version does not have the entry. */
  Json EntryState(const std::string& aName);

private:
  /** A report whose acknowledgement waits for the store. */
  struct PendingReport
  {
    std::function<void(ReportDecision)> done;
    Millis dueAt = 0;
  };

  bool HasDocuments() const;
  void PublishServer();
  void EndReport(std::uint64_t aNumber);
  void TickReports();
  PlatformResult<std::optional<CatalogueDocument>> ReadDocument(
    const ObjectStore& aStore) const;
  void DocumentsChanged(const PlatformResult<ObjectList>& aResult);
  void StoreFailed();
  void TickStoreLost();
  void PublishMembers();
  MemberDirectoryHooks DirectoryHooks();
  MembershipConfig MemberConfig(std::int64_t aIncarnation) const;
  MembershipHooks MemberHooks();
  DistributorConfig DistributionConfig() const;
  DistributorHooks DistributionHooks();
  ClaimClientHooks ClaimHooks();
  PlatformWatch::Hook WatchHook(bool aIsCatalogue);
  void HandleMessage(const PeerEvent& aEvent);
  void HandleClaimMessage(const PeerEvent& aEvent);
  void Tick();
  void SetWatches();
  void PublishSeeds();
  void PublishReadiness();
  void PublishConfiguration();
  void PublishEndpoints();
  void PublishMetrics();
  /** When a watch was last answered; 0: never. */
  Millis PlatformSeenAt() const;
  void WriteStatus(const StoredObject& aObject);

  Settings settings;
  DaemonProtocol protocol;
  MetricsRegistry& metrics;
  ControlServiceHooks hooks;
  Clock clock;
  std::atomic<bool> isStopping = false;
  ObjectStore store;
  PlatformWorker platform;

  // Keyed calls would otherwise wait behind the acceptor's work, and it behind
  // them.
  PlatformWorker claimPlatform;
  Membership membership;
  Distributor distributor;
  ClaimWriter claimWriter;
  ClaimClient claimClient;
  SeedList seeds;
  MemberDirectory directory;
  LocalServer localServer;
  std::map<std::uint64_t, PendingReport> pendingReports;
  std::uint64_t lastReport = 0;
  bool isServerPending = false; // Reported, and not announced yet.
  Millis startedAt;
  std::optional<Millis> storeLostUntil;
  std::atomic<bool> isReady = false;
  StatusAggregator aggregator;
  PlatformWatch acceptedWatch;
  PlatformWatch catalogueWatch;
  SnapshotPtr publishedSnapshot;
  EndpointViewPtr publishedView;
  std::uint64_t seenTable = 0; // Version of the table that roles follow.
  std::map<std::pair<std::string, int>, wire::Endpoint> publishedEndpoints;
  Millis metricsDueAt = 0;
  EventLoop loop; // Last, so that its thread ends before what it uses.
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
