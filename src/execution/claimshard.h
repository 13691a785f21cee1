#pragma once

#include "common/clock.h"
#include "peer_types.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace lacewingwharf {

inline constexpr int kClaimShards = 256;

/** Name of the object that holds the claims of a shard. */
std::string
ClaimShardName(int aShard);
int
ClaimShardOf(std::int64_t aKeyHash);

struct ClaimShardLimits
{
  Millis retention = 86400000;
  // How long a released claim still refuses a late request of its own holder.
  Millis releasedRetention = 600000;
  std::size_t maxBytes = 1000000;
};

/** The claims of one shard object. */
class ClaimShard
{
public:
  explicit ClaimShard(ClaimShardLimits aLimits);

  /** Returns nothing if the value is malformed. */
  static std::optional<ClaimShard> Parse(std::string_view aValue,
                                         ClaimShardLimits aLimits);
  std::string Encode() const;

  /**
   * Applies a request. GRANTED means that the claim is in the wanted state and
   * belongs to the holder. Applying a request again changes nothing.
   */
  wire::ClaimResult::type Apply(const wire::ClaimRequest& aRequest,
                                Millis aWallNow);

  /** Removes claims whose retention time has passed. */
  void Prune(Millis aWallNow);

  /** True when Apply() or Prune() changed something since the last call. */
  bool TakeChanged();

  std::size_t Size() const;

private:
  wire::ClaimResult::type Hold(const wire::ClaimRequest& aRequest,
                               Millis aWallNow);
  wire::ClaimResult::type Finish(const wire::ClaimRequest& aRequest,
                                 Millis aWallNow);
  wire::ClaimResult::type Store(const wire::ClaimRequest& aRequest,
                                Millis aWallNow);
  const wire::Claim* Find(std::int64_t aKeyHash, Millis aWallNow) const;
  bool IsExpired(const wire::Claim& aClaim, Millis aWallNow) const;

  ClaimShardLimits limits;
  std::unordered_map<std::int64_t, wire::Claim> claims;
  std::size_t bytes = 0;
  bool isChanged = false;
};

inline std::size_t
ClaimShard::Size() const
{
  return this->claims.size();
}

} // namespace lacewingwharf
