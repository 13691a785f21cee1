// The part of Membership that synchronises the table with other members.

#include "membership/membership.h"

#include "common/log.h"
#include "membership/wiresize.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <string>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr Log kLog("membership");

// In a new fleet, no member knows all others at first. A daemon that has heard
// of no new one for this time knows all: its second sync is sent within 2.3 s
// of its start. The time since the start alone is no evidence: after 3 s, one
// of 80 daemons knew only 71.
constexpr Millis kNewFleetTime = 3000;

// A daemon without any seed is the first of its fleet after this time. One that
// synced, but lacks seeds, takes those for removed hosts.
constexpr Millis kMissingSeedTime = 10000;

// One of this many syncs chooses among the members of all regions.
constexpr std::uint64_t kOtherRegionSyncs = 8;

wire::Envelope
ToEnvelope(const wire::MemberSync& aSync)
{
  wire::Envelope envelope;
  envelope.__set_memberSync(aSync);
  return envelope;
}

PeerAddress
ToPeerAddress(const wire::MemberRecord& aRecord)
{
  return { aRecord.address, aRecord.peerPort };
}

} // namespace

std::vector<PeerAddress>
Membership::Seeds() const
{
  std::vector<PeerAddress> seeds = this->config.peers;
  if (this->hooks.seedPeers) {
    const auto more = this->hooks.seedPeers();
    seeds.insert(seeds.end(), more.begin(), more.end());
  }
  std::erase(seeds, ToPeerAddress(this->self));
  return seeds;
}

std::vector<PeerAddress>
Membership::UnknownSeeds() const
{
  std::vector<PeerAddress> seeds = this->Seeds();
  this->table.ForEach([&seeds](const wire::MemberRecord& aRecord) {
    if (IsLive(aRecord)) {
      std::erase(seeds, ToPeerAddress(aRecord));
    }
  });
  return seeds;
}

std::optional<PeerAddress>
Membership::RandomMember(wire::MemberState::type aState) const
{
  std::vector<std::string> hosts = this->table.HostsInState(aState);
  std::erase(hosts, this->config.host);
  if (hosts.empty()) {
    return std::nullopt;
  }
  const auto& host = hosts[RandomBelow(this->random, hosts.size())];
  return ToPeerAddress(*this->table.Find(host));
}

/**
 * A random live member, mostly of the own region: an answer to a daemon that
 * starts contains all records, and the link between regions is narrow.
 */
std::optional<PeerAddress>
Membership::SyncPartner() const
{
  const auto& byRegion = this->table.LiveHostsByRegion();
  const auto own = byRegion.find(this->config.region);
  const bool isAlone = own == byRegion.end() || own->second.size() < 2;
  if (isAlone || RandomBelow(this->random, kOtherRegionSyncs) == 0) {
    return this->RandomMember(wire::MemberState::ALIVE);
  }
  std::vector<std::string> hosts = own->second;
  std::erase(hosts, this->config.host);
  const auto& host = hosts[RandomBelow(this->random, hosts.size())];
  return ToPeerAddress(*this->table.Find(host));
}

void
Membership::StartSyncs(Millis aNow)
{
  if (!this->syncer.IsDue(aNow)) {
    return;
  }
  if (const auto member = this->SyncPartner()) {
    this->SendSync(*member);
  }
  const bool isSearching = !this->syncer.HasSynced();
  if (!isSearching && !this->IsRelay()) {
    return;
  }
  // Relays also sync with dead members and unknown seeds, because these may
  // have been on the other side of a partition that has ended. A daemon that
  // has not synced yet does so as well, because it may know no live member.
  if (const auto dead = this->RandomMember(wire::MemberState::DEAD)) {
    this->SendSync(*dead);
  }
  if (const auto seed = this->NextSeed()) {
    this->SendSync(*seed);
  }
}

/**
 * A random seed that is not a known member. None is chosen again before all
 * were, because most may be of other failure domains.
 */
std::optional<PeerAddress>
Membership::NextSeed()
{
  const auto unknown = this->UnknownSeeds();
  if (unknown.empty()) {
    this->triedSeeds.clear();
    return std::nullopt;
  }
  std::vector<PeerAddress> left;
  std::ranges::copy_if(
    unknown, std::back_inserter(left), [this](const PeerAddress& aSeed) {
      return !this->triedSeeds.contains(aSeed);
    });
  if (left.empty()) {
    this->triedSeeds.clear();
    left = unknown;
  }
  const PeerAddress seed = left[RandomBelow(this->random, left.size())];
  this->triedSeeds.insert(seed);
  return seed;
}

