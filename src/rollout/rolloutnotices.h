#pragma once

#include "common/clock.h"
#include "peer_types.h"
#include "rollout/rolloutdecider.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace lacewingwharf {

/**
 * Tells daemons which version of a service is in use: how orders ended, each
 * until it acknowledges that: those that missed the message of the decider, and
 * those that start later.
 */
class RolloutNotices
{
public:
  using Send =
    std::function<void(const std::string& aHost, wire::RolloutShare)>;

  RolloutNotices(Clock aClock, Send aSend);

  void SetEnd(const wire::RolloutShare& aEnd);

  /**
   * Replaces what is told of services without an order. Only daemons that
   * started later than aIncarnation are told.
   */
  void SetVersions(const std::map<std::string, std::string>& aVersions,
                   const std::string& aSelf,
                   std::int64_t aIncarnation);
  void Remove(const std::string& aService);

  /** Handles the acknowledgement, which is a report without counts. */
  void HandleReport(const wire::RolloutReport& aReport);
  void Tick(const std::vector<RolloutMember>& aMembers);

private:
  struct Receiver
  {
    std::int64_t incarnation = 0;
    int sent = 0;
    bool hasAcknowledged = false;
  };

  struct Notice
  {
    wire::RolloutShare share;
    std::map<std::string, Receiver> receivers; // By host.
  };

  Clock clock;
  Send send;
  Millis dueAt = 0;
  std::map<std::string, Notice> notices; // By service.
};

} // namespace lacewingwharf
