#include "rollout/versiongate.h"

#include "common/hash.h"
#include "common/log.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr Log kLog("rollout");

// While a daemon starts, it may see servers of a new version before those of
// the version in use, so the choice is made again with each view.
constexpr Millis kSettleTime = 5000;

// A version is taken as replaced without an order when it has had no server for
// this long. Shorter absences are restarts and partitions.
constexpr Millis kReplacedTime = 10000;

// Cold starts of servers are shorter than this.
constexpr Millis kColdTime = 3000;

/** An ended order stays ended, whatever late or other deciders send. */
bool
IsOlder(const wire::RolloutShare& aShare, const wire::RolloutShare& aKnown)
{
  if (aShare.order != aKnown.order) {
    return aShare.order < aKnown.order;
  }
  const bool isRunning = aShare.state == wire::RolloutState::RUNNING;
  const bool wasRunning = aKnown.state == wire::RolloutState::RUNNING;
  if (isRunning != wasRunning) {
    return isRunning;
  }
  return aShare.sequence < aKnown.sequence;
}

} // namespace

VersionGate::VersionGate(std::int64_t aIncarnation, Clock aClock)
  : incarnation(aIncarnation)
  , clock(std::move(aClock))
  , startedAt(this->clock.Now())
{
}

void
VersionGate::SetView(const EndpointView& aView)
{
  for (auto& [name, service] : this->services) {
    const auto present = aView.services.find(name);
    this->UpdateServers(service,
                        present == aView.services.end() ? ServiceView()
                                                        : present->second);
  }
  for (const auto& [name, view] : aView.services) {
    const auto [found, isNew] = this->services.try_emplace(name);
    if (isNew) {
      this->UpdateServers(found->second, view);
    }
  }
}

void
VersionGate::UpdateServers(Service& aService, const ServiceView& aView) const
{
  this->UpdateBase(aService); // A change may be due since the last view.
  const std::vector<Server> known = std::exchange(aService.servers, {});
  for (const EndpointInfo& info : aView.endpoints) {
    const EndpointKey key{ info.host, info.port };
    const auto same = std::ranges::find_if(known, [&](const Server& aServer) {
      return aServer.key == key && aServer.version == info.serverVersion;
    });
    aService.servers.push_back(
      { key,
        info.serverVersion,
        info.incarnation,
        same == known.end() ? this->clock.Now() : same->seenAt });
  }
  this->UpdateBase(aService);
}

/**
 * Without an order, the version in use is that of the daemon that started
 * first, because servers of a new version are started beside the old ones.
 */
void
VersionGate::UpdateBase(Service& aService) const
{
  std::vector<Server> versioned;
  std::ranges::copy_if(
    aService.servers, std::back_inserter(versioned), [](const Server& aServer) {
      return !aServer.version.empty();
    });
  if (versioned.empty()) {
    return;
  }
  const bool isPresent =
    std::ranges::find(versioned, aService.base, &Server::version) !=
    versioned.end();
  if (isPresent) {
    aService.baseGoneAt.reset();
  } else if (!aService.baseGoneAt) {
    aService.baseGoneAt = this->clock.Now();
  }
  const bool isOrdered = aService.order.has_value();
  const bool isSettling =
    !isOrdered && this->clock.Now() - this->startedAt < kSettleTime;
  const bool isReplaced =
    !isPresent && !IsRunning(aService) &&
    this->clock.Now() - *aService.baseGoneAt >= kReplacedTime;
  if (!aService.base.empty() && !isSettling && !isReplaced) {
    return;
  }
  std::erase_if(versioned, [&aService](const Server& aServer) {
    return aService.order &&
           aService.order->state == wire::RolloutState::ROLLED_BACK &&
           aServer.version == aService.order->targetVersion;
  });
  const auto first =
    std::ranges::min_element(versioned, {}, &Server::incarnation);
  if (first != versioned.end() && first->version != aService.base) {
    kLog.Decision("version-in-use",
                  "version={} before={} servers={}",
                  first->version,
                  aService.base,
                  aService.servers.size());
    aService.base = first->version;
    aService.baseGoneAt.reset();
  }
}

bool
VersionGate::HandleShare(const wire::RolloutShare& aShare)
{
  Service& service = this->services[aShare.serviceName];
  const auto& known = service.order;
  const bool isOld = known && IsOlder(aShare, *known);
  const bool isLater = aShare.state == wire::RolloutState::NONE &&
                       aShare.deciderIncarnation >= this->incarnation;
  if (isOld || isLater) {
    return false;
  }
  const bool isChange = !known || known->order != aShare.order ||
                        known->state != aShare.state ||
                        known->isStretch != aShare.isStretch;
  // An echo of an earlier process of this host has a stamp of another clock.
  const bool isForThisProcess = aShare.incarnation == this->incarnation;
  service.validUntil = isForThisProcess ? aShare.echo + aShare.validMillis : 0;
  service.order = aShare;
  const bool hasSucceeded = aShare.state == wire::RolloutState::SUCCEEDED;
  service.base = hasSucceeded ? aShare.targetVersion : aShare.baseVersion;
  service.baseGoneAt.reset();
  this->UpdateBase(service);
  if (isChange) {
    kLog.Decision("rollout-state",
                  "service={} order={} state={} target={} base={} sequence={} "
                  "limit={} stretch={} decider={}",
                  aShare.serviceName,
                  aShare.order,
                  wire::to_string(aShare.state),
                  aShare.targetVersion,
                  aShare.baseVersion,
                  aShare.sequence,
                  aShare.limit,
                  aShare.isStretch,
                  aShare.decider);
  }
  return true;
}

