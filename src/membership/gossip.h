#pragma once

#include "common/random.h"
#include "membership/failuredetector.h"
#include "membership/membershipconfig.h"
#include "membership/recordpush.h"
#include "membership/updatequeue.h"

#include <map>
#include <string>
#include <vector>

namespace lacewingwharf {

class MemberTable;

/** How a merged record is forwarded to other members. */
enum class Propagation
{
  None,   // Not forwarded; other members receive it in another way.
  Gossip, // Piggybacked on pings and acks.
  Tree    // Pushed at once along the trees, and piggybacked.
};

struct GossipHooks
{
  /** Merges a received record, or one whose state was set by this daemon. */
  std::function<void(const wire::MemberRecord&, Propagation)> merge;
};

/**
 * Sends and handles the datagrams within a failure domain: pings with
 * piggybacked updates, indirect pings and pushes of urgent updates.
 */
class Gossip
{
public:
  Gossip(const MembershipConfig& aConfig,
         const MembershipHooks& aNetwork,
         const MemberTable& aTable,
         Random aRandom,
         GossipHooks aHooks);

  /** True if the process paused since the last tick. */
  bool Tick(Millis aNow);

  /** Sends the era of the store to a member without waiting for a ping. */
  void SendStoreEra(const std::string& aHost);

  void HandleDatagram(const PeerAddress& aFrom,
                      const wire::Envelope& aEnvelope,
                      Millis aNow);

  /**
   * Updates the failure detector and queues the record for forwarding. Called
   * for every record that changed in the table.
   */
  void HandleRecordChange(const wire::MemberRecord& aRecord,
                          Propagation aPropagation,
                          Millis aNow);

  /** Sends the records that wait to be pushed along the trees. */
  void FlushPushes();

private:
  /** A ping on behalf of the member at origin, which receives the ack. */
  struct IndirectPing
  {
    PeerAddress origin;
    std::int64_t sequence = 0;
    Millis expiresAt = 0;
  };

  FailureDetectorHooks MakeDetectorHooks();
  void SendTo(const std::string& aHost, const wire::Envelope& aEnvelope);
  void SendPing(const std::string& aHost, std::int64_t aSequence);
  void SendAck(const PeerAddress& aTo, std::int64_t aSequence);
  void SendPingRequest(const std::string& aVia,
                       const std::string& aTarget,
                       std::int64_t aSequence);
  void DeclareState(const std::string& aHost, wire::MemberState::type aState);
  void HandlePing(const PeerAddress& aFrom, const wire::Ping& aPing);
  void HandleAck(const wire::Ack& aAck);
  void HandlePingRequest(const PeerAddress& aFrom,
                         const wire::PingRequest& aRequest,
                         Millis aNow);
  void ForwardAck(const wire::Ack& aAck);
  void ApplyUpdates(const std::string& aHost,
                    std::int64_t aVersion,
                    const std::vector<wire::MemberRecord>& aUpdates,
                    const std::vector<wire::QuarantineMark>& aCrashReports,
                    Propagation aPropagation);
  void ReportPeerContent(const std::string& aHost,
                         std::int64_t aVersion,
                         std::int32_t aContentHash);

  template<typename Message>
  void FillStoreEra(Message& aMessage) const;
  template<typename Message>
  void ReportPeerStoreEra(const Message& aMessage);
  template<typename Message>
  void FillGossipFields(Message& aMessage);

  const MembershipConfig& config;
  const MembershipHooks& network;
  const MemberTable& table;
  GossipHooks hooks;
  FailureDetector detector;
  UpdateQueue queue;
  RecordPush pushes;
  std::map<std::int64_t, IndirectPing> indirectPings;
};

} // namespace lacewingwharf
