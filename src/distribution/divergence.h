#pragma once

#include "catalogue/snapshot.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>

namespace lacewingwharf {

/** Low half of the content hash; 0 only for version 0. */
std::int32_t
ShortHashOf(const Snapshot& aSnapshot);

/**
 * Reports peers that hold other content under the held version's number. Two
 * contents under one number mean that accepted objects were changed or that
 * two stores were in use; a daemon cannot tell which content is right.
 */
class DivergenceTracker
{
public:
  /** To be called for each peer's version; logs a peer once per version. */
  void Compare(const Snapshot& aHeld,
               const std::string& aHost,
               std::int64_t aVersion,
               std::int32_t aShortHash);

  /** Peers that differ from aHeld. */
  std::size_t PeerCount(const Snapshot& aHeld) const;

private:
  std::int64_t version = 0;
  std::set<std::string> peers; // Of that version.
};

} // namespace lacewingwharf
