#pragma once

#include "daemon/adminservice.h"
#include "daemon/callsservice.h"
#include "daemon/controlservice.h"
#include "daemon/daemonprotocol.h"
#include "daemon/siteservice.h"
#include "daemon/stopschedule.h"
#include "peer/peernetwork.h"
#include "settings/settings.h"
#include "status/metricsregistry.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lacewingwharf {

/** Owns the services of one daemon and starts and stops them in order. */
class Daemon
{
public:
  Daemon(const Settings& aSettings, const DaemonProtocol& aProtocol);

  /** False when a port cannot be bound. */
  bool Start();

  /**
   * Stops gracefully: notifies the peers, refuses new calls and waits for calls
   * in flight up to the stop limit.
   */
  void Stop();

private:
  PeerNetworkConfig NetworkConfig() const;
  CallsServiceHooks CallsHooks();
  ControlServiceHooks ControlHooks();
  AdminHooks AdministrationHooks();
  std::string State();
  std::string Metrics();
  /** Keeps the sessions open until peers send no more calls. */
  void RefuseLateCalls();
  void WaitForCalls(Millis aLimit);
  void StopWithOwnProtocol();
  void StopOnSite(const StopSchedule& aSchedule);
  SiteServiceHooks SiteHooks();

  Settings settings;
  DaemonProtocol protocol;
  std::int64_t incarnation;
  MetricsRegistry metrics;
  PeerNetwork network;
  CallsService calls;
  ControlService control;
  AdminService admin;
  std::optional<SiteService> site;
};

} // namespace lacewingwharf
