#include "membership/gossip.h"

#include "membership/membertable.h"
#include "membership/wiresize.h"

#include <algorithm>
#include <utility>

namespace lacewingwharf {

namespace {

// Crash reports per datagram; further ones are sent with later datagrams.
constexpr std::size_t kMaxCrashReports = 8;

// Bounds the memory that peers can occupy with ping requests.
constexpr std::size_t kMaxIndirectPings = 256;

bool
IsDeclared(const wire::MemberRecord& aRecord)
{
  return aRecord.state == wire::MemberState::SUSPECT ||
         aRecord.state == wire::MemberState::DEAD;
}

PeerAddress
ToPeerAddress(const wire::MemberRecord& aRecord)
{
  return { aRecord.address, aRecord.peerPort };
}

} // namespace

Gossip::Gossip(const MembershipConfig& aConfig,
               const MembershipHooks& aNetwork,
               const MemberTable& aTable,
               Random aRandom,
               GossipHooks aHooks)
  : config(aConfig)
  , network(aNetwork)
  , table(aTable)
  , hooks(std::move(aHooks))
  , detector({ aConfig.host,
               aConfig.region,
               aConfig.gossipInterval,
               aConfig.suspicionTime },
             std::move(aRandom),
             this->MakeDetectorHooks())
{
}

FailureDetectorHooks
Gossip::MakeDetectorHooks()
{
  FailureDetectorHooks detectorHooks;
  detectorHooks.ping = [this](const auto& aHost, auto aSequence) {
    this->SendPing(aHost, aSequence);
  };
  detectorHooks.pingRequest =
    [this](const auto& aVia, const auto& aTarget, auto aSequence) {
      this->SendPingRequest(aVia, aTarget, aSequence);
    };
  detectorHooks.suspect = [this](const auto& aHost) {
    this->DeclareState(aHost, wire::MemberState::SUSPECT);
  };
  detectorHooks.declareDead = [this](const auto& aHost) {
    this->DeclareState(aHost, wire::MemberState::DEAD);
  };
  return detectorHooks;
}

bool
Gossip::Tick(Millis aNow)
{
  std::erase_if(this->indirectPings, [aNow](const auto& aItem) {
    return aNow >= aItem.second.expiresAt;
  });
  const bool hasPaused = this->detector.Tick(aNow, this->table);
  this->FlushPushes();
  return hasPaused;
}

void
Gossip::HandleRecordChange(const wire::MemberRecord& aRecord,
                           Propagation aPropagation,
                           Millis aNow)
{
  const bool endsSuspicion = this->detector.IsSuspected(aRecord.host);
  this->detector.UpdateSuspicion(aRecord, aNow);
  if (aPropagation == Propagation::None) {
    return;
  }
  if (aPropagation == Propagation::Tree) {
    this->pushes.Add(aRecord);
  }
  // A member pushes its own changes to all others. Faults that other members
  // declare are not pushed and depend on the gossip. A member that misses the
  // end of a suspicion would keep the suspect until its next sync.
  if (IsDeclared(aRecord) || endsSuspicion) {
    this->queue.Add(aRecord);
  } else {
    this->queue.AddPushed(aRecord);
  }
}

void
Gossip::FlushPushes()
{
  const auto byChild = this->pushes.Take(this->table.LiveHostsByRegion(),
                                         this->config.region,
                                         this->config.host,
                                         this->config.fanout);
  for (const auto& [child, records] : byChild) {
    for (const auto& group : SplitBySize(records, kMaxRecordBytes)) {
      // A push is an ack with sequence 0; the sequences of pings start at 1.
      wire::Ack push;
      push.host = this->config.host;
      push.updates = group;
      wire::Envelope envelope;
      envelope.__set_ack(push);
      this->SendTo(child, envelope);
    }
  }
}

template<typename Message>
void
Gossip::FillStoreEra(Message& aMessage) const
{
  const auto era =
    this->network.ownStoreEra ? this->network.ownStoreEra() : std::nullopt;
  if (era) {
    aMessage.__set_storeEra(*era);
  }
}

void
Gossip::SendStoreEra(const std::string& aHost)
{
  wire::Ack push; // With sequence 0, like FlushPushes().
  push.host = this->config.host;
  this->FillStoreEra(push);
  wire::Envelope envelope;
  envelope.__set_ack(push);
  this->SendTo(aHost, envelope);
}

template<typename Message>
void
Gossip::ReportPeerStoreEra(const Message& aMessage)
{
  if (this->network.onPeerStoreEra && aMessage.__isset.storeEra) {
    this->network.onPeerStoreEra(aMessage.storeEra);
  }
}

template<typename Message>
void
Gossip::FillGossipFields(Message& aMessage)
{
  aMessage.host = this->config.host;
  aMessage.version = this->network.ownVersion ? this->network.ownVersion() : 0;
  if (this->network.ownContentHash) {
    aMessage.contentHash = this->network.ownContentHash();
  }
  this->FillStoreEra(aMessage);
  if (this->network.takeCrashReports) {
    aMessage.marks = this->network.takeCrashReports();
    aMessage.marks.resize(std::min(aMessage.marks.size(), kMaxCrashReports));
  }
  const std::size_t used = EncodedSize(aMessage) + kDatagramHeaderBytes;
  const std::size_t left =
    kMaxDatagramBytes - std::min(used, kMaxDatagramBytes);
  aMessage.updates = this->queue.Take(left, this->table.LiveHosts().size());
}

void
Gossip::SendTo(const std::string& aHost, const wire::Envelope& aEnvelope)
{
  if (const wire::MemberRecord* const record = this->table.Find(aHost)) {
    this->network.sendDatagram(ToPeerAddress(*record), aEnvelope);
  }
}

void
Gossip::SendPing(const std::string& aHost, std::int64_t aSequence)
{
  wire::Ping ping;
  ping.sequence = aSequence;
  this->FillGossipFields(ping);
  wire::Envelope envelope;
  envelope.__set_ping(ping);
  this->SendTo(aHost, envelope);
}

void
Gossip::SendAck(const PeerAddress& aTo, std::int64_t aSequence)
{
  wire::Ack ack;
  ack.sequence = aSequence;
  this->FillGossipFields(ack);
  wire::Envelope envelope;
  envelope.__set_ack(ack);
  this->network.sendDatagram(aTo, envelope);
}

void
Gossip::SendPingRequest(const std::string& aVia,
                        const std::string& aTarget,
                        std::int64_t aSequence)
{
  wire::PingRequest request;
  request.sequence = aSequence;
  request.host = this->config.host;
  request.target = aTarget;
  wire::Envelope envelope;
  envelope.__set_pingRequest(request);
  this->SendTo(aVia, envelope);
}

void
Gossip::DeclareState(const std::string& aHost, wire::MemberState::type aState)
{
  const wire::MemberRecord* const record = this->table.Find(aHost);
  if (record == nullptr || record->state >= aState) {
    return;
  }
  wire::MemberRecord declared = *record;
  declared.state = aState;
  this->hooks.merge(declared, Propagation::Gossip);
}

void
Gossip::HandleDatagram(const PeerAddress& aFrom,
                       const wire::Envelope& aEnvelope,
                       Millis aNow)
{
  if (aEnvelope.__isset.ping) {
    this->HandlePing(aFrom, aEnvelope.ping);
  } else if (aEnvelope.__isset.ack) {
    this->HandleAck(aEnvelope.ack);
  } else if (aEnvelope.__isset.pingRequest) {
    this->HandlePingRequest(aFrom, aEnvelope.pingRequest, aNow);
  }
}

void
Gossip::HandlePing(const PeerAddress& aFrom, const wire::Ping& aPing)
{
  this->ApplyUpdates(
    aPing.host, aPing.version, aPing.updates, aPing.marks, Propagation::Gossip);
  this->ReportPeerContent(aPing.host, aPing.version, aPing.contentHash);
  this->ReportPeerStoreEra(aPing);
  const wire::MemberRecord* const sender = this->table.Find(aPing.host);
  if (sender != nullptr && sender->state != wire::MemberState::ALIVE) {
    // The ack carries this record to the sender, so that it can refute it.
    this->queue.Add(*sender);
  }
  this->SendAck(aFrom, aPing.sequence);
}

void
Gossip::HandleAck(const wire::Ack& aAck)
{
  const bool isPush = aAck.sequence == 0;
  this->ApplyUpdates(aAck.host,
                     aAck.version,
                     aAck.updates,
                     aAck.marks,
                     isPush ? Propagation::Tree : Propagation::Gossip);
  this->ReportPeerContent(aAck.host, aAck.version, aAck.contentHash);
  this->ReportPeerStoreEra(aAck);
  if (!isPush) {
    this->detector.HandleProbeAck(aAck.host, aAck.sequence);
    this->ForwardAck(aAck);
  }
}

void
Gossip::HandlePingRequest(const PeerAddress& aFrom,
                          const wire::PingRequest& aRequest,
                          Millis aNow)
{
  if (this->indirectPings.size() >= kMaxIndirectPings) {
    return;
  }
  const std::int64_t sequence = this->detector.NextSequence();
  this->indirectPings[sequence] = { aFrom,
                                    aRequest.sequence,
                                    aNow + this->config.gossipInterval };
  this->SendPing(aRequest.target, sequence);
}

void
Gossip::ForwardAck(const wire::Ack& aAck)
{
  const auto indirectPing = this->indirectPings.find(aAck.sequence);
  if (indirectPing == this->indirectPings.end()) {
    return;
  }
  wire::Ack forwarded;
  forwarded.sequence = indirectPing->second.sequence;
  forwarded.host = aAck.host;
  forwarded.version = aAck.version;
  forwarded.contentHash = aAck.contentHash;
  wire::Envelope envelope;
  envelope.__set_ack(forwarded);
  this->network.sendDatagram(indirectPing->second.origin, envelope);
  this->indirectPings.erase(indirectPing);
}

void
Gossip::ApplyUpdates(const std::string& aHost,
                     std::int64_t aVersion,
                     const std::vector<wire::MemberRecord>& aUpdates,
                     const std::vector<wire::QuarantineMark>& aCrashReports,
                     Propagation aPropagation)
{
  for (const wire::MemberRecord& update : aUpdates) {
    this->hooks.merge(update, aPropagation);
  }
  if (this->network.mergeCrashReports && !aCrashReports.empty()) {
    this->network.mergeCrashReports(aCrashReports);
  }
  if (this->network.onPeerVersion && aVersion > 0) {
    this->network.onPeerVersion(aHost, aVersion);
  }
}

void
Gossip::ReportPeerContent(const std::string& aHost,
                          std::int64_t aVersion,
                          std::int32_t aContentHash)
{
  if (this->network.onPeerContent && aVersion > 0 && aContentHash != 0) {
    this->network.onPeerContent(aHost, aVersion, aContentHash);
  }
}

} // namespace lacewingwharf
