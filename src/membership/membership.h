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
#include <set>
#include <string>
#include <vector>

namespace lacewingwharf {

/**
 * The membership protocol of one daemon: publishes the daemon's own record and
 * backend servers, and collects those of all others. Used by the control
 * thread only, which calls Tick() about every 100 ms.
 */
class Membership
{
public:
  /** aWall supplies the incarnation and the stamps of the own summary. */
  Membership(MembershipConfig aConfig,
             Clock aClock,
             Clock aWall,
             Random aRandom,
             MembershipHooks aHooks);

  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  /** Adds, updates or renews a backend server on this host. */
  void Announce(const Announcement& aAnnouncement);
  void Withdraw(const std::string& aService, int aPort);

  /**
   * Sets whether this daemon can serve calls. While it cannot, it publishes its
   * ready backend servers as starting, so other daemons send it no calls.
   */
  void SetServing(bool aIsServing);

  /**
   * Publishes whether the store rejects this daemon, so that other daemons
   * watch the store in its place.
   */
  void SetStoreLost(bool aIsStoreLost);

  /**
   * Sends the era of the store to some random members at once; for use when
   * this daemon has learned of a higher one. The others get it with the next
   * pings.
   */
  void SpreadStoreEra();

  /** Publishes changed announcements at once instead of on the next tick. */
  void PublishChanges();

  /** Sets the load of a service on this host, for the domain's summary. */
  void ReportLoad(const std::string& aService,
                  int aFreeSlots,
                  double aSlowdown);

  void Tick();
  void HandleDatagram(const PeerAddress& aFrom,
                      const wire::Envelope& aEnvelope);

  /** Handles MemberSync and DomainSummary; ignores other messages. */
  void HandleControl(SessionId aSession,
                     const std::string& aFromHost,
                     const wire::Envelope& aEnvelope);

  /** Adds a member read from the store, unless it is already known. */
  void AddStoredMember(const wire::MemberRecord& aRecord);

  /** Publishes that this daemon stops; afterwards it sends nothing more. */
  void Leave();

  /** Live hosts of a domain, sorted; only the contacts of another domain. */
  std::vector<std::string> LiveHosts(const std::string& aDomain) const;

  /**
   * The contacts of every domain of the region, including the own domain. For
   * the own domain, other members are left out: daemons of different domains
   * must compute the holder of a role from the same hosts.
   */
  std::vector<std::string> ContactsOfRegion(const std::string& aRegion) const;

  /**
   * Live hosts of the own region, sorted. Complete only if full records of all
   * domains are kept.
   */
  std::vector<std::string> HostsOfOwnRegion() const;

  /**
   * Hosts of the own region that the store does not reject, or all hosts of the
   * region if it rejects all of them.
   */
  std::vector<std::string> HostsWithStoreAccess() const;

  /** Live members of the own domain and contacts of the others, sorted. */
  std::vector<std::string> AllLiveHosts() const;

  std::optional<PeerAddress> AddressOf(const std::string& aHost) const;

  /** 0 if the host is not known. */
  std::int64_t IncarnationOf(const std::string& aHost) const;

  /** Rebuilds the view only if a record or summary has changed. */
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
  std::optional<PeerAddress> NextSeed();
  std::optional<PeerAddress> RandomMember(wire::MemberState::type aState) const;
  std::optional<PeerAddress> SyncPartner() const;
  void HandleSync(SessionId aSession, const wire::MemberSync& aSync);
  void AnswerSync(SessionId aSession, const wire::MemberSync& aRequest);
  void CompleteSync(SessionId aSession, const wire::MemberSync& aAnswer);
  bool KnowsAllMembers(Millis aNow);
  void SetComplete(const char* aEvidence);
  void RemoveReplacedMembers(const wire::MemberSync& aAnswer);

  MembershipConfig config;
  MembershipHooks hooks;
  Clock clock;
  Clock wall;
  Random random;
  wire::MemberRecord self;
  EndpointRegistry registry;
  MemberTable table;
  ByteBudget syncBudget;
  MemberSyncer syncer;
  Gossip gossip;
  SummaryExchange exchange;
  std::set<PeerAddress> triedSeeds; // Asked since all unknown ones were.
  Millis startedAt = 0;
  Millis prunedAt = 0;
  bool isComplete = false;       // All members of the own group are known.
  bool hasMembersBySync = false; // A complete member has told them.
  std::size_t knownMembers = 0;  // While it is not complete.
  Millis grownAt = 0;            // When the last of them was added.
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
