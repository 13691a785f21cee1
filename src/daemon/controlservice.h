#pragma once

#include "common/eventloop.h"
#include "distribution/distributor.h"
#include "execution/claimclient.h"
#include "execution/claimwriter.h"
#include "execution/outcome.h"
#include "membership/membership.h"
#include "membership/seedlist.h"
#include "peer/peernetwork.h"
#include "platform/platformwatch.h"
#include "platform/platformworker.h"
#include "settings/settings.h"
#include "status/metricsregistry.h"
#include "status/statusaggregator.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
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
  std::function<void(const std::string& aHolder, wire::ClaimResult::type)>
    onClaim;
  std::function<std::vector<wire::QuarantineMark>()> takeMarks;
  std::function<void(std::vector<wire::QuarantineMark>)> mergeMarks;
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
                 std::int64_t aIncarnation,
                 MetricsRegistry& aMetrics,
                 ControlServiceHooks aHooks);
  ~ControlService();

  void Start();

  /** Tells the other members that this daemon leaves. */
  void Leave();
  void Stop();

  void HandlePeerEvent(PeerEvent aEvent);
  void Announce(const Announcement& aAnnouncement);
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
  void PublishConfiguration();
  void PublishEndpoints();
  void PublishMetrics();
  /** When a watch was last answered; 0: never. */
  Millis PlatformSeenAt() const;
  void WriteStatus(const StoredObject& aObject);

  Settings settings;
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
  StatusAggregator aggregator;
  PlatformWatch acceptedWatch;
  PlatformWatch catalogueWatch;
  SnapshotPtr publishedSnapshot;
  EndpointViewPtr publishedView;
  std::map<std::pair<std::string, int>, wire::Endpoint> publishedEndpoints;
  Millis metricsDueAt = 0;
  EventLoop loop; // Last, so that its thread ends before what it uses.
};

} // namespace lacewingwharf
