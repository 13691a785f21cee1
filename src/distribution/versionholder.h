#pragma once

#include "catalogue/delta.h"
#include "common/names.h"

#include <cstdint>
#include <deque>
#include <vector>

namespace lacewingwharf {

/** Result of offering a version. */
enum class OfferOutcome
{
  Taken,
  Stale,      // At or below the held version; dropped.
  NeedsFetch, // Newer, but not a delta on the held version.
  Refused     // Its content is invalid or does not match its hash.
};

inline constexpr auto kOfferOutcomeNames =
  MakeNameTable<OfferOutcome>({ { OfferOutcome::Taken, "taken" },
                                { OfferOutcome::Stale, "stale" },
                                { OfferOutcome::NeedsFetch, "needs-fetch" },
                                { OfferOutcome::Refused, "refused" } });

/**
 * Deltas that lead from one version to the newest. Not usable if isComplete is
 * false.
 */
struct DeltaChain
{
  bool isComplete = false;
  std::vector<Delta> deltas;
};

/**
 * Owns the held snapshot. Nothing else replaces it, so a daemon can never
 * return to an older version.
 */
class VersionHolder
{
public:
  explicit VersionHolder(std::size_t aMaxKeptDeltas = 128);

  const SnapshotPtr& HeldSnapshot() const;

  OfferOutcome Offer(const Delta& aDelta);

  /** The chain is incomplete if aVersion is older than the kept deltas. */
  DeltaChain DeltasSince(std::int64_t aVersion) const;

private:
  void KeepDelta(const Delta& aDelta);

  std::size_t maxKeptDeltas;
  SnapshotPtr held = Snapshot::Empty();

  // The base of each delta is the version of the delta before it.
  std::deque<Delta> keptDeltas;
};

inline const SnapshotPtr&
VersionHolder::HeldSnapshot() const
{
  return this->held;
}

} // namespace lacewingwharf
