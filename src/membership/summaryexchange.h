#pragma once

#include "common/random.h"
#include "membership/domainsummaries.h"
#include "membership/membershipconfig.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lacewingwharf {

class ByteBudget;
class MemberTable;

/**
 * Sends the summary of the own domain to the relays of the other domains, and
 * distributes the summaries of those domains along trees in the own domain.
 */
class SummaryExchange
{
public:
  SummaryExchange(const MembershipConfig& aConfig,
                  const MembershipHooks& aNetwork,
                  const MemberTable& aTable,
                  ByteBudget& aBudget,
                  Clock aWall);

  void Tick(Millis aNow);

  /**
   * Delays summaries of the own domain for a while, because this daemon's
   * records of the domain are outdated or incomplete.
   */
  void PostponeUpdates(Millis aNow);

  /**
   * Handles a summary or a request for one. aSession is 0 if there is no
   * session to reply to.
   */
  void Handle(SessionId aSession,
              const std::string& aFrom,
              const wire::DomainSummary& aSummary,
              Millis aNow);

  /** Stores the load of another host; ignored unless this is a relay. */
  void HandleLoad(const wire::LoadReport& aReport);

  /** Sets the load of a service on this host. */
  void ReportLoad(const std::string& aService,
                  int aFreeSlots,
                  double aSlowdown);

  /** Answers a daemon of another domain with the contacts of this domain. */
  void AnswerOtherDomain(SessionId aSession,
                         const wire::MemberRecord& aSender,
                         Millis aNow);

  /** Sends the summaries of all other domains to a daemon that has started. */
  void SendAllTo(SessionId aSession);

  /** The first live members of the own domain in rendezvous hashing order. */
  const std::vector<std::string>& Relays() const;
  bool IsRelay() const;

  /** A few members through which other domains reach the own domain. */
  std::vector<wire::MemberRecord> OwnContacts() const;

  const DomainSummaries& Summaries() const;

private:
  /** A summary to forward unless an earlier relay has done so by then. */
  struct Delayed
  {
    Millis at = 0;
    wire::DomainSummary summary;
  };

  void UpdateOwn(Millis aNow);
  void SendOwn(Millis aNow, bool aIsRefresh);
  void AnswerRequest(SessionId aSession, const wire::DomainSummary& aRequest);

  /** Handles a summary with stamp 0, which holds only contacts. */
  void HandleIntroduction(const wire::DomainSummary& aIntroduction,
                          Millis aNow);
  bool HasDifferentDigests(const wire::DomainSummary& aSummary) const;
  void RequestMissing(SessionId aSession,
                      const wire::DomainSummary& aSummary,
                      Millis aNow);
  void SkipCoveredChanges(const wire::DomainSummary& aSummary);
  void Distribute(const wire::DomainSummary& aSummary, Millis aNow);
  void DistributeDelayed(Millis aNow);
  void Forward(const wire::DomainSummary& aSummary);
  void SendLoad(Millis aNow);
  std::optional<PeerAddress> AddressOfMember(const std::string& aHost) const;
  std::size_t OwnRank() const;

  const MembershipConfig& config;
  const MembershipHooks& network;
  const MemberTable& table;
  ByteBudget& budget;
  Clock wall;
  DomainSummaries summaries;
  HostLoads loads;
  wire::LoadReport ownLoad;
  wire::LoadReport sentLoad;
  std::vector<std::string> loadSentTo;
  Millis loadSentAt = 0;
  Millis postponedUntil = 0;
  std::deque<Delayed> delayed;
  std::vector<wire::MemberRecord> sentContacts;
  std::optional<Millis> sentAt;
  std::optional<Millis> refreshedAt;
  std::int64_t sentStamp = 0;
  std::map<std::string, Millis> requestedAt;
  mutable std::uint64_t contactsVersion = ~0ULL;
  mutable std::vector<std::string> contacts;
  mutable std::vector<std::string> relays;
};

inline const DomainSummaries&
SummaryExchange::Summaries() const
{
  return this->summaries;
}

} // namespace lacewingwharf
