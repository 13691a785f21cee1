#pragma once

#include "common/clock.h"
#include "peer_types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lacewingwharf {

struct RelayFailoverConfig
{
  std::string host;
  std::int64_t incarnation = 0;

  /** Key of the order in which the members of the group become relays. */
  std::string orderKey;

  /** Time within which a new version must be in force on every daemon. */
  Millis rolloutTime = 12000;
};

/**
 * The members at the front of the order that try the store first. Only they do
 * so while it is down.
 */
inline constexpr int kFirstCandidates = 10;

/**
 * Decides when this daemon watches the store as a substitute for the relays of
 * its group. Relays send heartbeats along the push tree, which say whether
 * their watches work. If none of a working watch arrives for a while, whether
 * the relays were lost, are paused or cannot reach the store, the members take
 * over one after the other until one of them succeeds. Unlike the member list,
 * this does not wait until the relays are declared dead, which may never happen
 * when most of the members are lost.
 *
 * While heartbeats without a working watch arrive, the store is probably down,
 * and only the first members in the order try it. All members do only if they
 * hear nothing, because then the first ones may have been lost, too.
 */
class RelayFailover
{
public:
  RelayFailover(RelayFailoverConfig aConfig, Clock aClock);

  /**
   * Sets the members of the group in order of preference, including those that
   * the store has refused: each must keep its place in the sequence of tries.
   */
  void SetCandidates(const std::vector<std::string>& aOrder);

  /**
   * Updates the state. aIsRelay says whether the member list makes this daemon
   * a relay, aIsWatching whether its watch of the store works.
   */
  void Tick(bool aIsRelay, bool aIsWatching);

  /**
   * Keeps this daemon from being a substitute until its next turn to try the
   * store.
   */
  void RecordStoreFailure();

  /** Whether this daemon watches the store in place of the relays. */
  bool IsSubstitute() const;

  /**
   * Returns the next heartbeat, without the version that this daemon holds, if
   * it must send one.
   */
  std::optional<wire::RelayHeartbeat> TakeDueHeartbeat();

  /** Makes the next heartbeat due at once. */
  void RequestHeartbeat();

  /**
   * Records a heartbeat that has arrived. Returns false if it, or a later one
   * of the same process, arrived before; it must then not be forwarded.
   */
  bool RecordHeartbeat(const wire::RelayHeartbeat& aHeartbeat);

private:
  Millis SilenceLimit() const;
  bool IsFirstCandidate() const;
  Millis TryInterval() const;
  bool IsTakeoverDue(Millis aNow) const;
  bool IsPreferred(const std::string& aRelay) const;

  RelayFailoverConfig config;
  Clock clock;
  int rank = 0; // Number of preferred candidates.
  int members = 1;
  bool isRelay = false;
  bool isWatching = false;
  bool isSubstitute = false;
  // The times of the last heartbeat, and of the last one of a working watch, or
  // when this daemon was last a relay.
  Millis heardAt;
  Millis heardWatchingAt;
  Millis storeRetryAt = 0;
  Millis heartbeatDueAt = 0;
  std::int64_t sequence = 0;
  // Incarnation and sequence of the last heartbeat, by relay.
  std::map<std::string, std::pair<std::int64_t, std::int64_t>> heartbeats;
};

inline void
RelayFailover::RequestHeartbeat()
{
  this->heartbeatDueAt = 0;
}

inline bool
RelayFailover::IsSubstitute() const
{
  return this->isSubstitute;
}

} // namespace lacewingwharf
