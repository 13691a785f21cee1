#pragma once

#include "common/clock.h"
#include "common/random.h"
#include "peer/peernetwork.h"

#include <map>

namespace lacewingwharf {

/**
 * Delays dials to addresses that could not be reached. The delay doubles with
 * each failure and has random jitter, so that daemons do not all redial a
 * restarted host at the same time.
 */
class DialBackoff
{
public:
  DialBackoff(Clock aClock, Random aRandom);

  bool MayDial(const PeerAddress& aAddress) const;
  void RecordFailure(const PeerAddress& aAddress);
  void RecordSuccess(const PeerAddress& aAddress);

  /** Removes addresses whose delay ended more than a minute ago. */
  void Prune();

private:
  struct Entry
  {
    Millis delay = 0;
    Millis notBefore = 0;
  };

  Clock clock;
  Random random;
  std::map<PeerAddress, Entry> entries;
};

} // namespace lacewingwharf
