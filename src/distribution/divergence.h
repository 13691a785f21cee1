#pragma once

#include "catalogue/snapshot.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>

namespace lacewingwharf {

/** Returns the low half of the content hash. It is 0 only for version 0. */
std::int32_t
ShortHashOf(const Snapshot& aSnapshot);

/**
 * Tracks the peers that hold different content under the held version number.
 * Different content under one number means that accepted objects were changed
 * or that two stores were in use. A daemon cannot tell which content is
 * correct.
 */
class DivergenceTracker
{
public:
  /**
   * To be called with the version and content hash of each peer. A peer with
   * different content is logged once per version.
   */
  void Compare(const Snapshot& aHeld,
               const std::string& aHost,
               std::int64_t aVersion,
               std::int32_t aShortHash);

  /** Number of peers that hold different content under the version of aHeld. */
  std::size_t PeerCount(const Snapshot& aHeld) const;

private:
  std::int64_t version = 0;
  std::set<std::string> peers; // Peers that differ in that version.
};

} // namespace lacewingwharf
