#include "membership/membership.h"

#include "common/log.h"
#include "membership/viewbuilder.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr Log kLog("membership");

// A dead member may be one that is cut off and still serves its share of the
// usage caps, so it counts as a member for longer than partitions last.
constexpr Millis kDeadRetention = 86400000;

// Records of members that left are kept for longer than those of dead ones, so
// that daemons which were cut off and hold such a member as dead learn of it. A
// member that returns later is treated as new.
constexpr Millis kLeftRetention = kDeadRetention + 3600000;
constexpr Millis kPruneInterval = 10000;

// A daemon that has not synced after this time takes part in the exchange of
// summaries anyway, because the first daemon of a fleet has no one to sync
// with.
constexpr Millis kAssumeAloneAfter = 10000;

// Each daemon that learns of a rise of the store's era sends it to this many
// others, so that about 2 of 100 have to wait for a ping. With pings alone, the
// last of 296 daemons knew it after 1.8 s.
constexpr std::size_t kEraReceivers = 4;

wire::MemberRecord
MakeSelf(const MembershipConfig& aConfig, const Clock& aWall)
{
  wire::MemberRecord self;
  self.host = aConfig.host;
  self.address = aConfig.address;
  self.peerPort = aConfig.peerPort;
  self.region = aConfig.region;
  self.domain = aConfig.domain;
  self.incarnation =
    aConfig.incarnation > 0 ? aConfig.incarnation : aWall.Now();
  self.state = wire::MemberState::ALIVE;
  return self;
}

void
AddHosts(std::vector<std::string>& aHosts,
         const std::vector<wire::MemberRecord>& aRecords)
{
  std::ranges::transform(
    aRecords, std::back_inserter(aHosts), &wire::MemberRecord::host);
}

std::vector<std::string>
SortedUnique(std::vector<std::string> aHosts)
{
  std::ranges::sort(aHosts);
  aHosts.erase(std::unique(aHosts.begin(), aHosts.end()), aHosts.end());
  return aHosts;
}

} // namespace

Membership::Membership(MembershipConfig aConfig,
                       Clock aClock,
                       Clock aWall,
                       Random aRandom,
                       MembershipHooks aHooks)
  : config(std::move(aConfig))
  , hooks(std::move(aHooks))
  , clock(std::move(aClock))
  , wall(aWall)
  , random(std::move(aRandom))
  , self(MakeSelf(this->config, aWall))
  , registry(this->config.endpointTimeout)
  , table(this->config.isFleetWide ? std::string() : this->config.domain)
  , syncBudget(this->config.syncBytesPerSecond, this->config.syncBurstBytes)
  , syncer({ this->config.host, this->config.syncInterval }, this->random)
  , gossip(this->config,
           this->hooks,
           this->table,
           this->random,
           { [this](const auto& aRecord, Propagation aPropagation) {
             this->MergeRecord(aRecord, aPropagation);
           } })
  , exchange(this->config,
             this->hooks,
             this->table,
             this->syncBudget,
             std::move(aWall))
{
  this->startedAt = this->clock.Now();
  this->table.Merge(this->self, this->startedAt);
}

void
Membership::Announce(const Announcement& aAnnouncement)
{
  if (this->registry.Announce(aAnnouncement, this->clock.Now())) {
    kLog.Info("endpoint {} port {} {} slots {}",
              aAnnouncement.service,
              aAnnouncement.port,
              to_string(aAnnouncement.state),
              aAnnouncement.slots);
    this->isSelfDirty = true;
  }
}

void
Membership::Withdraw(const std::string& aService, int aPort)
{
  if (this->registry.Withdraw(aService, aPort)) {
    kLog.Info("endpoint {} port {} withdrawn", aService, aPort);
    this->isSelfDirty = true;
  }
}

void
Membership::SetServing(bool aIsServing)
{
  this->isServing = aIsServing;
  this->isSelfDirty =
    this->isSelfDirty || this->OwnEndpoints() != this->self.endpoints;
}

void
Membership::SetStoreLost(bool aIsStoreLost)
{
  if (this->self.isStoreLost != aIsStoreLost) {
    this->self.__set_isStoreLost(aIsStoreLost);
    this->isSelfDirty = true;
  }
}

void
Membership::SpreadStoreEra()
{
  const std::vector<std::string>& hosts = this->table.LiveHosts();
  if (hosts.size() <= 1 || this->hasLeft) {
    return;
  }
  for (std::size_t sent = 0; sent < kEraReceivers; ++sent) {
    const std::string& host = hosts[RandomBelow(this->random, hosts.size())];
    if (host != this->config.host) {
      this->gossip.SendStoreEra(host);
    }
  }
}

