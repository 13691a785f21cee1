#pragma once

#include "common/clock.h"
#include "execution/claimshard.h"
#include "store/platformjob.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace lacewingwharf {

struct ClaimWork;

struct ClaimWriterConfig
{
  ClaimShardLimits limits;

  /** For all writers together; the platform supports several hundred. */
  double writesPerSecond = 300;
  double burst = 16;

  /**
   * Requests older than this are refused, because their clients have given up.
   */
  Millis maxRequestAge = 3000;

  /**
   * How long updates wait for another request to cause a write of their shard.
   */
  Millis updateDelay = 1000;
  std::size_t maxPendingPerShard = 1024;

  /**
   * When more claims are cached, the least recently used shards are dropped and
   * read again when needed.
   */
  std::size_t maxCachedClaims = 200000;
};

struct ClaimWriterHooks
{
  SubmitPlatformJob submit;

  /** Number of daemons that share writesPerSecond; at least 1. */
  std::function<std::size_t()> writerCount;
};

/**
 * Batches claim requests by shard object. Any daemon may write any shard; the
 * compare-and-swap detects conflicting writes. Used by one thread.
 */
class ClaimWriter
{
public:
  using Reply = std::function<void(const wire::ClaimAnswer&)>;

  ClaimWriter(ClaimWriterConfig aConfig,
              Clock aClock,
              Clock aWall,
              ClaimWriterHooks aHooks);

  void Handle(const wire::ClaimRequest& aRequest, Reply aReply);

  /** To be called about every 100 ms. */
  void Tick();

  std::uint64_t Writes() const;

private:
  struct PendingRequest
  {
    wire::ClaimRequest request;
    Reply reply;
    Millis since = 0;
  };

  struct Shard
  {
    std::vector<PendingRequest> pending;
    bool isBusy = false;
    std::shared_ptr<ClaimShard> cached;
    std::int64_t revision = 0;
    Millis usedAt = 0;
  };

  void RefuseStale(Shard& aShard, Millis aNow) const;
  bool IsDue(const Shard& aShard, Millis aNow) const;
  void StartDueShards();
  /** Returns false if no write can be started at present. */
  bool StartWork(int aShard);
  void HandleFinishedWork(ClaimWork& aWork,
                          const std::vector<PendingRequest>& aBatch);
  void Refill(Millis aNow);
  void LimitCache();

  ClaimWriterConfig config;
  Clock clock;
  Clock wall;
  ClaimWriterHooks hooks;
  std::array<Shard, kClaimShards> shards;
  double tokens;
  Millis refilledAt;
  bool isThrottled = false;
  std::uint64_t writes = 0;
  std::shared_ptr<bool> lifetime = std::make_shared<bool>(true);
};

inline std::uint64_t
ClaimWriter::Writes() const
{
  return this->writes;
}

} // namespace lacewingwharf
