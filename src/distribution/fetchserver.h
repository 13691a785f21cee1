#pragma once

#include "common/clock.h"
#include "distribution/versionholder.h"
#include "peer_types.h"

#include <cstdint>
#include <deque>
#include <limits>

namespace lacewingwharf {

/** Value of ConfigFetch::held that requests only the peer's version number. */
inline constexpr std::int64_t kVersionQuery =
  std::numeric_limits<std::int64_t>::max();

/**
 * Answers fetches, and limits how many whole snapshots are sent at the same
 * time.
 */
class FetchServer
{
public:
  FetchServer(Clock aClock, int aMaxWholeTransfers);

  wire::ConfigAnswer Answer(const VersionHolder& aHolder, std::int64_t aHeld);

private:
  bool ReserveWholeTransfer();

  Clock clock;
  std::size_t maxWholeTransfers;
  std::deque<Millis> wholeTransferEnds;

  // Cached, because packing a whole snapshot costs more than sending it.
  wire::ConfigBody cachedWhole;
};

} // namespace lacewingwharf
