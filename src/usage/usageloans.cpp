#include "usage/usageloans.h"

#include "common/hash.h"
#include "common/log.h"

#include <fmt/format.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr Log kLog("usage");

bool
IsSameForAccounting(const FleetMember& aLeft, const FleetMember& aRight)
{
  return std::tie(aLeft.host, aLeft.region, aLeft.isAlive) ==
         std::tie(aRight.host, aRight.region, aRight.isAlive);
}

} // namespace

UsageLoans::UsageLoans(std::string aHost, UsageTimes aTimes, Millis aNow)
  : host(std::move(aHost))
  , times(aTimes)
{
  // An earlier process of this host may have lent its share until now.
  for (Loan& loan : this->loans) {
    loan.endsAt = aNow + aTimes.relendTime;
  }
}

void
UsageLoans::SetComplete(Millis aNow)
{
  this->SetContact(aNow);
  this->isComplete = true;
}

void
UsageLoans::SetContact(Millis aNow)
{
  if (std::exchange(this->hasContact, true)) {
    return;
  }
  for (Loan& loan : this->loans) {
    loan.endsAt = std::max(loan.endsAt, aNow + this->times.spreadTime);
  }
}

void
UsageLoans::SetView(const EndpointView& aView, Millis aNow)
{
  const std::vector<FleetMember>& listed = aView.members;
  this->isMember =
    std::ranges::find(listed, this->host, &FleetMember::host) != listed.end();
  if (this->isComplete) {
    this->CountMembers(aView, aNow);
  }
  if (std::ranges::equal(listed, this->candidates, IsSameForAccounting)) {
    return;
  }
  this->candidates = listed;
  this->regions.clear();
  for (FleetMember& member : this->candidates) {
    member.isAlive = member.isAlive || member.host == this->host;
    this->regions.push_back(member.region);
  }
  std::ranges::sort(this->regions);
  this->regions.erase(std::unique(this->regions.begin(), this->regions.end()),
                      this->regions.end());
  for (int group = 0; group < kUsageGroups; ++group) {
    for (int half = 0; half < kUsageHalves; ++half) {
      Loan& loan =
        this->loans[static_cast<std::size_t>(LoanIndex(group, half))];
      std::string chosen = this->Choose(group, half);
      if (chosen != loan.chosen) {
        kLog.Decision("usage-accountant",
                      "group={} half={} host={} previous={} members={}",
                      group,
                      half,
                      chosen,
                      loan.chosen,
                      this->members);
        loan.chosen = std::move(chosen);
      }
    }
  }
}

/**
 * A member that leaves may have lent its share just before, so a lower number
 * counts only after such loans have ended.
 */
void
UsageLoans::CountMembers(const EndpointView& aView, Millis aNow)
{
  this->divisor.SetMembers(aView.members, aNow);
  const int count =
    std::min(this->divisor.Value() * aView.groups, kMaxUsageMembers);
  if (count < std::exchange(this->listed, std::max(1, count))) {
    this->listedAt = aNow;
  }
  this->members = std::max(this->members, this->listed);
}

/**
 * The first live member of the half's region in rendezvous hashing order, or of
 * all regions. The halves have different accountants if possible.
 */
std::string
UsageLoans::Choose(int aGroup, int aHalf) const
{
  const std::string other =
    aHalf == 0
      ? std::string()
      : this->loans[static_cast<std::size_t>(LoanIndex(aGroup, 0))].chosen;
  const std::string region =
    this->regions.empty()
      ? std::string()
      : this->regions[static_cast<std::size_t>(aGroup + aHalf) %
                      this->regions.size()];
  const std::uint64_t seed = Hash64(fmt::format("usage/{}/{}", aGroup, aHalf));
  std::tuple<bool, bool, std::uint64_t> best;
  std::string chosen;
  for (const FleetMember& member : this->candidates) {
    if (!member.isAlive) {
      continue;
    }
    const std::tuple rank(
      member.host != other, member.region == region, Hash64(member.host, seed));
    if (chosen.empty() || rank > best) {
      best = rank;
      chosen = member.host;
    }
  }
  return chosen;
}

void
UsageLoans::SetIsolated(int aGroup, bool aIsIsolated, Millis aNow)
{
  this->isolated[static_cast<std::size_t>(aGroup)] = aIsIsolated;
  kLog.Decision("usage-isolated",
                "group={} isolated={} members={}",
                aGroup,
                aIsIsolated,
                this->members);
  this->Advance(aNow);
}

const std::string&
UsageLoans::WantedFor(std::size_t aLoan) const
{
  return this->isolated[aLoan / kUsageHalves] ? this->host
                                              : this->loans[aLoan].chosen;
}

void
UsageLoans::Advance(Millis aNow)
{
  if (this->listed < this->members &&
      aNow > this->listedAt + this->times.relendTime) {
    this->members = this->listed;
  }
  for (std::size_t index = 0; this->isComplete && index < this->loans.size();
       ++index) {
    Loan& loan = this->loans[index];
    const std::string& wanted = this->WantedFor(index);
    if (loan.holder == wanted || aNow <= loan.endsAt) {
      continue;
    }
    kLog.Decision("usage-loan-moved",
                  "group={} half={} to={} from={} members={}",
                  index / kUsageHalves,
                  index % kUsageHalves,
                  wanted,
                  loan.holder,
                  this->members);
    loan.holder = wanted;
    this->newHolders.push_back(wanted);
  }
}

std::vector<std::string>
UsageLoans::TakeNewHolders()
{
  return std::exchange(this->newHolders, {});
}

const std::string&
UsageLoans::AccountantOf(int aGroup, int aHalf) const
{
  return this->WantedFor(static_cast<std::size_t>(LoanIndex(aGroup, aHalf)));
}

const std::string&
UsageLoans::ChosenAccountantOf(int aGroup, int aHalf) const
{
  return this->loans[static_cast<std::size_t>(LoanIndex(aGroup, aHalf))].chosen;
}

Millis
UsageLoans::FirstLoanIn(int aGroup, Millis aNow) const
{
  Millis wait = 0;
  for (int half = 0; half < kUsageHalves; ++half) {
    const Loan& loan =
      this->loans[static_cast<std::size_t>(LoanIndex(aGroup, half))];
    if (!loan.holder.empty()) {
      return 0;
    }
    wait = std::max(wait, loan.endsAt - aNow);
  }
  return this->hasContact ? wait : std::max(wait, this->times.spreadTime);
}

int
UsageLoans::LendTo(const std::string& aHost, Millis aNow)
{
  int lent = 0;
  if (!this->isMember || !this->isComplete) {
    return 0;
  }
  for (std::size_t index = 0; index < this->loans.size(); ++index) {
    Loan& loan = this->loans[index];
    if (loan.holder == aHost && this->WantedFor(index) == aHost) {
      loan.endsAt = aNow + this->times.relendTime;
      lent |= 1 << index;
    }
  }
  return lent;
}

} // namespace lacewingwharf
