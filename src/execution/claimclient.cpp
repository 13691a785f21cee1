#include "execution/claimclient.h"

#include "common/hash.h"
#include "common/log.h"
#include "execution/claimshard.h"

#include <algorithm>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr Log kLog("claims");

// A request goes to the first writer in the order of its shard, then to the
// second one, then directly to the writer of this daemon.
constexpr std::size_t kRemoteTries = 2;
constexpr std::size_t kMaxTries = 3;

using ClaimResult = wire::ClaimResult;
using State = wire::ClaimState;

} // namespace

ClaimClient::ClaimClient(ClaimClientConfig aConfig,
                         Clock aClock,
                         ClaimClientHooks aHooks)
  : config(std::move(aConfig))
  , clock(std::move(aClock))
  , hooks(std::move(aHooks))
{
}

void
ClaimClient::Claim(std::int64_t aKeyHash,
                   const std::string& aHolder,
                   Millis aMaxWait,
                   Callback aDone)
{
  Attempt attempt;
  attempt.request.keyHash = aKeyHash;
  attempt.request.holder = aHolder;
  attempt.request.wanted = State::HELD;
  attempt.done = std::move(aDone);
  attempt.endsAt =
    this->clock.Now() + std::min(aMaxWait, this->config.totalTimeout);
  const auto [position, isNew] =
    this->attempts.insert_or_assign(Key(aKeyHash, aHolder), std::move(attempt));
  this->Try(position->second);
}

void
ClaimClient::Try(Attempt& aAttempt)
{
  aAttempt.tryEndsAt =
    std::min(this->clock.Now() + this->config.tryTimeout, aAttempt.endsAt);
  // Copied, because a direct write may answer and so remove the attempt before
  // it returns.
  const wire::ClaimRequest request = aAttempt.request;
  this->Send(request, aAttempt.tries++);
}

void
ClaimClient::Send(const wire::ClaimRequest& aRequest, std::size_t aTry)
{
  const auto shard = ClaimShardName(ClaimShardOf(aRequest.keyHash));
  const auto order = RendezvousOrder(shard, this->hooks.writers());
  const std::size_t rank = aTry % kMaxTries;
  const bool isRemote = rank < kRemoteTries && rank < order.size() &&
                        order[rank] != this->config.self;
  if (isRemote) {
    wire::Envelope envelope;
    envelope.__set_claimRequest(aRequest);
    if (this->hooks.send(order[rank], envelope)) {
      return;
    }
  }
  this->hooks.writeDirectly(aRequest);
}

void
ClaimClient::HandleAnswer(const wire::ClaimAnswer& aAnswer)
{
  const Key key(aAnswer.keyHash, aAnswer.holder);
  if (aAnswer.wanted != State::HELD) {
    const auto update = this->updates.find(key);
    if (update != this->updates.end() &&
        update->second.request.wanted == aAnswer.wanted &&
        aAnswer.result != ClaimResult::UNAVAILABLE) {
      this->updates.erase(update);
    }
    return;
  }
  const auto attempt = this->attempts.find(key);
  if (attempt == this->attempts.end()) {
    return;
  }
  if (aAnswer.result != ClaimResult::UNAVAILABLE) {
    this->End(key, aAnswer.result);
  } else if (attempt->second.tries < kMaxTries) {
    this->Try(attempt->second);
  } else {
    this->End(key, ClaimResult::UNAVAILABLE);
  }
}

void
ClaimClient::End(const Key& aKey, ClaimResult::type aResult)
{
  const auto attempt = this->attempts.extract(aKey);
  if (aResult == ClaimResult::UNAVAILABLE) {
    this->Release(aKey.first, aKey.second);
  }
  kLog.Debug("claim of key {} by holder {}: {}",
             ToHex(static_cast<std::uint64_t>(aKey.first)),
             aKey.second,
             to_string(aResult));
  attempt.mapped().done(aResult);
}

void
ClaimClient::MarkDone(std::int64_t aKeyHash, const std::string& aHolder)
{
  this->AddUpdate(aKeyHash, aHolder, State::DONE);
}

void
ClaimClient::Release(std::int64_t aKeyHash, const std::string& aHolder)
{
  this->AddUpdate(aKeyHash, aHolder, State::RELEASED);
  this->SendUpdates(this->clock.Now());
}

void
ClaimClient::AddUpdate(std::int64_t aKeyHash,
                       const std::string& aHolder,
                       State::type aState)
{
  // A dropped update leaves the key claimed, which is safe.
  if (this->updates.size() >= this->config.maxUpdates) {
    kLog.Warning("dropping a claim update: {} are already pending",
                 this->updates.size());
    return;
  }
  const Millis now = this->clock.Now();
  Update& update = this->updates[{ aKeyHash, aHolder }];
  update.request.keyHash = aKeyHash;
  update.request.holder = aHolder;
  update.request.wanted = aState;
  // A caller that received not-run may send the call to another daemon at once.
  // Until the release is written, that daemon treats the call as a duplicate.
  update.nextAt =
    aState == State::RELEASED ? now : now + this->config.doneDelay;
  update.endsAt = now + this->config.repeatLimit;
}

void
ClaimClient::Tick()
{
  const Millis now = this->clock.Now();
  std::vector<Key> late;
  for (const auto& [key, attempt] : this->attempts) {
    if (now >= attempt.tryEndsAt) {
      late.push_back(key);
    }
  }
  for (const Key& key : late) {
    const auto attempt = this->attempts.find(key);
    if (attempt == this->attempts.end()) {
      continue;
    }
    const bool isOver =
      now >= attempt->second.endsAt || attempt->second.tries >= kMaxTries;
    if (isOver) {
      this->End(key, ClaimResult::UNAVAILABLE);
    } else {
      this->Try(attempt->second);
    }
  }
  this->SendUpdates(now);
}

void
ClaimClient::SendUpdates(Millis aNow)
{
  std::erase_if(this->updates, [aNow](const auto& aItem) {
    return aNow >= aItem.second.endsAt;
  });
  std::vector<std::pair<wire::ClaimRequest, std::size_t>> due;
  for (auto& [key, update] : this->updates) {
    if (aNow >= update.nextAt) {
      update.nextAt = aNow + this->config.repeatInterval;
      due.emplace_back(update.request, update.tries++);
    }
  }
  for (const auto& [request, tries] : due) {
    this->Send(request, tries);
  }
}

} // namespace lacewingwharf