void
Membership::PublishChanges()
{
  if (this->isSelfDirty && !this->hasLeft) {
    this->PublishSelf(wire::MemberState::ALIVE);
    this->gossip.FlushPushes();
  }
}

void
Membership::ReportLoad(const std::string& aService,
                       int aFreeSlots,
                       double aSlowdown)
{
  this->exchange.ReportLoad(aService, aFreeSlots, aSlowdown);
}

void
Membership::Tick()
{
  if (this->hasLeft) {
    return;
  }
  const Millis now = this->clock.Now();
  if (this->isSelfDirty) {
    this->PublishSelf(wire::MemberState::ALIVE);
  }
  if (this->gossip.Tick(now)) {
    this->registry.RestartTimeouts(now);
    this->exchange.PostponeUpdates(now);
    this->syncer.ScheduleEarlySync(now);
  }
  if (this->registry.Expire(now)) {
    this->PublishSelf(wire::MemberState::ALIVE);
    this->gossip.FlushPushes();
  }
  this->StartSyncs(now);
  if (!this->isComplete && this->KnowsAllMembers(now)) {
    this->SetComplete("start");
  }
  if (!this->syncer.HasSynced() && now - this->startedAt < kAssumeAloneAfter) {
    this->exchange.PostponeUpdates(now);
  }
  if (!this->config.isFleetWide) {
    this->exchange.Tick(now);
  }
  if (now - this->prunedAt >= kPruneInterval) {
    this->prunedAt = now;
    this->table.Prune(now - kLeftRetention, now - kDeadRetention);
  }
}

void
Membership::PublishSelf(wire::MemberState::type aState)
{
  this->isSelfDirty = false;
  ++this->self.sequence;
  this->self.state = aState;
  this->self.endpoints = this->OwnEndpoints();
  if (aState == wire::MemberState::LEFT) {
    this->self.__set_endedAt(this->wall.Now());
  }
  const Millis now = this->clock.Now();
  this->table.Merge(this->self, now);
  this->gossip.HandleRecordChange(this->self, Propagation::Tree, now);
}

std::vector<wire::Endpoint>
Membership::OwnEndpoints() const
{
  auto endpoints = this->registry.Endpoints();
  if (this->isServing) {
    return endpoints;
  }
  std::ranges::for_each(endpoints, [](wire::Endpoint& aEndpoint) {
    if (aEndpoint.state == wire::EndpointState::READY) {
      aEndpoint.state = wire::EndpointState::STARTING;
    }
  });
  return endpoints;
}

void
Membership::AddStoredMember(const wire::MemberRecord& aRecord)
{
  // Entries of hosts that were replaced stay in the store. A member that knows
  // all others has told this daemon which ones there are.
  if (aRecord.host != this->config.host && !this->hasMembersBySync &&
      this->table.Find(aRecord.host) == nullptr) {
    this->MergeRecord(aRecord, Propagation::None);
  }
}

void
Membership::Leave()
{
  kLog.Info("leaving {}", this->config.domain);
  this->PublishSelf(wire::MemberState::LEFT);
  this->gossip.FlushPushes();
  this->hasLeft = true;
}

void
Membership::MergeRecord(const wire::MemberRecord& aRecord,
                        Propagation aPropagation)
{
  if (aRecord.host == this->config.host) {
    this->Refute(aRecord);
    return;
  }
  const Millis now = this->clock.Now();
  if (IsLive(aRecord)) {
    if (this->table.Merge(aRecord, now)) {
      this->gossip.HandleRecordChange(aRecord, aPropagation, now);
    }
    return;
  }
  const Millis wallNow = this->wall.Now();
  wire::MemberRecord ended = aRecord;
  ended.__set_endedAt(aRecord.__isset.endedAt
                        ? std::min<Millis>(aRecord.endedAt, wallNow)
                        : wallNow);
  const Millis age = wallNow - ended.endedAt;
  const Millis retention =
    aRecord.state == wire::MemberState::LEFT ? kLeftRetention : kDeadRetention;
  // Another member that has not removed such a record yet must not return it.
  if (age >= retention && this->table.Find(aRecord.host) == nullptr) {
    return;
  }
  if (this->table.Merge(ended, now - age)) {
    this->gossip.HandleRecordChange(ended, aPropagation, now);
  }
}

void
Membership::Refute(const wire::MemberRecord& aRecord)
{
  if (this->hasLeft || !Supersedes(aRecord, this->self)) {
    return;
  }
  kLog.Info("refuting {} with incarnation {} sequence {}",
            to_string(aRecord.state),
            aRecord.incarnation,
            aRecord.sequence);
  if (aRecord.incarnation > this->self.incarnation) {
    // The clock was ahead when an earlier process of this host started.
    this->self.incarnation = aRecord.incarnation + 1;
  }
  this->self.sequence = std::max(this->self.sequence, aRecord.sequence);
  this->PublishSelf(wire::MemberState::ALIVE);
}

