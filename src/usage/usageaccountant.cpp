#include "usage/usageaccountant.h"

#include "common/log.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr Log kLog("usage");

// Lenders are forgotten after this time without a request. It is much longer
// than loans and tokens last, so that no late message is taken for a new one.
constexpr Millis kLenderRetention = 60000;

// Pools of removed teams are kept for this time, and no new pool is refilled
// for a longer one, so that a team which is removed and added again within it
// does not get its tokens twice.
constexpr Millis kTeamRetention = 60000;

// Limits the changes of a share that are kept. Refills from before the oldest
// one are not given to new pools.
constexpr std::size_t kMaxShareChanges = 256;

// Lenders are counted again for Retry-After after this time. A team above its
// cap causes up to 6,000 requests a second in a fleet of 300 daemons.
constexpr Millis kGrowthInterval = 100;

} // namespace

UsageAccountant::UsageAccountant(std::string aHost,
                                 std::int64_t aIncarnation,
                                 UsageTimes aTimes,
                                 Millis aNow)
  : host(std::move(aHost))
  , incarnation(aIncarnation)
  , times(aTimes)
  , lendableAt(aNow + aTimes.outstandingTime + 1)
  , advancedAt(aNow)
{
}

void
UsageAccountant::SetTeams(const std::vector<const Entry*>& aTeams, Millis aNow)
{
  this->Advance(aNow);
  std::map<std::string, Team> kept;
  for (const Entry* entry : aTeams) {
    if (entry->team.ratePerSecond <= 0) {
      continue;
    }
    const int group = UsageGroupOf(entry->name);
    const UsageShare& share = this->shares[static_cast<std::size_t>(group)];
    const bool isNew = !this->teams.contains(entry->name) &&
                       !this->removedTeams.contains(entry->name);
    Team& team = kept
                   .emplace(entry->name,
                            isNew ? Team{ group, UsagePool(share) }
                                  : this->TakeTeam(entry->name))
                   .first->second;
    team.pool.Advance(share, aNow);
    team.pool.SetCap(entry->team.ratePerSecond, entry->team.burst, this->times);
    if (isNew) {
      this->RefillNewPool(team, aNow);
    }
  }
  std::swap(this->teams, kept);
  this->KeepRemovedTeams(kept, aNow);
}

UsageAccountant::Team
UsageAccountant::TakeTeam(const std::string& aName)
{
  const auto known = this->teams.find(aName);
  if (known != this->teams.end()) {
    Team team = std::move(known->second);
    this->teams.erase(known);
    return team;
  }
  return std::move(this->removedTeams.extract(aName).mapped().team);
}

void
UsageAccountant::KeepRemovedTeams(const std::map<std::string, Team>& aTeams,
                                  Millis aNow)
{
  // The last tokens of a pool that is forgotten have ended before the time from
  // which a new one is refilled.
  const Millis retention = kTeamRetention + this->times.outstandingTime;
  std::erase_if(this->removedTeams, [aNow, retention](const auto& aPair) {
    return aPair.second.removedAt + retention < aNow;
  });
  for (const auto& [name, team] : aTeams) {
    this->removedTeams.insert_or_assign(name, RemovedTeam{ team, aNow });
  }
}

/**
 * While a half is lent to this accountant, no other one grants tokens from it,
 * and this one has granted none of the team since it was removed, if it ever
 * was there. So the pool may have the refills of that time.
 */
void
UsageAccountant::RefillNewPool(Team& aTeam, Millis aNow) const
{
  const auto group = static_cast<std::size_t>(aTeam.group);
  const std::deque<ShareChange>& changes = this->history[group];
  if (changes.empty()) {
    return;
  }
  const Millis from = std::max(changes.front().at, aNow - kTeamRetention);
  auto next = std::ranges::upper_bound(changes, from, {}, &ShareChange::at);
  UsageShare start = std::prev(next)->share;
  start.elapsed +=
    start.share * static_cast<double>(from - std::prev(next)->at);
  aTeam.pool.Restart(start, from);
  for (; next != changes.end(); ++next) {
    aTeam.pool.Advance(next->share, next->at);
  }
  aTeam.pool.Advance(this->shares[group], aNow);
}

void
UsageAccountant::RecordShare(int aGroup, Millis aNow)
{
  const auto group = static_cast<std::size_t>(aGroup);
  std::deque<ShareChange>& changes = this->history[group];
  changes.push_back({ this->shares[group], aNow });
  if (changes.size() > kMaxShareChanges) {
    changes.pop_front();
  }
}

void
UsageAccountant::SetMembers(int aMembers, Millis aNow)
{
  this->Advance(aNow);
  if (std::exchange(this->ownMembers, aMembers) != aMembers) {
    this->UpdateShares(aNow);
  }
}

