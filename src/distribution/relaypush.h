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
 * Schedules the pushes that a daemon starts as a relay, and decides which
 * pushes it forwards. The first relay pushes at once. The others wait for its
 * push and start their own tree only if it does not arrive, so that a change is
 * normally sent to each member once.
 */
class RelayPush
{
public:
  explicit RelayPush(Clock aClock);

  /**
   * Schedules the push of a version that this daemon read from the platform as
   * the relay of rank aRank, counted from 0.
   */
  void SchedulePush(const wire::ConfigBody& aBody, int aRank);

  /**
   * Records that a push of this version arrived, and cancels the scheduled
   * pushes up to this version.
   */
  void RecordArrival(std::int64_t aVersion);

  std::vector<wire::ConfigBody> TakeDue();

  /**
   * Records that a push is forwarded. Returns false if the same or a newer
   * version from the same root was recorded before; the push must then not be
   * forwarded.
   */
  bool RecordForward(const std::string& aRoot, std::int64_t aVersion);

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