const wire::RolloutShare*
VersionGate::FindOrder(const std::string& aService) const
{
  const auto found = this->services.find(aService);
  return found == this->services.end() || !found->second.order
           ? nullptr
           : &*found->second.order;
}

std::vector<std::string>
VersionGate::Services() const
{
  std::vector<std::string> names;
  for (const auto& [name, service] : this->services) {
    if (service.order) {
      names.push_back(name);
    }
  }
  return names;
}

std::map<std::string, std::string>
VersionGate::DisputedVersions() const
{
  std::map<std::string, std::string> versions;
  if (this->clock.Now() - this->startedAt < kSettleTime) {
    return versions;
  }
  for (const auto& [name, service] : this->services) {
    const bool hasOrder =
      service.order && service.order->state != wire::RolloutState::NONE;
    const std::string& base = service.base;
    const bool isDisputed =
      std::ranges::any_of(service.servers, [&base](const Server& aServer) {
        return !aServer.version.empty() && aServer.version != base;
      });
    if (!hasOrder && isDisputed && !service.baseGoneAt) {
      versions.emplace(name, base);
    }
  }
  return versions;
}

std::string
VersionGate::BaseVersion(const std::string& aService) const
{
  const auto found = this->services.find(aService);
  return found == this->services.end() ? std::string() : found->second.base;
}

std::string
VersionGate::VersionToReplace(const std::string& aService,
                              const std::string& aTarget) const
{
  const auto found = this->services.find(aService);
  if (found == this->services.end()) {
    return {};
  }
  const Service& service = found->second;
  const bool isGone = service.baseGoneAt.has_value();
  if (isGone && this->clock.Now() - *service.baseGoneAt < kReplacedTime) {
    return {}; // Until then, others serve without an order.
  }
  if (!isGone && service.base != aTarget) {
    return service.base;
  }
  // The target may be taken for the base after a start beside new servers.
  const auto other =
    std::ranges::find_if(service.servers, [&aTarget](const Server& aServer) {
      return !aServer.version.empty() && aServer.version != aTarget;
    });
  return other == service.servers.end() ? aTarget : other->version;
}

bool
VersionGate::IsRunning(const Service& aService)
{
  return aService.order && aService.order->state == wire::RolloutState::RUNNING;
}

bool
VersionGate::MayUseTarget(const std::string& aService,
                          std::int64_t aExposed) const
{
  const auto found = this->services.find(aService);
  return found != this->services.end() && IsRunning(found->second) &&
         aExposed < found->second.order->limit &&
         this->clock.Now() < found->second.validUntil;
}

bool
VersionGate::IsTarget(const std::string& aService,
                      const std::string& aVersion) const
{
  const auto found = this->services.find(aService);
  return found != this->services.end() && IsRunning(found->second) &&
         !aVersion.empty() && aVersion == found->second.order->targetVersion;
}

/** Whether servers of the version serve without a share. */
bool
VersionGate::MayServe(const Service& aService,
                      const std::string& aVersion) const
{
  if (aVersion.empty() || aVersion == aService.base || aService.base.empty()) {
    return true;
  }
  if (!aService.baseGoneAt) {
    return false;
  }
  // No server of the version in use is left.
  if (!aService.order) {
    return true;
  }
  const wire::RolloutShare& order = *aService.order;
  switch (order.state) {
    case wire::RolloutState::RUNNING:
      // During the last stretch, the old servers stop when the order has
      // succeeded, and the message that says so may be late.
      return order.isStretch && aVersion == order.targetVersion;
    case wire::RolloutState::ROLLED_BACK:
      return aVersion != order.targetVersion;
    default:
      return true;
  }
}

std::set<EndpointKey>
VersionGate::TargetServers(const Service& aService)
{
  const wire::RolloutShare& order = *aService.order;
  std::vector<EndpointKey> keys;
  for (const Server& server : aService.servers) {
    if (server.version == order.targetVersion) {
      keys.push_back(server.key);
    }
  }
  // The same order on all daemons, so that few servers see their full load.
  const auto rank = [&order](const EndpointKey& aKey) {
    return Hash64(aKey.host + ':' + std::to_string(aKey.port),
                  static_cast<std::uint64_t>(order.order));
  };
  std::ranges::sort(keys, {}, rank);
  const auto limit = static_cast<std::size_t>(order.servers);
  if (limit > 0 && keys.size() > limit) {
    keys.resize(limit);
  }
  return { keys.begin(), keys.end() };
}

void
VersionGate::Exclude(const std::string& aService,
                     VersionChoice aChoice,
                     std::set<EndpointKey>& aExcluded) const
{
  const auto found = this->services.find(aService);
  if (found == this->services.end()) {
    return;
  }
  const Service& service = found->second;
  if (aChoice == VersionChoice::Target) {
    const auto targets = TargetServers(service);
    for (const Server& server : service.servers) {
      if (!targets.contains(server.key)) {
        aExcluded.insert(server.key);
      }
    }
    return;
  }
  for (const Server& server : service.servers) {
    if (!this->MayServe(service, server.version)) {
      aExcluded.insert(server.key);
    }
  }
}

bool
VersionGate::IsWarm(const std::string& aService, const EndpointKey& aKey) const
{
  const auto found = this->services.find(aService);
  if (found == this->services.end()) {
    return true;
  }
  const auto server =
    std::ranges::find(found->second.servers, aKey, &Server::key);
  return server == found->second.servers.end() ||
         this->clock.Now() - server->seenAt >= kColdTime;
}

} // namespace lacewingwharf
