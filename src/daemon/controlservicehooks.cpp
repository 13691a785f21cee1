#include "daemon/controlservice.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lacewingwharf {

namespace {

// A server is removed after this many missed heartbeats. A lower limit would
// remove servers whose heartbeats arrive seconds late. A server that has ended
// is detected earlier, because it refuses connections.
constexpr Millis kMaxMissedHeartbeats = 4;

} // namespace

MembershipConfig
ControlService::MemberConfig(std::int64_t aIncarnation) const
{
  MembershipConfig config;
  config.host = this->settings.host;
  config.address = this->settings.address;
  config.peerPort = this->settings.peerPort;
  config.region = this->settings.region;
  config.domain = this->settings.domain;
  std::ranges::transform(this->settings.peers,
                         std::back_inserter(config.peers),
                         [](const SocketAddress& aPeer) {
                           return PeerAddress{ aPeer.address, aPeer.port };
                         });
  config.gossipInterval = this->settings.gossipInterval;
  config.suspicionTime = this->settings.suspicionTime;
  config.endpointTimeout = this->settings.endpointTimeout;
  config.relays = static_cast<std::size_t>(this->settings.relays);
  config.fanout = static_cast<std::size_t>(this->settings.fanout);
  config.incarnation = aIncarnation;
  config.isFleetWide = this->HasDocuments();
  if (this->HasDocuments()) {
    config.endpointTimeout =
      kMaxMissedHeartbeats * this->settings.site.announceInterval;
  }
  return config;
}

MembershipHooks
ControlService::MemberHooks()
{
  MembershipHooks member;
  member.sendDatagram = this->hooks.sendDatagram;
  member.sendControl = [this](const PeerAddress& aTo,
                              wire::Envelope aEnvelope) {
    this->hooks.sendControl(aTo, std::move(aEnvelope));
  };
  member.reply = this->hooks.reply;
  member.onPeerVersion = [this](const std::string& aHost,
                                std::int64_t aVersion) {
    this->distributor.HandlePeerVersion(aHost, aVersion);
  };
  member.ownVersion = [this] {
    return this->distributor.HeldSnapshot()->Version();
  };
  member.onPeerContent = [this](const std::string& aHost,
                                std::int64_t aVersion,
                                std::int32_t aShortHash) {
    this->distributor.HandlePeerContent(aHost, aVersion, aShortHash);
  };
  member.ownContentHash = [this] {
    return ShortHashOf(*this->distributor.HeldSnapshot());
  };
  member.ownStoreEra = [this] { return this->storeEra->Highest(); };
  member.onPeerStoreEra = [this](std::int64_t aEra) {
    this->RecordPeerStoreEra(aEra);
  };
  member.takeCrashReports = this->hooks.takeCrashReports;
  member.mergeCrashReports =
    [this](const std::vector<wire::QuarantineMark>& aCrashReports) {
      this->hooks.mergeCrashReports(aCrashReports);
    };
  if (this->HasDocuments()) {
    member.hasStoredMembers = [this] { return this->directory.HasSettled(); };
  }
  member.seedPeers = [this] {
    return this->HasDocuments() ? this->directory.Peers() : this->seeds.Peers();
  };
  return member;
}

DistributorConfig
ControlService::DistributionConfig(std::int64_t aIncarnation) const
{
  DistributorConfig config;
  config.host = this->settings.host;
  config.incarnation = aIncarnation;
  config.group =
    this->HasDocuments() ? this->settings.region : this->settings.domain;
  config.region = this->settings.region;
  config.platformRegion = this->settings.platformRegion;
  config.relays = this->settings.relays;
  config.fanout = this->settings.fanout;
  config.startWait = this->settings.startWait;
  if (this->HasDocuments()) {
    config.rolloutTime = this->protocol.bounds.versionRolloutTime;
  }
  return config;
}

DistributorHooks
ControlService::DistributionHooks()
{
  DistributorHooks distribution;
  distribution.send = [this](const std::string& aHost,
                             wire::Envelope aEnvelope) {
    if (const auto address = this->membership.AddressOf(aHost)) {
      this->hooks.sendControl(*address, std::move(aEnvelope));
    }
  };
  distribution.sendDatagram = [this](const std::string& aHost,
                                     wire::Envelope aEnvelope) {
    if (const auto address = this->membership.AddressOf(aHost)) {
      this->hooks.sendDatagram(*address, std::move(aEnvelope));
    }
  };
  distribution.isWatchWorking = [this] {
    return this->acceptedWatch.IsWorking();
  };
  distribution.storeEra = [this] { return this->storeEra->Highest(); };
  distribution.reply = this->hooks.reply;
  distribution.groupMembers = [this] {
    return this->membership.LiveHosts(this->settings.domain);
  };
  if (this->HasDocuments()) {
    // A document is large, so the group is the region and the document crosses
    // the link between regions only once.
    distribution.groupMembers = [this] {
      return this->membership.HostsOfOwnRegion();
    };
    distribution.relayCandidates = [this] {
      return this->membership.HostsWithStoreAccess();
    };
    distribution.hasReadMembers = [this] { return this->directory.HasRead(); };
    distribution.readDocument = [this](const ObjectStore& aStore) {
      return this->ReadDocument(aStore);
    };
  }
  distribution.acceptorCandidates = [this] {
    if (this->HasDocuments()) {
      return this->membership.AllLiveHosts();
    }
    auto hosts =
      this->membership.ContactsOfRegion(this->settings.platformRegion);
    return hosts.empty() ? this->membership.AllLiveHosts() : hosts;
  };
  distribution.submit = [this](PlatformJob aJob) {
    return this->platform.Submit(std::move(aJob));
  };
  distribution.onSnapshotChange = [this](const SnapshotPtr&) {
    this->PublishConfiguration();
  };
  return distribution;
}

ClaimClientHooks
ControlService::ClaimHooks()
{
  ClaimClientHooks claim;
  claim.writers = [this] {
    return this->membership.ContactsOfRegion(this->settings.platformRegion);
  };
  claim.send = [this](const std::string& aHost,
                      const wire::Envelope& aEnvelope) {
    const auto address = this->membership.AddressOf(aHost);
    return address && this->hooks.sendControl(*address, aEnvelope);
  };
  claim.writeDirectly = [this](const wire::ClaimRequest& aRequest) {
    this->claimWriter.Handle(aRequest,
                             [this](const wire::ClaimAnswer& aAnswer) {
                               this->claimClient.HandleAnswer(aAnswer);
                             });
  };
  return claim;
}

PlatformWatch::Hook
ControlService::WatchHook(bool aIsCatalogue)
{
  return
    [this, aIsCatalogue](PlatformResult<ObjectList> aResult, bool aIsFullList) {
      this->loop.Post(
        [this, aIsCatalogue, aIsFullList, result = std::move(aResult)] {
          if (this->HasDocuments()) {
            this->HandleDocumentChange(result);
          } else if (aIsCatalogue) {
            this->distributor.HandleCatalogueChange(result, aIsFullList);
          } else {
            this->distributor.HandleAcceptedVersions(result, aIsFullList);
          }
        });
    };
}

} // namespace lacewingwharf
