#pragma once

#include "catalogue/delta.h"
#include "common/names.h"

#include <cstdint>
#include <deque>
#include <vector>

namespace lacewingwharf {

/** What became of an offered version. */
enum class OfferOutcome
{
  Taken,
  Stale,      // At or below the held version; dropped.
  NeedsFetch, // Newer, but not a delta on the held version.
  Refused     // Its content is invalid or does not have its hash.
};

inline constexpr auto kOfferOutcomeNames =
  MakeNameTable<OfferOutcome>({ { OfferOutcome::Taken, "taken" },
                                { OfferOutcome::Stale, "stale" },
                                { OfferOutcome::NeedsFetch, "needs-fetch" },
                                { OfferOutcome::Refused, "refused" } });

/** Deltas that lead from one version to the newest, or nothing usable. */
struct DeltaChain
{
  bool isComplete = false;
  std::vector<Delta> deltas;
};

/**
 * The only place that replaces the held snapshot, so that no path can take a
 * daemon back to an older version.
 */
class VersionHolder
{
public:
  explicit VersionHolder(std::size_t aMaxKeptDeltas = 128);

  const SnapshotPtr& HeldSnapshot() const;

  OfferOutcome Offer(const Delta& aDelta);

  /** Incomplete when aVersion is older than the kept deltas. */
  DeltaChain DeltasSince(std::int64_t aVersion) const;

private:
  void KeepDelta(const Delta& aDelta);

  std::size_t maxKeptDeltas;
  SnapshotPtr held = Snapshot::Empty();
  std::deque<Delta> keptDeltas; // Each one's base is the version before it.
};

inline const SnapshotPtr&
VersionHolder::HeldSnapshot() const
{
  return this->held;
}

} // namespace lacewingwharf
