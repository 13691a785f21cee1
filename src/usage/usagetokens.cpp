#include "usage/usagetokens.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace lacewingwharf {

namespace {

// Weight of the latest interval in the estimate of the demand.
constexpr double kDemandWeight = 0.5;

// Below this demand, tokens requested ahead would mostly expire unspent.
constexpr double kMinDemand = 0.5;
constexpr double kNoDemand = 0.01;

} // namespace

void
UsageTokens::Add(UsageToken aTokens, Millis aNow)
{
  if (aTokens.count > 0 && aNow < aTokens.expiresAt) {
    this->tokens.push_back(std::move(aTokens));
  }
}

void
UsageTokens::DropExpired(Millis aNow)
{
  std::erase_if(this->tokens, [aNow](const UsageToken& aToken) {
    return aNow >= aToken.expiresAt;
  });
}

std::optional<UsageToken>
UsageTokens::Spend(Millis aNow)
{
  this->DropExpired(aNow);
  const auto first =
    std::ranges::min_element(this->tokens, {}, &UsageToken::expiresAt);
  if (first == this->tokens.end()) {
    return std::nullopt;
  }
  UsageToken token = *first;
  token.count = 1;
  if (--first->count == 0) {
    this->tokens.erase(first);
  }
  return token;
}

std::vector<UsageToken>
UsageTokens::TakeExpiring(const std::string& aAccountant,
                          Millis aBefore,
                          Millis aNow)
{
  this->DropExpired(aNow);
  const auto kept = std::partition(
    this->tokens.begin(), this->tokens.end(), [&](const UsageToken& aToken) {
      return aToken.accountant != aAccountant || aToken.expiresAt >= aBefore;
    });
  std::vector<UsageToken> taken(std::make_move_iterator(kept),
                                std::make_move_iterator(this->tokens.end()));
  this->tokens.erase(kept, this->tokens.end());
  return taken;
}

int
UsageTokens::Held(Millis aNow)
{
  this->DropExpired(aNow);
  int held = 0;
  for (const UsageToken& token : this->tokens) {
    held += token.count;
  }
  return held;
}

void
UsageTokens::EndRound()
{
  this->demand =
    kDemandWeight * this->arrivals + (1 - kDemandWeight) * this->demand;
  this->arrivals = 0;
  if (this->demand < kNoDemand) {
    this->demand = 0;
  }
}

int
UsageTokens::Expected() const
{
  return this->demand < kMinDemand ? 0
                                   : static_cast<int>(std::ceil(this->demand));
}

bool
UsageTokens::IsIdle() const
{
  return this->tokens.empty() && this->waiters.empty() && this->demand == 0 &&
         this->arrivals == 0;
}

void
UsageTokens::Wait(WorkClass aClass, UsageWaiter aWaiter)
{
  this->waiters.emplace(std::pair(aClass, this->nextWaiter++),
                        std::move(aWaiter));
}

bool
UsageTokens::Cancel(const std::string& aCallId)
{
  return std::erase_if(this->waiters, [&aCallId](const auto& aPair) {
           return aPair.second.callId == aCallId;
         }) > 0;
}

std::optional<UsageWaiter>
UsageTokens::TakeWaiter()
{
  if (this->waiters.empty()) {
    return std::nullopt;
  }
  return std::move(this->waiters.extract(this->waiters.begin()).mapped());
}

std::vector<UsageWaiter>
UsageTokens::TakeOverdue(Millis aNow)
{
  std::vector<UsageWaiter> overdue;
  std::erase_if(this->waiters, [&overdue, aNow](const auto& aPair) {
    if (aNow < aPair.second.until) {
      return false;
    }
    overdue.push_back(aPair.second);
    return true;
  });
  return overdue;
}

} // namespace lacewingwharf