void
Membership::SendSync(const PeerAddress& aTo)
{
  this->hooks.sendControl(aTo, ToEnvelope(this->syncer.Request(this->table)));
}

void
Membership::HandleSync(SessionId aSession, const wire::MemberSync& aSync)
{
  if (aSync.isReply) {
    this->CompleteSync(aSession, aSync);
  } else if (!aSync.records.empty()) {
    this->AnswerSync(aSession, aSync);
  }
}

void
Membership::AnswerSync(SessionId aSession, const wire::MemberSync& aRequest)
{
  const wire::MemberRecord& sender = aRequest.records.front();
  if (!this->config.isFleetWide && sender.domain != this->config.domain) {
    this->exchange.AnswerOtherDomain(aSession, sender, this->clock.Now());
    return;
  }
  const bool isFirstSync = aRequest.buckets.empty();
  this->MergeRecord(sender, Propagation::Gossip);
  if (!this->syncBudget.IsAvailable(this->clock.Now())) {
    this->hooks.reply(aSession,
                      ToEnvelope(this->syncer.BusyAnswer(this->table)));
    return;
  }
  wire::MemberSync answer = MemberSyncer::AnswerTo(aRequest, this->table);
  answer.__set_isComplete(this->isComplete);
  this->syncBudget.Spend(EncodedSize(answer));
  this->hooks.reply(aSession, ToEnvelope(answer));
  if (isFirstSync) {
    this->exchange.SendAllTo(aSession);
  }
}

void
Membership::CompleteSync(SessionId aSession, const wire::MemberSync& aAnswer)
{
  const bool isFirst = !this->syncer.HasSynced();
  const auto rest =
    this->syncer.Complete(aAnswer, this->table, this->clock.Now());
  if (rest) {
    this->hooks.reply(aSession, ToEnvelope(*rest));
  }
  for (const wire::MemberRecord& record : aAnswer.records) {
    this->MergeRecord(record,
                      isFirst ? Propagation::None : Propagation::Gossip);
  }
  if (isFirst && this->syncer.HasSynced()) {
    // Publishes the own record again, now to the members that were just added.
    this->isSelfDirty = true;
  }
  if (!aAnswer.isComplete || aAnswer.retryAfterMillis > 0) {
    return;
  }
  if (isFirst) {
    this->RemoveReplacedMembers(aAnswer);
  }
  if (!this->isComplete) {
    this->SetComplete("sync");
  }
}

/**
 * The first answer contains all records. Members from the store that are not
 * among them were replaced long ago; a record of another daemon always has a
 * sequence.
 */
void
Membership::RemoveReplacedMembers(const wire::MemberSync& aAnswer)
{
  this->hasMembersBySync = true;
  std::set<std::string> stored;
  this->table.ForEach([&stored](const wire::MemberRecord& aRecord) {
    if (aRecord.sequence == 0) {
      stored.insert(aRecord.host);
    }
  });
  for (const wire::MemberRecord& record : aAnswer.records) {
    stored.erase(record.host);
  }
  stored.erase(this->config.host);
  for (const std::string& host : stored) {
    this->table.Remove(host);
  }
}

/**
 * Whether the members are known without an answer of a member that knows them.
 * On a site, only the list in the store proves it, because daemons that are cut
 * off and restart together know nobody else either.
 */
bool
Membership::KnowsAllMembers(Millis aNow)
{
  if (this->hooks.hasStoredMembers) {
    return this->hooks.hasStoredMembers();
  }
  if (std::exchange(this->knownMembers, this->table.Size()) !=
      this->table.Size()) {
    this->grownAt = aNow;
  }
  if (aNow - this->grownAt < kNewFleetTime) {
    return false;
  }
  const Millis age = aNow - this->startedAt;
  if (!this->syncer.HasSynced()) {
    return age >= kMissingSeedTime && this->Seeds().empty();
  }
  return age >= kMissingSeedTime || this->UnknownSeeds().empty();
}

void
Membership::SetComplete(const char* aEvidence)
{
  this->isComplete = true;
  kLog.Decision(
    "members-known", "count={} evidence={}", this->table.Size(), aEvidence);
}

} // namespace lacewingwharf
