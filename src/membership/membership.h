#pragma once

#include "common/clock.h"
#include "common/random.h"
#include "membership/endpointregistry.h"
#include "membership/endpointview.h"
#include "membership/gossip.h"
#include "membership/membershipconfig.h"
#include "membership/membersyncer.h"
#include "membership/membertable.h"
#include "membership/summaryexchange.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lacewingwharf {

/**
 * What this daemon knows of all others and tells them of itself. Used by the
 * control thread only; Tick() is to be called about every 100 ms.
 */
class Membership
{
public:
  /** aWall stamps the incarnation and the own domain's summary. */
  Membership(MembershipConfig aConfig,
             Clock aClock,
             Clock aWall,
             Random aRandom,
             MembershipHooks aHooks);

  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  void Announce(const Announcement& aAnnouncement);
  void Withdraw(const std::string& aService, int aPort);

  /**
   * While this daemon cannot serve calls, members see its backend servers as
   * starting and send it none.
   */
  void SetServing(bool aIsServing);

  /** While the store turns this daemon away, others watch it instead. */
  void SetStoreLost(bool aIsStoreLost);

  /** Tells members of announcements at once instead of on the next tick. */
  void PublishChanges();
  void ReportLoad(const std::string& aService,
                  int aFreeSlots,
                  double aSlowdown);

  void Tick();
  void HandleDatagram(const PeerAddress& aFrom,
                      const wire::Envelope& aEnvelope);

  /** MemberSync and DomainSummary; others are ignored. */
  void HandleControl(SessionId aSession,
                     const std::string& aFromHost,
                     const wire::Envelope& aEnvelope);

  /** Takes a member from the store, unless it is known from itself. */
  void AddStoredMember(const wire::MemberRecord& aRecord);

  /** Tells the members that this daemon stops; nothing is sent afterwards. */
  void Leave();

  /** Sorted. Of another domain only its contacts are known. */
  std::vector<std::string> LiveHosts(const std::string& aDomain) const;

  /**
   * The contacts of every domain of the region, the own one included, so that
   * daemons of different domains compute a role's holder from the same hosts.
   */
  std::vector<std::string> ContactsOfRegion(const std::string& aRegion) const;

  /** Where the hosts of all domains are known. Sorted. */
  std::vector<std::string> HostsOfOwnRegion() const;

  /** Those of the own region; all of them while the store serves none. */
  std::vector<std::string> HostsWithStoreAccess() const;

  /** Members of the own domain and the contacts of the others. */
  std::vector<std::string> AllLiveHosts() const;

  std::optional<PeerAddress> AddressOf(const std::string& aHost) const;

  /** 0 when the host is not known. */
  std::int64_t IncarnationOf(const std::string& aHost) const;

  /** Rebuilt only when something changed. */
  EndpointViewPtr View();

  bool IsRelay() const;
  std::vector<std::string> Relays() const;
  const wire::MemberRecord& Self() const;
  const MemberTable& Table() const;
  const DomainSummaries& Summaries() const;

private:
  void PublishSelf(wire::MemberState::type aState);
  std::vector<wire::Endpoint> OwnEndpoints() const;
  void MergeRecord(const wire::MemberRecord& aRecord, Propagation aPropagation);
  void Refute(const wire::MemberRecord& aRecord);
  void StartSyncs(Millis aNow);
  void SendSync(const PeerAddress& aTo);
  std::vector<PeerAddress> Seeds() const;
  std::vector<PeerAddress> UnknownSeeds() const;
  std::optional<PeerAddress> RandomMember(wire::MemberState::type aState) const;
  void HandleSync(SessionId aSession, const wire::MemberSync& aSync);
  void AnswerSync(SessionId aSession, const wire::MemberSync& aRequest);
  void CompleteSync(SessionId aSession, const wire::MemberSync& aAnswer);

  MembershipConfig config;
  MembershipHooks hooks;
  Clock clock;
  Random random;
  wire::MemberRecord self;
  EndpointRegistry registry;
  MemberTable table;
  ByteBudget syncBudget;
  MemberSyncer syncer;
  Gossip gossip;
  SummaryExchange exchange;
  Millis startedAt = 0;
  Millis prunedAt = 0;
  bool isSelfDirty = true;
  bool isServing = true;
  bool hasLeft = false;
  std::uint64_t viewTableVersion = ~0ULL;
  std::uint64_t viewSummariesVersion = ~0ULL;
  EndpointViewPtr view;
};

inline const wire::MemberRecord&
Membership::Self() const
{
  return this->self;
}

inline const MemberTable&
Membership::Table() const
{
  return this->table;
}

inline const DomainSummaries&
Membership::Summaries() const
{
  return this->exchange.Summaries();
}

inline bool
Membership::IsRelay() const
{
  return this->exchange.IsRelay();
}

inline std::vector<std::string>
Membership::Relays() const
{
  return this->exchange.Relays();
}

} // namespace lacewingwharf
