// What callers of each team get when the slots of a service are short.

#include "admission/teamload.h"

#include <criterion/criterion.h>

#include <cstdio>

using namespace lacewingwharf;
using namespace lacewingwharf::testing;

namespace {

// The smallest team of a run has some 400 calls. If half of them are served,
// the deviation is 5% of the mean, and the worst tenth of 82 teams is expected
// 1.7 deviations below it. The rest of the shares must be kept.
constexpr double kKeptByWorstTenth = 0.9;

// All others together have over 100,000 calls, so chance plays no part.
constexpr double kKeptByOthers = 0.95;

// Two runs of 240,000 calls with the same load differ by less than 1%.
constexpr double kKeptWork = 0.97;

// The requirement: no team is served less than a quarter as well as all are.
constexpr double kLeastOfMean = 0.25;

struct LoadResult
{
  double all = 0;         // Served fraction of all calls.
  double greedy = 0;      // Served fraction of the greedy team.
  double others = 0;      // Served fraction of the others.
  double othersShare = 0; // The same if each gets its share.
  double worstTenth = 0;  // Served fraction of the worst-served others.
  double worstTenthShare = 0;
  double least = 1; // Served fraction of the worst-served of all teams.
};

/**
 * Returns the calls a second that each team gets when aServed are divided by
 * the weights and what a team leaves is divided among the others.
 */
std::vector<double>
SharesOf(const std::vector<LoadTeam>& aTeams, double aServed, bool aHasCaps)
{
  std::vector<double> shares(aTeams.size(), 0);
  std::vector<bool> isSatisfied(aTeams.size(), false);
  double left = aServed;
  for (std::size_t round = 0; round < aTeams.size(); ++round) {
    double weights = 0;
    for (std::size_t index = 0; index < aTeams.size(); ++index) {
      weights += isSatisfied[index] ? 0
                 : aHasCaps         ? aTeams[index].usualPerSecond
                                    : 1;
    }
    bool isChanged = false;
    const double perWeight = left / weights;
    for (std::size_t index = 0; index < aTeams.size(); ++index) {
      const double weight = aHasCaps ? aTeams[index].usualPerSecond : 1;
      const double offered = aTeams[index].offeredPerSecond;
      if (isSatisfied[index]) {
        continue;
      }
      shares[index] = weight * perWeight;
      if (offered <= shares[index]) {
        shares[index] = offered;
        isSatisfied[index] = true;
        left -= offered;
        isChanged = true;
      }
    }
    if (!isChanged) {
      break;
    }
  }
  return shares;
}

double
Ratio(double aPart, double aWhole)
{
  return aWhole == 0 ? 1 : aPart / aWhole;
}

LoadResult
ResultOf(const TeamLoad& aLoad, const LoadPlan& aPlan)
{
  const auto& teams = aLoad.teams;
  LoadResult result;
  std::vector<std::size_t> others;
  const double served = std::accumulate(
    teams.begin(), teams.end(), 0.0, [](double aSum, const LoadTeam& aTeam) {
      return aSum + aTeam.served;
    });
  const auto shares = SharesOf(teams, served / aPlan.seconds, aPlan.hasCaps);
  double offered = 0;
  double othersServed = 0;
  double othersOffered = 0;
  double othersShare = 0;
  for (std::size_t index = 0; index < teams.size(); ++index) {
    const LoadTeam& team = teams[index];
    offered += team.offered;
    result.least = std::min(result.least, team.Fraction());
    if (index == aPlan.greedyRank) {
      continue;
    }
    others.push_back(index);
    othersServed += team.served;
    othersOffered += team.offered;
    othersShare += shares[index] / team.offeredPerSecond * team.offered;
  }
  result.all = Ratio(served, offered);
  result.greedy = teams[aPlan.greedyRank].Fraction();
  result.others = Ratio(othersServed, othersOffered);
  result.othersShare = Ratio(othersShare, othersOffered);
  const auto keptOf = [&](std::size_t aIndex) {
    return teams[aIndex].Fraction() * teams[aIndex].offeredPerSecond /
           shares[aIndex];
  };
  std::ranges::sort(others, {}, keptOf);
  others.resize(others.size() / 10);
  for (const std::size_t index : others) {
    const auto count = static_cast<double>(others.size());
    result.worstTenth += teams[index].Fraction() / count;
    result.worstTenthShare +=
      shares[index] / teams[index].offeredPerSecond / count;
  }
  return result;
}

LoadResult
Measure(const LoadPlan& aPlan)
{
  TeamLoad load(aPlan);
  load.Run();
  const LoadResult result = ResultOf(load, aPlan);
  std::printf("rank=%zu factor=%.0f caps=%d load=%.2f seed=%llu: all %.3f "
              "greedy %.3f others %.3f (share %.3f) worst tenth %.3f (share "
              "%.3f) least %.3f\n",
              aPlan.greedyRank,
              aPlan.greedyFactor,
              aPlan.hasCaps ? 1 : 0,
              aPlan.loadOfCapacity,
              static_cast<unsigned long long>(aPlan.seed),
              result.all,
              result.greedy,
              result.others,
              result.othersShare,
              result.worstTenth,
              result.worstTenthShare,
              result.least);
  return result;
}

void
CheckShares(const LoadPlan& aPlan)
{
  const LoadResult result = Measure(aPlan);
  cr_expect_geq(result.others, kKeptByOthers * result.othersShare);
  cr_expect_geq(result.worstTenth, kKeptByWorstTenth * result.worstTenthShare);
  cr_expect_geq(result.least, kLeastOfMean * result.all);
}

} // namespace

// A team that sends five times its usual load must take nothing from the
// others, and no team may be left with nearly nothing. Ranks: a team that fills
// the servers alone, a middle one and a small one.
Test(teamload, a_greedy_team_takes_nothing_from_the_others)
{
  for (const std::size_t rank : { 0, 9, 59 }) {
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
      LoadPlan plan;
      plan.greedyRank = rank;
      plan.seed = seed;
      CheckShares(plan);
    }
  }
}

// A team without a greedy one beside it keeps its share as well, whatever its
// size.
Test(teamload, teams_of_all_sizes_keep_their_shares)
{
  LoadPlan plan;
  plan.greedyFactor = 1;
  CheckShares(plan);
}

// Shares must not be bought with idle slots or answers that come too late.
Test(teamload, shares_cost_no_work)
{
  LoadPlan plan;
  plan.greedyRank = 9;
  const LoadResult with = Measure(plan);
  plan.hasTeams = false;
  const LoadResult without = Measure(plan);
  cr_expect_geq(with.all, kKeptWork * without.all);
}

// Without a shortage, teams must not cost a call its answer.
Test(teamload, without_a_shortage_all_calls_are_served)
{
  for (const bool hasTeams : { false, true }) {
    LoadPlan plan;
    plan.loadOfCapacity = 0.6;
    plan.hasTeams = hasTeams;
    const LoadResult result = Measure(plan);
    cr_expect_geq(result.all, 0.999);
    cr_expect_geq(result.least, 0.99);
  }
}
