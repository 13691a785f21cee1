#pragma once

#include "daemon/sitebounds.h"
#include "membership/endpointview.h"
#include "rollout/rolloutorders.h"
#include "rollout/versiongate.h"
#include "settings/settings.h"
#include "status/metricsregistry.h"
#include "store/platformwatch.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace lacewingwharf {

/** Functions of ControlService. All but post are called on its thread. */
struct RolloutServiceHooks
{
  std::function<void(Completion)> post;
  SubmitPlatformJob submit;
  std::function<void(const std::string& aHost, wire::Envelope)> sendDatagram;
  std::function<EndpointViewPtr()> view;
  std::function<bool(const std::string& aHost, std::int64_t aIncarnation)>
    canDecide;

  /** Whether the watch of the catalogue works as well. */
  std::function<bool()> isWatchWorking;

  /** Passes a share to the calls thread. */
  std::function<void(const wire::RolloutShare&)> onShare;
};

/** The part of the control thread that handles rollouts. */
class RolloutService
{
public:
  using Json = nlohmann::json;

  /** Whether the settings ask for rollouts. */
  static bool IsEnabled(const Settings& aSettings);

  RolloutService(const Settings& aSettings,
                 const SiteBounds& aBounds,
                 std::int64_t aIncarnation,
                 const ObjectStore& aStore,
                 Clock aClock,
                 RolloutServiceHooks aHooks);

  void Start();
  void Stop();
  void SetView(const EndpointView& aView);

  void HandleStoreRise();

  /** aIsWatcher: this daemon watches the store for its region. */
  void Tick(bool aIsWatcher);
  bool IsDeciding() const;

  /** Sends a report of the own calls thread to the decider. */
  void SendReport(const std::string& aDecider,
                  const wire::RolloutReport& aReport);
  void HandleReport(const wire::RolloutReport& aReport);
  void HandleShare(const wire::RolloutShare& aShare);

  /** The orders that this daemon decides or knows, for status commands. */
  Json State() const;
  void SetMetrics(MetricsRegistry& aMetrics) const;

private:
  RolloutOrdersHooks OrdersHooks();
  std::vector<RolloutMember> Members(const std::string& aRegion) const;
  VersionSlots Slots(const std::string& aService,
                     const std::string& aBase,
                     const std::string& aTarget) const;
  void SendShare(const std::string& aHost, const wire::RolloutShare& aShare);

  std::string host;
  std::string region;
  RolloutServiceHooks hooks;
  VersionGate gate;
  RolloutOrders orders;
  PlatformWatch watch; // Last, because its thread calls the hook.
};

inline void
RolloutService::HandleStoreRise()
{
  this->orders.HandleRestore();
}

inline bool
RolloutService::IsDeciding() const
{
  return this->orders.IsDeciding();
}

} // namespace lacewingwharf
