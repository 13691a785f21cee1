#include "membership/summaryexchange.h"

#include "common/hash.h"
#include "common/log.h"
#include "membership/membersyncer.h"
#include "membership/membertable.h"
#include "membership/recordpush.h"
#include "membership/wiresize.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr Log kLog("membership");

// Members forward summaries as soon as they arrive, so a deep tree is fast
// enough. A low fanout limits the bytes that the busiest member sends.
constexpr std::size_t kSummaryFanout = 2;

// A relay waits this long for each relay that precedes it in the order. It
// forwards a summary only if none of them has done so.
constexpr Millis kDelayPerRank = 500;
constexpr Millis kMinSendInterval = 1000;
constexpr std::size_t kMaxDelayed = 64;
constexpr Millis kRefreshInterval = 10000;
constexpr Millis kRequestInterval = 1000;

// After its start or a pause, a relay sends no summary of its own domain for
// this time, in which it updates its records.
constexpr Millis kCatchUpTime = 3000;

// Loads change constantly, so each host reports them at most this often.
constexpr Millis kLoadInterval = 10000;
constexpr Millis kLoadRepeatInterval = 60000;

wire::Envelope
ToEnvelope(const wire::DomainSummary& aSummary)
{
  wire::Envelope envelope;
  envelope.__set_domainSummary(aSummary);
  return envelope;
}

} // namespace

SummaryExchange::SummaryExchange(const MembershipConfig& aConfig,
                                 const MembershipHooks& aNetwork,
                                 const MemberTable& aTable,
                                 ByteBudget& aBudget,
                                 Clock aWall)
  : config(aConfig)
  , network(aNetwork)
  , table(aTable)
  , budget(aBudget)
  , wall(std::move(aWall))
  , summaries(aConfig.region, aConfig.domain)
{
  this->ownLoad.host = aConfig.host;
}

void
SummaryExchange::Tick(Millis aNow)
{
  this->SendLoad(aNow);
  this->DistributeDelayed(aNow);
  if (!this->IsRelay()) {
    this->loads.clear();
    this->sentAt.reset();
    this->refreshedAt.reset();
    return;
  }
  this->UpdateOwn(aNow);
}

void
SummaryExchange::PostponeUpdates(Millis aNow)
{
  this->postponedUntil = aNow + kCatchUpTime;
}

void
SummaryExchange::UpdateOwn(Millis aNow)
{
  const bool isTooEarly =
    this->sentAt && aNow - *this->sentAt < kMinSendInterval;
  if (isTooEarly || aNow < this->postponedUntil) {
    return;
  }
  std::erase_if(this->loads, [this](const auto& aItem) {
    const wire::MemberRecord* const record = this->table.Find(aItem.first);
    return record == nullptr || !IsLive(*record);
  });
  const SummaryChange change = this->summaries.Build(this->table,
                                                     this->loads,
                                                     this->OwnContacts(),
                                                     this->wall.Now(),
                                                     this->OwnRank() == 0);
  const bool isRefresh =
    !this->refreshedAt || aNow - *this->refreshedAt >= kRefreshInterval;
  if (isRefresh || change == SummaryChange::Endpoints) {
    this->SendOwn(aNow, isRefresh);
  }
}

void
SummaryExchange::SendOwn(Millis aNow, bool aIsRefresh)
{
  if (aIsRefresh) {
    this->summaries.Touch(this->wall.Now());
  }
  wire::DomainSummary summary =
    this->summaries.ChangesSince(this->config.domain, this->sentStamp);
  this->sentStamp = summary.stamp;
  this->sentAt = aNow;
  const auto contacts = this->OwnContacts();
  if (aIsRefresh || contacts != this->sentContacts) {
    summary.contacts = contacts;
    this->sentContacts = contacts;
  }
  if (aIsRefresh) {
    this->refreshedAt = aNow;
    summary.buckets = this->summaries.Digests(this->config.domain);
  }
  for (const auto& [domain, held] : this->summaries.Others()) {
    const std::size_t receivers =
      std::min(this->config.relays, held.contacts.size());
    for (std::size_t index = 0; index < receivers; ++index) {
      const wire::MemberRecord& contact = held.contacts[index];
      this->network.sendControl({ contact.address, contact.peerPort },
                                ToEnvelope(summary));
    }
  }
  for (const std::string& relay : this->Relays()) {
    const auto address = this->AddressOfMember(relay);
    if (relay != this->config.host && address) {
      this->network.sendControl(*address, ToEnvelope(summary));
    }
  }
}

