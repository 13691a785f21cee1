#pragma once

#include "peer_types.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace lacewingwharf {

/**
 * Record updates that wait to be piggybacked. Each is sent a number of times
 * that grows with the logarithm of the member count; the least sent go first.
 */
class UpdateQueue
{
public:
  /** Replaces an older update of the same host. */
  void Add(const wire::MemberRecord& aRecord);

  /** Takes updates of at most aBytes encoded; counts each as sent. */
  std::vector<wire::MemberRecord> Take(std::size_t aBytes,
                                       std::size_t aMemberCount);

  std::size_t Size() const;

  /** How often an update is sent among aMemberCount. */
  static int SendLimit(std::size_t aMemberCount);

private:
  struct Update
  {
    wire::MemberRecord record;
    std::size_t bytes = 0;
    int sent = 0;
    std::uint64_t order = 0;
  };

  using Rank = std::tuple<int, std::uint64_t, std::string>;

  static Rank RankOf(const Update& aUpdate);

  std::map<std::string, Update> updates;
  std::set<Rank> ranks;
  std::uint64_t nextOrder = ~0ULL;
};

inline std::size_t
UpdateQueue::Size() const
{
  return this->updates.size();
}

} // namespace lacewingwharf