wire::UsageGrant
UsageAccountant::Handle(const wire::UsageRequest& aRequest, Millis aNow)
{
  this->Advance(aNow);
  wire::UsageGrant grant;
  grant.host = this->host;
  grant.incarnation = this->incarnation;
  grant.sequence = aRequest.sequence;
  grant.stamp = aNow;
  if (!this->UpdateLender(aRequest, aNow)) {
    return grant;
  }
  for (const wire::UsageReturn& unspent : aRequest.returns) {
    if (UsagePool* const pool = this->CurrentPool(unspent.team, aNow)) {
      pool->TakeBack({ unspent.sequence, aRequest.incarnation, aRequest.host },
                     std::clamp(unspent.count, 0, kMaxUsageCount));
    }
  }
  for (const wire::UsageNeed& need : aRequest.needs) {
    UsagePool* const pool = this->CurrentPool(need.team, aNow);
    if (pool == nullptr) {
      continue; // Unknown to the version in force here; it gets no answer.
    }
    const int wanted = std::clamp(need.wanted, 0, kMaxUsageCount);
    wire::UsageAnswer answer;
    answer.team = need.team;
    answer.granted =
      pool->Grant({ aRequest.sequence, aRequest.incarnation, aRequest.host },
                  wanted,
                  std::clamp(need.waiting, 0, kMaxUsageCount),
                  aNow);
    answer.left = pool->HasLoans() ? pool->Left() : kUsageNoLoans;
    if (pool->HasLoans() && answer.granted < wanted && answer.left == 0) {
      answer.retryAfterMillis = static_cast<std::int32_t>(
        pool->RetryAfter(this->ExpectedGrowth(UsageGroupOf(need.team), aNow)));
    }
    grant.answers.push_back(std::move(answer));
  }
  return grant;
}

/**
 * Daemons that send requests and do not lend yet have just started or have
 * halves that move here. After a restart of all daemons, the share of the first
 * lender alone would name times of up to 5 s, while tokens exist within 1 s.
 */
double
UsageAccountant::ExpectedGrowth(int aGroup, Millis aNow)
{
  Growth& growth = this->growths[static_cast<std::size_t>(aGroup)];
  if (growth.at > 0 && aNow < growth.at + kGrowthInterval) {
    return growth.value;
  }
  int present = 0;
  int lending = 0;
  for (const auto& [name, lender] : this->lenders) {
    bool isLending = false;
    for (int half = 0; half < kUsageHalves; ++half) {
      const auto loan = static_cast<std::size_t>(LoanIndex(aGroup, half));
      isLending = isLending || lender.until[loan] > aNow;
    }
    lending += isLending ? 1 : 0;
    present += isLending || lender.seenAt + this->times.silence > aNow ? 1 : 0;
  }
  growth.at = aNow;
  growth.value = static_cast<double>(present) / std::max(1, lending);
  return growth.value;
}

/**
 * A process that started after the wall clock was set back has a lower
 * incarnation than the one before. Its echo of a stamp from after the newest
 * request proves that it started later.
 */
bool
UsageAccountant::IsNew(const Lender& aLender,
                       const wire::UsageRequest& aRequest) const
{
  if (aRequest.incarnation == aLender.incarnation) {
    return aRequest.sequence > aLender.sequence;
  }
  return aRequest.incarnation > aLender.highestIncarnation ||
         (aRequest.echoIncarnation == this->incarnation &&
          aRequest.echo > aLender.newestAt);
}

/**
 * Returns whether the request is newer than all others of its sender. Of older
 * and repeated requests only the loans count, which their stamp bounds.
 */
bool
UsageAccountant::UpdateLender(const wire::UsageRequest& aRequest, Millis aNow)
{
  Lender& lender = this->lenders[aRequest.host];
  lender.seenAt = aNow;
  const bool isNew = this->IsNew(lender, aRequest);
  if (isNew) {
    lender.incarnation = aRequest.incarnation;
    lender.highestIncarnation =
      std::max(lender.highestIncarnation, aRequest.incarnation);
    lender.newestAt = aNow;
    lender.sequence = aRequest.sequence;
    const int members = std::clamp(aRequest.members, 1, kMaxUsageMembers);
    if (std::exchange(lender.members, members) != members) {
      this->UpdateShares(aNow);
    }
  }
  this->AddLoans(aRequest, aNow);
  return isNew;
}