void
SummaryExchange::Handle(SessionId aSession,
                        const std::string& aFrom,
                        const wire::DomainSummary& aSummary,
                        Millis aNow)
{
  if (aSummary.isRequest) {
    this->AnswerRequest(aSession, aSummary);
    return;
  }
  if (aSummary.stamp == 0) {
    this->HandleIntroduction(aSummary, aNow);
    return;
  }
  if (this->summaries.Find(aSummary.domain) == nullptr) {
    // Sends the own summary to a new domain before the next regular refresh.
    this->refreshedAt.reset();
  }
  const bool hasGap = this->summaries.HasGapBefore(aSummary);
  const MergedSummary merged = this->summaries.Merge(aSummary, aNow);
  if (merged.correction) {
    // Without the correction, a sender whose clock is behind would keep using
    // stamps that are too low to replace anything.
    this->network.reply(aSession, ToEnvelope(*merged.correction));
  }
  if (aSummary.domain == this->config.domain) {
    this->SkipCoveredChanges(aSummary);
    return;
  }
  if (hasGap || this->HasDifferentDigests(aSummary)) {
    this->RequestMissing(aSession, aSummary, aNow);
  }
  if (this->table.Find(aFrom) == nullptr) {
    if (merged.hasChanges || merged.isNewOnTree) {
      this->Distribute(aSummary, aNow);
    }
  } else if (merged.isNewOnTree && !aSummary.root.empty()) {
    this->Forward(aSummary);
  }
}

void
SummaryExchange::SkipCoveredChanges(const wire::DomainSummary& aSummary)
{
  // Changes that the other relay has sent are not sent again, unless this relay
  // has further ones.
  const bool isComplete = aSummary.base <= this->sentStamp;
  const auto own =
    this->summaries.ChangesSince(this->config.domain, this->sentStamp);
  const bool isAll = std::ranges::all_of(
    own.services, [&aSummary](const wire::ServiceSummary& aService) {
      return aService.stamp <= aSummary.stamp;
    });
  if (isComplete && isAll) {
    this->sentStamp = std::max(this->sentStamp, aSummary.stamp);
  }
}

void
SummaryExchange::Distribute(const wire::DomainSummary& aSummary, Millis aNow)
{
  wire::DomainSummary copy = aSummary;
  copy.root = this->config.host;
  if (this->OwnRank() == 0) {
    this->Forward(copy);
    return;
  }
  const Millis delay = kDelayPerRank * static_cast<Millis>(this->OwnRank());
  this->delayed.push_back({ aNow + delay, copy });
  if (this->delayed.size() > kMaxDelayed) {
    this->delayed.pop_front();
  }
}

void
SummaryExchange::DistributeDelayed(Millis aNow)
{
  while (!this->delayed.empty() && aNow >= this->delayed.front().at) {
    const wire::DomainSummary summary = this->delayed.front().summary;
    this->delayed.pop_front();
    const HeldSummary* const held = this->summaries.Find(summary.domain);
    const bool isForwarded = std::ranges::any_of(
      held->stampsByRoot, [this, &summary](const auto& aItem) {
        return !aItem.first.empty() && aItem.first != this->config.host &&
               aItem.second >= summary.stamp;
      });
    if (!isForwarded) {
      this->Forward(summary);
    }
  }
}

void
SummaryExchange::HandleIntroduction(const wire::DomainSummary& aIntroduction,
                                    Millis aNow)
{
  // Only relays send requests over the region link; other members receive the
  // summaries from them.
  if (!this->IsRelay() || aIntroduction.contacts.empty()) {
    return;
  }
  this->summaries.AddContacts(aIntroduction, aNow - 2 * kRefreshInterval);
  this->refreshedAt.reset();
  const HeldSummary* const held = this->summaries.Find(aIntroduction.domain);
  if (held == nullptr || held->stamp > 0) {
    return;
  }
  wire::DomainSummary request;
  request.region = aIntroduction.region;
  request.domain = aIntroduction.domain;
  request.isRequest = true;
  const wire::MemberRecord& contact = aIntroduction.contacts.front();
  this->network.sendControl({ contact.address, contact.peerPort },
                            ToEnvelope(request));
}

