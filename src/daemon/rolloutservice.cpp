#include "daemon/rolloutservice.h"

#include <algorithm>
#include <utility>

namespace lacewingwharf {

namespace {

// An order is reported at once; this only bounds how long a watch that the
// store has dropped goes unnoticed. The store charges for each watch.
constexpr Millis kWatchTimeout = 2500;
constexpr Millis kMaxRetryDelay = 1000;

PlatformWatchConfig
WatchConfig()
{
  PlatformWatchConfig config;
  config.prefix = kRolloutPrefix;
  config.watchTimeout = kWatchTimeout;
  config.backoff.maxDelay = kMaxRetryDelay;
  return config;
}

RolloutOrdersConfig
OrdersConfig(const Settings& aSettings,
             const SiteBounds& aBounds,
             std::int64_t aIncarnation)
{
  RolloutOrdersConfig config;
  config.host = aSettings.host;
  config.incarnation = aIncarnation;
  config.exposureShare = aBounds.exposureShare;
  config.exposureSlack = aBounds.exposureSlack;
  config.rollbackTime = aBounds.rollbackTime;
  return config;
}

} // namespace

bool
RolloutService::IsEnabled(const Settings& aSettings)
{
  constexpr const char* kContract = "rollout";
  const auto& contracts = aSettings.site.contracts;
  return aSettings.site.protocol != ProtocolKind::Own &&
         std::ranges::find(contracts, kContract) != contracts.end();
}

RolloutService::RolloutService(const Settings& aSettings,
                               const SiteBounds& aBounds,
                               std::int64_t aIncarnation,
                               const ObjectStore& aStore,
                               Clock aClock,
                               RolloutServiceHooks aHooks)
  : host(aSettings.host)
  , region(aSettings.region)
  , hooks(std::move(aHooks))
  , gate(aIncarnation, aClock)
  , orders(OrdersConfig(aSettings, aBounds, aIncarnation),
           std::move(aClock),
           Clock::Wall(),
           this->OrdersHooks())
  , watch(aStore,
          WatchConfig(),
          [this](PlatformResult<ObjectList> aResult, bool aIsFullList) {
            if (!aResult) {
              return; // The watch logs the error and retries.
            }
            const std::int64_t era = aResult.era.value_or(0);
            this->hooks.post(
              [this, aIsFullList, era, list = std::move(aResult).value()] {
                this->orders.HandleObjects(list, aIsFullList, era);
              });
          })
{
}

void
RolloutService::Start()
{
  this->watch.Start();
}

void
RolloutService::Stop()
{
  this->watch.Stop();
}

void
RolloutService::SetView(const EndpointView& aView)
{
  this->gate.SetView(aView);
}

void
RolloutService::Tick(bool aIsWatcher)
{
  this->watch.SetActive(aIsWatcher || this->IsDeciding());
  this->orders.Tick();
}

RolloutOrdersHooks
RolloutService::OrdersHooks()
{
  RolloutOrdersHooks orderHooks;
  orderHooks.submit = this->hooks.submit;
  orderHooks.send = [this](const std::string& aHost,
                           const wire::RolloutShare& aShare) {
    this->SendShare(aHost, aShare);
  };
  orderHooks.members = [this] { return this->Members({}); };
  orderHooks.neighbours = [this] { return this->Members(this->region); };
  orderHooks.slots = [this](const std::string& aService,
                            const std::string& aBase,
                            const std::string& aTarget) {
    return this->Slots(aService, aBase, aTarget);
  };
  orderHooks.baseVersion = [this](const std::string& aService,
                                  const std::string& aTarget) {
    return this->gate.VersionToReplace(aService, aTarget);
  };
  orderHooks.disputedVersions = [this] {
    return this->gate.DisputedVersions();
  };
  orderHooks.canDecide = this->hooks.canDecide;
  orderHooks.hasStore = [this] {
    return this->watch.IsWorking() && this->hooks.isWatchWorking();
  };
  return orderHooks;
}

/** Returns the members of a region, or all if it is empty. */
std::vector<RolloutMember>
RolloutService::Members(const std::string& aRegion) const
{
  const EndpointViewPtr view = this->hooks.view();
  std::vector<RolloutMember> members;
  for (const FleetMember& member : view->members) {
    if (aRegion.empty() || member.region == aRegion) {
      members.push_back({ member.host, member.incarnation, member.isAlive });
    }
  }
  return members;
}

VersionSlots
RolloutService::Slots(const std::string& aService,
                      const std::string& aBase,
                      const std::string& aTarget) const
{
  const EndpointViewPtr view = this->hooks.view();
  VersionSlots slots;
  const auto service = view->services.find(aService);
  if (service == view->services.end()) {
    return slots;
  }
  for (const EndpointInfo& info : service->second.endpoints) {
    slots.base += info.serverVersion == aBase ? info.slots : 0;
    slots.target += info.serverVersion == aTarget ? info.slots : 0;
    slots.targetServers += info.serverVersion == aTarget ? 1 : 0;
  }
  return slots;
}

void
RolloutService::SendShare(const std::string& aHost,
                          const wire::RolloutShare& aShare)
{
  if (aHost == this->host) {
    this->HandleShare(aShare);
    return;
  }
  wire::Envelope envelope;
  envelope.__set_rolloutShare(aShare);
  this->hooks.sendDatagram(aHost, std::move(envelope));
}

void
RolloutService::SendReport(const std::string& aDecider,
                           const wire::RolloutReport& aReport)
{
  if (aDecider == this->host) {
    this->HandleReport(aReport);
    return;
  }
  wire::Envelope envelope;
  envelope.__set_rolloutReport(aReport);
  this->hooks.sendDatagram(aDecider, std::move(envelope));
}

void
RolloutService::HandleReport(const wire::RolloutReport& aReport)
{
  this->orders.HandleReport(aReport);
}

void
RolloutService::HandleShare(const wire::RolloutShare& aShare)
{
  this->gate.HandleShare(aShare);
  this->orders.HandleShare(aShare);
  this->hooks.onShare(aShare);
}

RolloutService::Json
RolloutService::State() const
{
  Json rows = this->orders.State();
  for (const std::string& service : this->gate.Services()) {
    const bool isKnown =
      std::ranges::any_of(rows, [&service](const Json& aRow) {
        return aRow["service"] == service;
      });
    if (isKnown) {
      continue;
    }
    const wire::RolloutShare& order = *this->gate.FindOrder(service);
    rows.push_back({ { "service", service },
                     { "target", order.targetVersion },
                     { "state", kRolloutStateNames.NameOf(order.state) },
                     { "base", order.baseVersion },
                     { "decider", order.decider } });
  }
  return rows;
}

void
RolloutService::SetMetrics(MetricsRegistry& aMetrics) const
{
  for (const Json& row : this->orders.State()) {
    const auto evidence = row.find("evidence");
    if (evidence == row.end()) {
      continue;
    }
    const auto set =
      [&](const char* aName, const char* aHelp, const char* aKey) {
        aMetrics.Gauge(aName, aHelp, { { "service", row["service"] } })
          ->Set(static_cast<double>((*evidence)[aKey].get<std::int64_t>()));
      };
    set("lacewingwharf_rollout_requests",
        "Requests to the service since the order that this daemon decides",
        "requests");
    set("lacewingwharf_rollout_exposure",
        "Requests that were allowed to be sent to the target version",
        "exposure");
    set("lacewingwharf_rollout_budget",
        "Requests that may be sent to the target version by now",
        "budget");
  }
}

} // namespace lacewingwharf
