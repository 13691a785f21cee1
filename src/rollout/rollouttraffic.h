#pragma once

#include "common/clock.h"
#include "membership/endpointview.h"
#include "peer_types.h"
#include "rollout/rolloutreports.h"
#include "rollout/versiongate.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace lacewingwharf {

/**
 * The part of rollouts at an entry daemon: chooses the version for each attempt
 * and reports what the attempts show. Used by the calls thread only.
 */
class RolloutTraffic
{
public:
  /** Sends a report to the daemon that decides. */
  using Send =
    std::function<void(const std::string& aDecider, wire::RolloutReport)>;

  RolloutTraffic(std::string aHost,
                 std::int64_t aIncarnation,
                 Clock aClock,
                 Send aSend);

  void SetView(const EndpointView& aView);
  void HandleShare(const wire::RolloutShare& aShare);

  /** Whether the next attempt goes to the target version if a server can. */
  bool PrefersTarget(const std::string& aService) const;

  bool IsOrderRunning(const std::string& aService) const;

  /** Adds the servers that must not get the attempt to aExcluded. */
  void Exclude(const std::string& aService,
               VersionChoice aChoice,
               std::set<EndpointKey>& aExcluded) const;

  /** Returns the order to pass to RecordEnd(); 0 without one. */
  std::int64_t RecordStart(const std::string& aService,
                           const EndpointInfo& aServer);
  void RecordEnd(const std::string& aService,
                 const EndpointInfo& aServer,
                 std::int64_t aOrder,
                 const std::string& aRoute,
                 ServerResult aResult);

  /** Sends the reports that are due. */
  void Tick();

private:
  struct Service
  {
    RolloutReports reports;
    std::map<std::string, std::int64_t> running; // By version.
    Millis reportedAt = 0;
    Millis sharedAt = 0;   // When the last share arrived.
    Millis rejectedAt = 0; // When the sender of an old share was last told.
    bool isReportDue = false;
  };

  void Report(const std::string& aName,
              Service& aService,
              const wire::RolloutShare& aOrder);
  Millis ReportInterval(const Service& aService,
                        const wire::RolloutShare& aOrder) const;

  std::string host;
  std::int64_t incarnation;
  Clock clock;
  Send send;
  VersionGate gate;
  std::map<std::string, Service> services;
};

} // namespace lacewingwharf