bool
SummaryExchange::HasDifferentDigests(const wire::DomainSummary& aSummary) const
{
  return !aSummary.buckets.empty() &&
         aSummary.buckets != this->summaries.Digests(aSummary.domain);
}

void
SummaryExchange::AnswerRequest(SessionId aSession,
                               const wire::DomainSummary& aRequest)
{
  const wire::DomainSummary answer =
    this->summaries.DifferingServices(aRequest.domain, aRequest.buckets);
  if (answer.stamp == 0) {
    return;
  }
  this->budget.Spend(EncodedSize(answer));
  this->network.reply(aSession, ToEnvelope(answer));
}

void
SummaryExchange::RequestMissing(SessionId aSession,
                                const wire::DomainSummary& aSummary,
                                Millis aNow)
{
  const auto [position, isFirst] =
    this->requestedAt.try_emplace(aSummary.domain, aNow);
  if (!isFirst && aNow - position->second < kRequestInterval) {
    return;
  }
  position->second = aNow;
  wire::DomainSummary request;
  request.region = aSummary.region;
  request.domain = aSummary.domain;
  request.buckets = this->summaries.Digests(aSummary.domain);
  request.isRequest = true;
  this->network.reply(aSession, ToEnvelope(request));
}

void
SummaryExchange::Forward(const wire::DomainSummary& aSummary)
{
  // Suspects are left out: if one does not forward, the members below it in
  // the tree receive nothing.
  const auto children =
    TreeChildren(this->table.HostsInState(wire::MemberState::ALIVE),
                 aSummary.root,
                 this->config.host,
                 kSummaryFanout);
  for (const std::string& child : children) {
    if (const auto address = this->AddressOfMember(child)) {
      this->network.sendControl(*address, ToEnvelope(aSummary));
    }
  }
}

void
SummaryExchange::AnswerOtherDomain(SessionId aSession,
                                   const wire::MemberRecord& aSender,
                                   Millis aNow)
{
  if (this->IsRelay()) {
    wire::DomainSummary senderDomain;
    senderDomain.region = aSender.region;
    senderDomain.domain = aSender.domain;
    senderDomain.contacts.push_back(aSender);
    this->summaries.AddContacts(senderDomain, aNow - 2 * kRefreshInterval);
  }
  wire::DomainSummary answer;
  answer.region = this->config.region;
  answer.domain = this->config.domain;
  answer.contacts = this->OwnContacts();
  this->network.reply(aSession, ToEnvelope(answer));
}

void
SummaryExchange::SendAllTo(SessionId aSession)
{
  for (const auto& [domain, held] : this->summaries.Others()) {
    const wire::DomainSummary summary = this->summaries.ChangesSince(domain, 0);
    this->budget.Spend(EncodedSize(summary));
    this->network.reply(aSession, ToEnvelope(summary));
  }
}

void
SummaryExchange::HandleLoad(const wire::LoadReport& aReport)
{
  if (this->IsRelay()) {
    this->loads[aReport.host] = aReport;
  }
}

void
SummaryExchange::ReportLoad(const std::string& aService,
                            int aFreeSlots,
                            double aSlowdown)
{
  auto& services = this->ownLoad.services;
  auto load =
    std::ranges::find(services, aService, &wire::ServiceLoad::serviceName);
  if (load == services.end()) {
    load = services.emplace(services.end());
    load->serviceName = aService;
  }
  load->freeSlots = aFreeSlots;
  load->slowdownPercent = static_cast<int>(std::lround(aSlowdown * 100.0));
}

void
SummaryExchange::SendLoad(Millis aNow)
{
  if (this->ownLoad.services.empty()) {
    return;
  }
  const Millis waited = aNow - this->loadSentAt;
  const bool isChanged = this->ownLoad != this->sentLoad;
  const bool isDue =
    waited >= kLoadRepeatInterval || (isChanged && waited >= kLoadInterval);
  if (!isDue && this->loadSentTo == this->Relays()) {
    return;
  }
  this->loadSentAt = aNow;
  this->loadSentTo = this->Relays();
  this->sentLoad = this->ownLoad;
  wire::Envelope envelope;
  envelope.__set_loadReport(this->ownLoad);
  for (const std::string& relay : this->Relays()) {
    const auto address = this->AddressOfMember(relay);
    if (relay == this->config.host) {
      this->loads[relay] = this->ownLoad;
    } else if (address) {
      this->network.sendDatagram(*address, envelope);
    }
  }
}

} // namespace lacewingwharf
