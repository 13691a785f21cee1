#pragma once

#include "common/clock.h"
#include "common/random.h"
#include "peer/peernetwork.h"

#include <map>

namespace lacewingwharf {

/**
 * Spaces out dials to an address that failed. The wait doubles per failure
 * and is jittered, so that daemons do not redial a restarted host in step.
 */
class DialBackoff
{
public:
  DialBackoff(Clock aClock, Random aRandom);

  bool MayDial(const PeerAddress& aAddress) const;
  void Failed(const PeerAddress& aAddress);
  void Succeeded(const PeerAddress& aAddress);

  /** Forgets addresses that were not dialled for long. */
  void Prune();

private:
  struct Entry
  {
    Millis wait = 0;
    Millis notBefore = 0;
  };

  Clock clock;
  Random random;
  std::map<PeerAddress, Entry> entries;
};

} // namespace lacewingwharf