void
Membership::HandleDatagram(const PeerAddress& aFrom,
                           const wire::Envelope& aEnvelope)
{
  if (this->hasLeft) {
    return;
  }
  if (aEnvelope.__isset.loadReport) {
    this->exchange.HandleLoad(aEnvelope.loadReport);
    return;
  }
  this->gossip.HandleDatagram(aFrom, aEnvelope, this->clock.Now());
}

void
Membership::HandleControl(SessionId aSession,
                          const std::string& aFromHost,
                          const wire::Envelope& aEnvelope)
{
  if (this->hasLeft) {
    return;
  }
  if (aEnvelope.__isset.memberSync) {
    this->HandleSync(aSession, aEnvelope.memberSync);
  } else if (aEnvelope.__isset.domainSummary) {
    this->exchange.Handle(
      aSession, aFromHost, aEnvelope.domainSummary, this->clock.Now());
  }
}

std::vector<std::string>
Membership::LiveHosts(const std::string& aDomain) const
{
  std::vector<std::string> hosts;
  if (this->config.isFleetWide) {
    std::ranges::copy_if(this->table.LiveHosts(),
                         std::back_inserter(hosts),
                         [this, &aDomain](const std::string& aHost) {
                           return this->table.Find(aHost)->domain == aDomain;
                         });
    return hosts;
  }
  if (aDomain == this->config.domain) {
    return this->table.LiveHosts();
  }
  if (const HeldSummary* const held = this->Summaries().Find(aDomain)) {
    AddHosts(hosts, held->contacts);
  }
  return SortedUnique(std::move(hosts));
}

std::vector<std::string>
Membership::HostsOfOwnRegion() const
{
  std::vector<std::string> hosts;
  std::ranges::copy_if(this->table.LiveHosts(),
                       std::back_inserter(hosts),
                       [this](const std::string& aHost) {
                         return this->table.Find(aHost)->region ==
                                this->config.region;
                       });
  return hosts;
}

std::vector<std::string>
Membership::HostsWithStoreAccess() const
{
  const auto hosts = this->HostsOfOwnRegion();
  std::vector<std::string> served;
  std::ranges::copy_if(
    hosts, std::back_inserter(served), [this](const std::string& aHost) {
      return !this->table.Find(aHost)->isStoreLost;
    });
  return served.empty() ? hosts : served;
}

std::vector<std::string>
Membership::ContactsOfRegion(const std::string& aRegion) const
{
  std::vector<std::string> hosts;
  if (aRegion == this->config.region) {
    AddHosts(hosts, this->exchange.OwnContacts());
  }
  for (const auto& [domain, held] : this->Summaries().Others()) {
    if (held.region == aRegion) {
      AddHosts(hosts, held.contacts);
    }
  }
  return SortedUnique(std::move(hosts));
}

std::vector<std::string>
Membership::AllLiveHosts() const
{
  std::vector<std::string> hosts = this->table.LiveHosts();
  for (const auto& [domain, held] : this->Summaries().Others()) {
    AddHosts(hosts, held.contacts);
  }
  return SortedUnique(std::move(hosts));
}

std::optional<PeerAddress>
Membership::AddressOf(const std::string& aHost) const
{
  if (const wire::MemberRecord* const record = this->table.Find(aHost)) {
    return PeerAddress{ record->address, record->peerPort };
  }
  return this->Summaries().AddressOf(aHost);
}

std::int64_t
Membership::IncarnationOf(const std::string& aHost) const
{
  const wire::MemberRecord* const record = this->table.Find(aHost);
  return record != nullptr ? record->incarnation
                           : this->Summaries().IncarnationOf(aHost);
}

EndpointViewPtr
Membership::View()
{
  const StartProgress progress{ this->isComplete, this->syncer.HasSynced() };
  const bool isCurrent =
    this->view && this->view->isComplete == progress.isComplete &&
    this->view->hasContact == progress.hasContact &&
    this->viewTableVersion == this->table.Version() &&
    this->viewSummariesVersion == this->Summaries().Version();
  if (!isCurrent) {
    this->viewTableVersion = this->table.Version();
    this->viewSummariesVersion = this->Summaries().Version();
    this->view = BuildView(this->table,
                           this->Summaries(),
                           { this->config.region, this->config.domain },
                           progress);
  }
  return this->view;
}

} // namespace lacewingwharf
