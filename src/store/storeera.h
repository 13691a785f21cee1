#pragma once

#include "store/objectstore.h"

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>

namespace lacewingwharf {

enum class EraReading
{
  Current, // The era known so far, or none.
  Risen,   // The store was restored from a copy.
  Stale    // From before a restore that is already known.
};

inline constexpr auto kEraReadingNames =
  MakeNameTable<EraReading>({ { EraReading::Current, "current" },
                              { EraReading::Risen, "risen" },
                              { EraReading::Stale, "stale" } });

/** One or more restores of the store from a copy. */
struct StoreRise
{
  std::int64_t eraBefore = 0;
  std::int64_t era = 0;
};

/**
 * The highest era of the store that this process has seen, in the store's
 * responses or in messages of other daemons. The first one seen is no rise:
 * nothing was acknowledged to this process before it. Thread-safe.
 */
class StoreEra
{
public:
  EraReading Record(std::optional<std::int64_t> aEra);

  /** Empty while the store has reported none. */
  std::optional<std::int64_t> Highest() const;

  /** Returns the rises since the last call as one, if there were any. */
  std::optional<StoreRise> TakeRise();

  /** Number of rises seen by this process. */
  std::uint64_t Rises() const;

private:
  mutable std::mutex mutex;
  std::optional<std::int64_t> highest;
  std::optional<std::int64_t> handled; // Up to the last TakeRise().
  std::uint64_t rises = 0;
};

/**
 * Returns a store that records the era of each response to aStore in aEra. A
 * stale response becomes an error, because what it says may be lost.
 */
ObjectStore
GuardEra(ObjectStore aStore, std::shared_ptr<StoreEra> aEra);

} // namespace lacewingwharf
