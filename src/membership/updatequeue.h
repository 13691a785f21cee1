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
 * Record updates that wait to be piggybacked on datagrams. The number of times
 * that each is sent grows with the logarithm of the member count. Updates that
 * were sent the fewest times go first.
 */
class UpdateQueue
{
public:
  /** Adds an update; it replaces a queued update of the same host. */
  void Add(const wire::MemberRecord& aRecord);

  /**
   * Adds an update that is also pushed to all members. It is sent only a few
   * times, to members that the push has missed.
   */
  void AddPushed(const wire::MemberRecord& aRecord);

  /**
   * Returns updates that take at most aBytes in encoded form and counts each
   * of them as sent once more. Updates that reach the send limit are removed.
   */
  std::vector<wire::MemberRecord> Take(std::size_t aBytes,
                                       std::size_t aMemberCount);

  std::size_t Size() const;

  /** How many times an update is sent in a domain of aMemberCount members. */
  static int SendLimit(std::size_t aMemberCount);

private:
  struct Update
  {
    wire::MemberRecord record;
    std::size_t bytes = 0;
    int sent = 0;
    int maxSends = 0;
    std::uint64_t order = 0;
  };

  using Rank = std::tuple<int, std::uint64_t, std::string>;

  void Insert(const wire::MemberRecord& aRecord, int aMaxSends);
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
