#include "distribution/relayfailover.h"

#include "common/hash.h"
#include "common/log.h"
#include "distribution/storetries.h"

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

// The map then mostly holds former relays and is cleared.
constexpr std::size_t kMaxRelays = 64;

} // namespace

RelayFailover::RelayFailover(RelayFailoverConfig aConfig, Clock aClock)
  : config(std::move(aConfig))
  , clock(std::move(aClock))
  , heardAt(this->clock.Now())
  , heardWatchingAt(this->heardAt)
{
}

void
RelayFailover::SetCandidates(const std::vector<std::string>& aOrder)
{
  const auto self = std::ranges::find(aOrder, this->config.host);
  this->rank = static_cast<int>(self - aOrder.begin());
  this->members = std::max(1, static_cast<int>(aOrder.size()));
}

Millis
RelayFailover::SilenceLimit() const
{
  const Millis interval = this->config.rolloutTime / kHeartbeatsPerRollout;
  const Millis rankDelay = this->config.rolloutTime / kRankDelaysPerRollout;
  return kSilentHeartbeats * interval +
         std::min(this->rank, kFirstCandidates) * rankDelay;
}

bool
RelayFailover::IsFirstCandidate() const
{
  return this->rank < kFirstCandidates;
}

/** The time from one try of the first candidates to the next. */
Millis
RelayFailover::TryInterval() const
{
  return StoreTryInterval(this->config.rolloutTime);
}

bool
RelayFailover::IsTakeoverDue(Millis aNow) const
{
  const Millis limit = this->SilenceLimit();
  return aNow - this->heardWatchingAt >= limit &&
         (this->IsFirstCandidate() || aNow - this->heardAt >= limit) &&
         aNow >= this->storeRetryAt;
}

void
RelayFailover::Tick(bool aIsRelay, bool aIsWatching)
{
  const Millis now = this->clock.Now();
  this->isRelay = aIsRelay;
  this->isWatching = aIsWatching;
  if (aIsRelay) {
    this->heardAt = now;
    this->heardWatchingAt = now;
    this->isSubstitute = false;
    return;
  }
  if (this->isSubstitute || !this->IsTakeoverDue(now)) {
    return;
  }
  kLog.Decision("relay-substitute",
                "active=true silent_ms={} not_watching_ms={} rank={}",
                now - this->heardAt,
                now - this->heardWatchingAt,
                this->rank);
  this->isSubstitute = true;
  this->heartbeatDueAt = 0;
}

void
RelayFailover::RecordStoreFailure()
{
  const Millis now = this->clock.Now();
  const int candidates = std::min(this->members, kFirstCandidates);
  const Millis round = candidates * this->TryInterval();
  const bool isRepeated =
    this->storeRetryAt > 0 && now < this->storeRetryAt + round;
  // The first one may be a relay and then has no turn, so the others share the
  // round.
  const Millis turn =
    std::max(this->rank, 1) * round / std::max(candidates - 1, 1);
  const Millis ownDelay = isRepeated ? round : turn;
  this->storeRetryAt =
    now + (this->IsFirstCandidate() ? ownDelay : kStoreRetryDelay);
  if (this->isSubstitute) {
    kLog.Decision("relay-substitute", "active=false reason=store-lost");
    this->isSubstitute = false;
  }
}

std::optional<wire::RelayHeartbeat>
RelayFailover::TakeDueHeartbeat()
{
  const Millis now = this->clock.Now();
  // The first candidates that the store has refused tell the others, so that
  // not all of them try it.
  const bool wasRefused = this->IsFirstCandidate() && now < this->storeRetryAt;
  const bool isSender = this->isRelay || this->isSubstitute || wasRefused;
  if (!isSender || now < this->heartbeatDueAt) {
    return std::nullopt;
  }
  this->heartbeatDueAt = now + this->config.rolloutTime / kHeartbeatsPerRollout;
  wire::RelayHeartbeat heartbeat;
  heartbeat.relay = this->config.host;
  heartbeat.incarnation = this->config.incarnation;
  heartbeat.sequence = ++this->sequence;
  heartbeat.isWatching = this->isWatching;
  return heartbeat;
}

bool
RelayFailover::RecordHeartbeat(const wire::RelayHeartbeat& aHeartbeat)
{
  const std::string& relay = aHeartbeat.relay;
  if (relay == this->config.host) {
    return false;
  }
  if (this->heartbeats.size() >= kMaxRelays &&
      !this->heartbeats.contains(relay)) {
    this->heartbeats.clear();
  }
  auto& newest = this->heartbeats[relay];
  const std::pair received(aHeartbeat.incarnation, aHeartbeat.sequence);
  if (received <= newest) {
    return false;
  }
  newest = received;
  this->heardAt = this->clock.Now();
  if (!aHeartbeat.isWatching) {
    return true;
  }
  this->heardWatchingAt = this->heardAt;
  if (this->isSubstitute && this->IsPreferred(relay)) {
    kLog.Decision("relay-substitute", "active=false relay={}", relay);
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
