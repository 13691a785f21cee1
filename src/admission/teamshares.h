#pragma once

#include "catalogue/snapshot.h"

#include <map>
#include <string>
#include <string_view>

namespace lacewingwharf {

/** Usage of a team and its share of what all teams use, both in slots. */
struct TeamStanding
{
  double used = 0;
  double share = 0;

  /** used divided by share, with some calls more in the share. */
  double ratio = 0;
};

/**
 * Tracks the slots of one backend server that each team uses, and compares them
 * with the team's share.
 *
 * The usage is the mean number of slots over the last seconds, with exponential
 * decay. The share is what the other teams use for their weights, times the
 * weight of the team; what a team leaves is thereby divided among the others.
 * The weight is the cap of the team. Teams without a cap have the mean of all
 * caps.
 *
 * A server with 6 slots gets a fiftieth of the calls of 83 teams, so most teams
 * have less than one call here in the time of the decay. Some calls are
 * therefore added to each share.
 */
class TeamShares
{
public:
  void SetTeams(const Snapshot& aSnapshot);

  /** Must be called with the present time before the other functions. */
  void Advance(double aNow);

  /** Counts the team among those that share slots. */
  void AddDemand(const std::string& aTeam);

  /** Take and free a slot. AddDemand() must have been called. */
  void Start(const std::string& aTeam);
  void Finish(const std::string& aTeam);

  int RunningOf(std::string_view aTeam) const;

  /**
   * Calls that run or wait count as a call of aServiceMillis each, in addition
   * to the time for which they have run.
   */
  TeamStanding StandingOf(std::string_view aTeam,
                          double aServiceMillis,
                          int aWaiting = 0) const;

  /** Number of teams with state. */
  std::size_t Size() const;

private:
  struct Usage
  {
    double weight = 1;
    double slots = 0; // Decaying mean.
    int running = 0;
    double seenAt = 0;
  };

  double WeightOf(std::string_view aTeam) const;
  void RemoveIdle();

  std::map<std::string, double, std::less<>> weights;
  double otherWeight = 1;
  std::map<std::string, Usage, std::less<>> usages;
  double now = 0;
  double idleCheckAt = 0;
};

/**
 * 0 for a team that is at its share or below. Teams further above their shares
 * have higher levels; teams with the same level count as equal.
 */
int
LevelOf(const TeamStanding& aStanding);

inline std::size_t
TeamShares::Size() const
{
  return this->usages.size();
}

} // namespace lacewingwharf
