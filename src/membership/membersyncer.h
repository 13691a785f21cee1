#pragma once

#include "common/clock.h"
#include "common/random.h"
#include "peer_types.h"

#include <cstddef>
#include <optional>
#include <string>

namespace lacewingwharf {

class MemberTable;

/** Limits the bytes that a daemon sends in answer to syncs. */
class ByteBudget
{
public:
  ByteBudget(std::size_t aBytesPerSecond, std::size_t aBurst);

  /** A single answer may exceed what is left; the next one then waits. */
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
 * Push-pull sync of the member table. Both sides compare hashes of buckets of
 * the table and transfer only the buckets that differ.
 */
class MemberSyncer
{
public:
  MemberSyncer(MemberSyncerConfig aConfig, Random aRandom);

  /** True when a request has to be sent now; schedules the next one. */
  bool IsDue(Millis aNow);

  /** After a pause the table is old. */
  void ScheduleEarlySync(Millis aNow);

  /** The first complete answer ends the retries of the start. */
  bool HasSynced() const;

  wire::MemberSync Request(const MemberTable& aTable) const;

  /** Answers a request with the records of the buckets that differ. */
  static wire::MemberSync AnswerTo(const wire::MemberSync& aRequest,
                                   const MemberTable& aTable);

  /** Names a few members to ask instead. */
  wire::MemberSync BusyAnswer(const MemberTable& aTable) const;

  /** Call before merging aAnswer: what its sender lacks, if anything. */
  std::optional<wire::MemberSync> Complete(const wire::MemberSync& aAnswer,
                                           const MemberTable& aTable,
                                           Millis aNow);

private:
  Millis Jittered(Millis aInterval) const;

  MemberSyncerConfig config;
  Random random;
  // Doubles after each sync: members that start together miss each other in
  // their first syncs.
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
