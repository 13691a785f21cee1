#pragma once

#include "catalogue/entry.h"
#include "peer_types.h"
#include "usage/usagepool.h"
#include "usage/usagetimes.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace lacewingwharf {

/**
 * Pools the halves that members lend to this daemon and grants tokens from
 * them. Designed for 300 lenders, 83 teams and 1,600 requests a second.
 */
class UsageAccountant
{
public:
  UsageAccountant(std::string aHost,
                  std::int64_t aIncarnation,
                  UsageTimes aTimes,
                  Millis aNow);

  /**
   * Teams without a cap are ignored. A team that is new gets the tokens that
   * its pool would have if the team had been there before, without calls.
   */
  void SetTeams(const std::vector<const Entry*>& aTeams, Millis aNow);

  /** Sets the number of members by which this daemon itself divides caps. */
  void SetMembers(int aMembers, Millis aNow);

  wire::UsageGrant Handle(const wire::UsageRequest& aRequest, Millis aNow);

  /** Ends the loans that are over. */
  void Advance(Millis aNow);

  /** Number of lenders that lend a half of the group. */
  int LoansOf(int aGroup) const;

  /** The pool of a team, or null when the team has no cap. */
  UsagePool* FindPool(const std::string& aTeam);

  /** Like FindPool(), with the tokens of the time until aNow. */
  UsagePool* CurrentPool(const std::string& aTeam, Millis aNow);
  double ShareOf(int aGroup) const;

private:
  struct Lender
  {
    std::int64_t incarnation = 0;
    std::int64_t highestIncarnation = 0;
    std::int64_t sequence = 0; // Of the newest request.
    Millis newestAt = 0;       // When that request arrived.
    int members = 0;
    Millis seenAt = 0;
    std::array<Millis, kUsageLoans> until{};
  };

  struct Team
  {
    int group = 0;
    UsagePool pool;
  };

  /** A value of the share of a group. */
  struct ShareChange
  {
    UsageShare share;
    Millis at = 0;
  };

  /** Members that lend or will lend, per member that lends. */
  struct Growth
  {
    double value = 1;
    Millis at = 0; // When it was counted; 0 for never.
  };

  struct RemovedTeam
  {
    Team team;
    Millis removedAt = 0;
  };

  Team TakeTeam(const std::string& aName);
  void KeepRemovedTeams(const std::map<std::string, Team>& aTeams, Millis aNow);
  void RefillNewPool(Team& aTeam, Millis aNow) const;
  void RecordShare(int aGroup, Millis aNow);
  double ExpectedGrowth(int aGroup, Millis aNow);
  bool IsNew(const Lender& aLender, const wire::UsageRequest& aRequest) const;
  bool UpdateLender(const wire::UsageRequest& aRequest, Millis aNow);
  void AddLoans(const wire::UsageRequest& aRequest, Millis aNow);
  using Shares = std::array<double, kUsageGroups>;

  void UpdateShares(Millis aNow);
  Shares CountLoans(Millis aNow);
  void SetShares(const Shares& aShares, Millis aNow);
  void AdvancePools(int aGroup, Millis aNow);
  void RemoveOldLenders(Millis aNow);

  std::string host;
  std::int64_t incarnation;
  UsageTimes times;

  /** Tokens of an earlier process of this host have ended by then. */
  Millis lendableAt;
  Millis advancedAt;
  Millis nextEnd = 0; // Of a loan; 0 when there is none.
  int ownMembers = 1;
  std::map<std::string, Lender> lenders; // By host.
  std::array<int, kUsageGroups> loans{};
  std::array<UsageShare, kUsageGroups> shares{};
  std::array<Growth, kUsageGroups> growths{};
  std::map<std::string, Team> teams;
  std::map<std::string, RemovedTeam> removedTeams;
  std::array<std::deque<ShareChange>, kUsageGroups> history; // By time.
};

inline int
UsageAccountant::LoansOf(int aGroup) const
{
  return this->loans[static_cast<std::size_t>(aGroup)];
}

inline double
UsageAccountant::ShareOf(int aGroup) const
{
  return this->shares[static_cast<std::size_t>(aGroup)].share;
}

} // namespace lacewingwharf
