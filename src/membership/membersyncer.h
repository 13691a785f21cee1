#pragma once

#include "common/clock.h"
#include "common/random.h"
#include "peer_types.h"

#include <cstddef>
#include <optional>
#include <string>

namespace lacewingwharf {

class MemberTable;

/** Limits the bytes that a daemon sends in answers to sync requests. */
class ByteBudget
{
public:
  ByteBudget(std::size_t aBytesPerSecond, std::size_t aBurst);

  /**
   * Whether any bytes are left. A single answer may exceed them; the budget
   * then allows no further answer until it is refilled.
   */
  bool IsAvailable(Millis aNow);
  void Spend(std::size_t aBytes);

private:
  void Refill(Millis aNow);

  double bytesPerMilli;
  double burst;
  double tokens;
  std::optional<Millis> refilledAt;
};

struct MemberSyncerConfig
{
  std::string self;
  Millis interval = 30000;
  Millis startJitter = 1000;
  Millis retryInterval = 1000;
};

/**
 * Push-pull sync of the member table. The sides compare the hashes of the
 * table's buckets and transfer only the records of buckets that differ.
 */
class MemberSyncer
{
public:
  MemberSyncer(MemberSyncerConfig aConfig, Random aRandom);

  /** True if a request must be sent now; also schedules the next one. */
  bool IsDue(Millis aNow);

  /** Schedules a sync soon; used after a pause, when the table is outdated. */
  void ScheduleEarlySync(Millis aNow);

  /** True once a complete answer has arrived; ends the retries at startup. */
  bool HasSynced() const;

  /** Returns a request; the first ones carry no hashes and get all records. */
  wire::MemberSync Request(const MemberTable& aTable) const;

  /** Returns the answer to a request: the records of differing buckets. */
  static wire::MemberSync AnswerTo(const wire::MemberSync& aRequest,
                                   const MemberTable& aTable);

  /** Returns a refusal that names a few other members to sync with. */
  wire::MemberSync BusyAnswer(const MemberTable& aTable) const;

  /**
   * Handles an answer and returns the records that its sender is missing, if
   * there are any. Called before the records of aAnswer are merged.
   */
  std::optional<wire::MemberSync> Complete(const wire::MemberSync& aAnswer,
                                           const MemberTable& aTable,
                                           Millis aNow);

private:
  Millis Jittered(Millis aInterval) const;

  MemberSyncerConfig config;
  Random random;
  // Doubles after each sync. It starts short because members that start
  // together are missing from the answers to each other's first syncs.
  Millis interval;
  std::optional<Millis> nextAt;
  bool hasSynced = false;
};

inline bool
MemberSyncer::HasSynced() const
{
  return this->hasSynced;
}

} // namespace lacewingwharf
