#include "distribution/relayfailover.h"

#include "common/hash.h"
#include "common/log.h"

#include <algorithm>

namespace lacewingwharf {

namespace {

constexpr Log kLog("distribution");

// Shares of the rollout time. A version that is written when the relays are
// lost must be read by a substitute and pushed within the rollout time, also if
// all members with a delay for their rank were lost, too. Two heartbeats in a
// row may be lost before a substitute takes over.
constexpr Millis kHeartbeatsPerRollout = 8;
constexpr Millis kSilentHeartbeats = 3;
constexpr Millis kRankDelaysPerRollout = 40;
constexpr int kMaxDelayedRanks = 10;

// How long a daemon leaves the watch to others after the store has refused it.
constexpr Millis kStoreRetryDelay = 8000;

// The map then mostly holds former relays and is cleared.
constexpr std::size_t kMaxRelays = 64;

} // namespace

RelayFailover::RelayFailover(RelayFailoverConfig aConfig, Clock aClock)
  : config(std::move(aConfig))
  , clock(std::move(aClock))
  , heardAt(this->clock.Now())
{
}

void
RelayFailover::SetCandidates(const std::vector<std::string>& aOrder)
{
  const auto self = std::ranges::find(aOrder, this->config.host);
  this->rank = static_cast<int>(self - aOrder.begin());
}

Millis
RelayFailover::SilenceLimit() const
{
  const Millis interval = this->config.rolloutTime / kHeartbeatsPerRollout;
  const Millis rankDelay = this->config.rolloutTime / kRankDelaysPerRollout;
  return kSilentHeartbeats * interval +
         std::min(this->rank, kMaxDelayedRanks) * rankDelay;
}

void
RelayFailover::Tick(bool aIsRelay, bool aIsWatching)
{
  const Millis now = this->clock.Now();
  this->isRelay = aIsRelay;
  this->isWatching = aIsWatching;
  if (aIsRelay) {
    this->heardAt = now;
    this->isSubstitute = false;
    return;
  }
  const Millis silence = now - this->heardAt;
  if (this->isSubstitute || silence < this->SilenceLimit() ||
      now < this->storeRetryAt) {
    return;
  }
  kLog.Decision("relay-substitute",
                "active=true silent_ms={} rank={}",
                silence,
                this->rank);
  this->isSubstitute = true;
  this->heartbeatDueAt = 0;
}

void
RelayFailover::RecordStoreFailure()
{
  this->storeRetryAt = this->clock.Now() + kStoreRetryDelay;
  if (this->isSubstitute) {
    kLog.Decision("relay-substitute", "active=false reason=store-lost");
    this->isSubstitute = false;
  }
}

std::optional<std::int64_t>
RelayFailover::TakeDueHeartbeat()
{
  const Millis now = this->clock.Now();
  const bool isSender = (this->isRelay || this->isSubstitute) &&
                        this->isWatching && now >= this->heartbeatDueAt;
  if (!isSender) {
    return std::nullopt;
  }
  this->heartbeatDueAt = now + this->config.rolloutTime / kHeartbeatsPerRollout;
  return ++this->sequence;
}

bool
RelayFailover::RecordHeartbeat(const std::string& aRelay,
                               std::int64_t aIncarnation,
                               std::int64_t aSequence)
{
  if (aRelay == this->config.host) {
    return false;
  }
  if (this->heartbeats.size() >= kMaxRelays &&
      !this->heartbeats.contains(aRelay)) {
    this->heartbeats.clear();
  }
  auto& newest = this->heartbeats[aRelay];
  const std::pair received(aIncarnation, aSequence);
  if (received <= newest) {
    return false;
  }
  newest = received;
  this->heardAt = this->clock.Now();
  if (this->isSubstitute && this->IsPreferred(aRelay)) {
    kLog.Decision("relay-substitute", "active=false relay={}", aRelay);
    this->isSubstitute = false;
  }
  return true;
}

/** Of two substitutes, only the one that comes first in the order stays. */
bool
RelayFailover::IsPreferred(const std::string& aRelay) const
{
  return RendezvousOrder(this->config.orderKey, { this->config.host, aRelay })
           .front() == aRelay;
}

} // namespace lacewingwharf
