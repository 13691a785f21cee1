#include "admission/teamshares.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lacewingwharf {

namespace {

// The default window of caps. Teams may send bursts within it.
constexpr double kDecayMillis = 5000;

// After three times the decay, 5% of the usage is left.
constexpr double kIdleMillis = 3 * kDecayMillis;

constexpr double kIdleCheckMillis = 1000;

// More than ten times the teams of the largest known catalogue.
constexpr std::size_t kMaxTeams = 1024;

// A team that sends five times its usual load gets at least a quarter of the
// served fraction of all teams when it can use 5/4 of its share.
constexpr double kTolerance = 1.25;

constexpr double kLevelStep = 1.25;

// Calls that are added to each share. In the load of teamload_test, the worst
// tenth of 82 teams got 0.594 to 0.627 of their calls answered with 1, 0.610 to
// 0.647 with 2 and 0.613 to 0.651 with 3; all others together lost 0.5% and 1%
// to the greedy team with 2 and 3.
constexpr double kSpareCalls = 2;

} // namespace

void
TeamShares::SetTeams(const Snapshot& aSnapshot)
{
  this->weights.clear();
  double sum = 0;
  for (const Entry* const team : aSnapshot.Teams()) {
    if (team->team.ratePerSecond > 0) {
      this->weights[team->owner] = team->team.ratePerSecond;
      sum += team->team.ratePerSecond;
    }
  }
  this->otherWeight =
    this->weights.empty() ? 1 : sum / static_cast<double>(this->weights.size());
  for (auto& [team, usage] : this->usages) {
    usage.weight = this->WeightOf(team);
  }
}

double
TeamShares::WeightOf(std::string_view aTeam) const
{
  const auto weight = this->weights.find(aTeam);
  return weight == this->weights.end() ? this->otherWeight : weight->second;
}

void
TeamShares::Advance(double aNow)
{
  if (aNow <= this->now) {
    return;
  }
  const double kept = std::exp((this->now - aNow) / kDecayMillis);
  this->now = aNow;
  for (auto& [team, usage] : this->usages) {
    usage.slots = usage.running + (usage.slots - usage.running) * kept;
  }
  if (aNow >= this->idleCheckAt) {
    this->idleCheckAt = aNow + kIdleCheckMillis;
    this->RemoveIdle();
  }
}

void
TeamShares::RemoveIdle()
{
  std::erase_if(this->usages, [this](const auto& aRow) {
    const Usage& usage = aRow.second;
    return usage.running == 0 && this->now - usage.seenAt > kIdleMillis;
  });
}

void
TeamShares::AddDemand(const std::string& aTeam)
{
  const auto found = this->usages.find(aTeam);
  if (found != this->usages.end()) {
    found->second.seenAt = this->now;
    return;
  }
  if (this->usages.size() >= kMaxTeams) {
    // Teams with running calls are later than all others, and there are no
    // more of them than slots.
    const auto oldest =
      std::ranges::min_element(this->usages, {}, [](const auto& aRow) {
        return std::pair(aRow.second.running > 0, aRow.second.seenAt);
      });
    if (oldest->second.running > 0) {
      return;
    }
    this->usages.erase(oldest);
  }
  Usage usage;
  usage.weight = this->WeightOf(aTeam);
  usage.seenAt = this->now;
  this->usages.emplace(aTeam, usage);
}

void
TeamShares::Start(const std::string& aTeam)
{
  this->AddDemand(aTeam);
  if (const auto found = this->usages.find(aTeam);
      found != this->usages.end()) {
    ++found->second.running;
  }
}

void
TeamShares::Finish(const std::string& aTeam)
{
  const auto found = this->usages.find(aTeam);
  if (found != this->usages.end() && found->second.running > 0) {
    --found->second.running;
    found->second.seenAt = this->now;
  }
}

int
TeamShares::RunningOf(std::string_view aTeam) const
{
  const auto found = this->usages.find(aTeam);
  return found == this->usages.end() ? 0 : found->second.running;
}

TeamStanding
TeamShares::StandingOf(std::string_view aTeam,
                       double aServiceMillis,
                       int aWaiting) const
{
  const double slotsOfCall = aServiceMillis / kDecayMillis;
  TeamStanding standing;
  double othersUsed = 0;
  double othersWeight = 0;
  for (const auto& [team, usage] : this->usages) {
    const double used = usage.slots + usage.running * slotsOfCall;
    if (team == aTeam) {
      standing.used = used;
    } else {
      othersUsed += used;
      othersWeight += usage.weight;
    }
  }
  standing.used += aWaiting * slotsOfCall;
  standing.share = othersWeight == 0
                     ? standing.used
                     : othersUsed / othersWeight * this->WeightOf(aTeam);
  const double bound = standing.share + kSpareCalls * slotsOfCall;
  standing.ratio = bound == 0 ? 0 : standing.used / bound;
  return standing;
}

int
LevelOf(const TeamStanding& aStanding)
{
  if (aStanding.ratio <= kTolerance) {
    return 0;
  }
  return 1 + static_cast<int>(std::log(aStanding.ratio / kTolerance) /
                              std::log(kLevelStep));
}

} // namespace lacewingwharf