void
UsageAccountant::AddLoans(const wire::UsageRequest& aRequest, Millis aNow)
{
  if (aRequest.echo <= 0 || aRequest.echoIncarnation != this->incarnation ||
      aNow < this->lendableAt) {
    return;
  }
  Lender& lender = this->lenders[aRequest.host];
  const Millis end = std::min(aRequest.echo, aNow) + this->times.loanTime;
  bool isChanged = false;
  for (int loan = 0; loan < kUsageLoans; ++loan) {
    const bool isLent = ((aRequest.lent >> loan) & 1) != 0;
    Millis& until = lender.until[static_cast<std::size_t>(loan)];
    if (!isLent || end <= std::max(until, aNow)) {
      continue;
    }
    isChanged = isChanged || until <= aNow;
    until = end;
  }
  if (isChanged) {
    this->UpdateShares(aNow);
  }
}

void
UsageAccountant::Advance(Millis aNow)
{
  if (aNow <= this->advancedAt) {
    return;
  }
  const auto elapsed =
    static_cast<double>(aNow - std::exchange(this->advancedAt, aNow));
  const bool hasEnded = this->nextEnd > 0 && aNow >= this->nextEnd;
  Shares next{};
  if (hasEnded) {
    this->RemoveOldLenders(aNow);
    next = this->CountLoans(aNow);
  }
  for (std::size_t group = 0; group < this->shares.size(); ++group) {
    UsageShare& share = this->shares[group];
    // When a loan has ended since the last call, the lower share counts for all
    // of that time.
    share.elapsed +=
      elapsed * (hasEnded ? std::min(share.share, next[group]) : share.share);
  }
  if (hasEnded) {
    this->SetShares(next, aNow);
  }
}

void
UsageAccountant::UpdateShares(Millis aNow)
{
  this->SetShares(this->CountLoans(aNow), aNow);
}

UsageAccountant::Shares
UsageAccountant::CountLoans(Millis aNow)
{
  int members = std::max(1, this->ownMembers);
  int lending = 0;
  std::array<int, kUsageGroups> counts{};
  this->nextEnd = 0;
  for (const auto& [name, lender] : this->lenders) {
    bool isLending = false;
    for (std::size_t loan = 0; loan < lender.until.size(); ++loan) {
      const Millis until = lender.until[loan];
      if (until <= aNow) {
        continue;
      }
      isLending = true;
      ++counts[loan / kUsageHalves];
      this->nextEnd =
        this->nextEnd == 0 ? until : std::min(this->nextEnd, until);
    }
    if (isLending) {
      ++lending;
      members = std::max(members, lender.members);
    }
  }
  // No lender may know all of the others.
  members = std::max(members, lending);
  Shares next{};
  for (std::size_t group = 0; group < counts.size(); ++group) {
    if (std::exchange(this->loans[group], counts[group]) != counts[group]) {
      kLog.Decision("usage-loans-counted",
                    "group={} halves={} members={}",
                    group,
                    counts[group],
                    members);
    }
    next[group] = static_cast<double>(counts[group]) / (kUsageHalves * members);
  }
  return next;
}

/**
 * Pools are brought up to date before and after a change, so that a half which
 * leaves takes its tokens with it.
 */
void
UsageAccountant::SetShares(const Shares& aShares, Millis aNow)
{
  for (int group = 0; group < kUsageGroups; ++group) {
    const auto index = static_cast<std::size_t>(group);
    if (this->shares[index].share == aShares[index]) {
      continue;
    }
    this->AdvancePools(group, aNow);
    this->RecordShare(group, aNow);
    this->shares[index].share = aShares[index];
    this->AdvancePools(group, aNow);
    this->RecordShare(group, aNow);
  }
}

void
UsageAccountant::AdvancePools(int aGroup, Millis aNow)
{
  const UsageShare& share = this->shares[static_cast<std::size_t>(aGroup)];
  for (auto& [name, team] : this->teams) {
    if (team.group == aGroup) {
      team.pool.Advance(share, aNow);
    }
  }
  for (auto& [name, removed] : this->removedTeams) {
    if (removed.team.group == aGroup) {
      removed.team.pool.Advance(share, aNow);
    }
  }
}

void
UsageAccountant::RemoveOldLenders(Millis aNow)
{
  std::erase_if(this->lenders, [aNow](const auto& aPair) {
    return aPair.second.seenAt + kLenderRetention < aNow;
  });
}

UsagePool*
UsageAccountant::CurrentPool(const std::string& aTeam, Millis aNow)
{
  const auto found = this->teams.find(aTeam);
  if (found == this->teams.end()) {
    return nullptr;
  }
  this->Advance(aNow);
  Team& team = found->second;
  team.pool.Advance(this->shares[static_cast<std::size_t>(team.group)], aNow);
  return &team.pool;
}

UsagePool*
UsageAccountant::FindPool(const std::string& aTeam)
{
  const auto found = this->teams.find(aTeam);
  return found == this->teams.end() ? nullptr : &found->second.pool;
}

} // namespace lacewingwharf
