#pragma once

#include "common/clock.h"
#include "peer_types.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace lacewingwharf {

/**
 * Decides which pushes a daemon starts as a feeder and which it passes on.
 * The first feeder pushes at once; the others wait for its push and start
 * their own tree only when it does not come, so that a change is normally sent
 * to each member once.
 */
class RelayPush
{
public:
  explicit RelayPush(Clock aClock);

  /** A version that the feeder of rank aRank, from 0, got from the platform. */
  void SchedulePush(const wire::ConfigBody& aBody, int aRank);

  /** A push of this version arrived along the tree of another feeder. */
  void RecordArrival(std::int64_t aVersion);

  std::vector<wire::ConfigBody> TakeDue();

  /** True once for each root and version. */
  bool ShouldForward(const std::string& aRoot, std::int64_t aVersion);

private:
  struct Pending
  {
    wire::ConfigBody body;
    Millis dueAt = 0;
  };

  Clock clock;
  std::int64_t newestKnown = 0;
  std::deque<Pending> pending;
  std::map<std::string, std::int64_t> forwarded; // Newest version by root.
};

} // namespace lacewingwharf
