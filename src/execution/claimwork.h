#pragma once

#include "common/clock.h"
#include "execution/claimshard.h"
#include "store/objectstore.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace lacewingwharf {

/** A batch of requests for one shard; runs on the platform thread. */
struct ClaimWork
{
  int shard = 0;
  ClaimShardLimits limits;
  std::vector<wire::ClaimRequest> requests;
  std::vector<wire::ClaimResult::type> results; // One for each request.

  /**
   * The cached shard before and after the requests; null if it has to be read.
   */
  std::shared_ptr<ClaimShard> value;
  std::int64_t revision = 0;
};

/**
 * Reads the shard unless it is cached, applies the requests and writes the
 * shard by compare-and-swap. After a write that timed out it reads the shard
 * again; the holder of a claim then shows whether the write took effect.
 */
void
RunClaimWork(const ObjectStore& aStore, const Clock& aWall, ClaimWork& aWork);

} // namespace lacewingwharf
