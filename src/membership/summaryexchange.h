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
 * Sends the own domain's summary to the feeders of the other domains, and
 * theirs down the trees of the own domain.
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

  /** What is known of the own domain is old or incomplete. */
  void PostponeUpdates(Millis aNow);

  /** aSession is 0 when there is nobody to reply to. */
  void Handle(SessionId aSession,
              const std::string& aFrom,
              const wire::DomainSummary& aSummary,
              Millis aNow);
  void HandleLoad(const wire::LoadReport& aReport);
  void ReportLoad(const std::string& aService,
                  int aFreeSlots,
                  double aSlowdown);

  /** Answers a daemon of another domain with whom to ask in this one. */
  void AnswerOtherDomain(SessionId aSession,
                         const wire::MemberRecord& aSender,
                         Millis aNow);

  /** Everything known of other domains, for a daemon that just started. */
  void SendAllTo(SessionId aSession);

  /** The first live members in rendezvous hashing order. */
  const std::vector<std::string>& Relays() const;
  bool IsRelay() const;

  /** A few members that represent the own domain to the others. */
  std::vector<wire::MemberRecord> OwnContacts() const;

  const DomainSummaries& Summaries() const;

private:
  /** A summary that the first feeder should have passed on by then. */
  struct Delayed
  {
    Millis at = 0;
    wire::DomainSummary summary;
  };

  void UpdateOwn(Millis aNow);
  void SendOwn(Millis aNow, bool aIsRefresh);
  void AnswerRequest(SessionId aSession, const wire::DomainSummary& aRequest);
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
