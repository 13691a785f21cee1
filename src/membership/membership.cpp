#include "membership/membership.h"

#include "common/log.h"
#include "membership/viewbuilder.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr Log kLog("membership");

// How long records of dead and left members are kept. A member that returns
// later is treated as new.
constexpr Millis kDeadRetention = 600000;
constexpr Millis kPruneInterval = 10000;

// A daemon that has not synced after this time takes part in the exchange of
// summaries anyway, because the first daemon of a fleet has no one to sync
// with.
constexpr Millis kAssumeAloneAfter = 10000;

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
  if (!this->syncer.HasSynced() && now - this->startedAt < kAssumeAloneAfter) {
    this->exchange.PostponeUpdates(now);
  }
  if (!this->config.isFleetWide) {
    this->exchange.Tick(now);
  }
  if (now - this->prunedAt >= kPruneInterval) {
    this->prunedAt = now;
    this->table.Prune(now - kDeadRetention);
  }
}

void
Membership::PublishSelf(wire::MemberState::type aState)
{
  this->isSelfDirty = false;
  ++this->self.sequence;
  this->self.state = aState;
  this->self.endpoints = this->OwnEndpoints();
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
  if (aRecord.host != this->config.host &&
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
  if (this->table.Merge(aRecord, now)) {
    this->gossip.HandleRecordChange(aRecord, aPropagation, now);
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
  const bool isCurrent =
    this->view && this->viewTableVersion == this->table.Version() &&
    this->viewSummariesVersion == this->Summaries().Version();
  if (!isCurrent) {
    this->viewTableVersion = this->table.Version();
    this->viewSummariesVersion = this->Summaries().Version();
    this->view = BuildView(this->table,
                           this->Summaries(),
                           { this->config.region, this->config.domain });
  }
  return this->view;
}

} // namespace lacewingwharf
