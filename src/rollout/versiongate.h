#pragma once

#include "common/clock.h"
#include "membership/endpointview.h"
#include "peer_types.h"
#include "routing/serverchooser.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lacewingwharf {

/** The version of servers that a request is meant for. */
enum class VersionChoice
{
  Base,  // The version in use.
  Target // The version of the running order.
};

/**
 * Decides which servers of a service may get requests, by their versions. The
 * version that served first is the one in use. Another version gets requests
 * only as far as an order and the decider's share allow it. Designed for
 * hundreds of servers of a service; a service with one version costs a look-up.
 */
class VersionGate
{
public:
  VersionGate(std::int64_t aIncarnation, Clock aClock);

  void SetView(const EndpointView& aView);

  /**
   * Returns false, without effect, if a newer share is known. A share with the
   * state NONE only says which version is in use; the one of the daemon that
   * started first counts.
   */
  bool HandleShare(const wire::RolloutShare& aShare);

  /** The newest share of the service's latest order; null without an order. */
  const wire::RolloutShare* FindOrder(const std::string& aService) const;

  /** Services with an order, by name. */
  std::vector<std::string> Services() const;

  /**
   * The version in use of each service that has servers of several versions and
   * no order. Empty while this daemon starts.
   */
  std::map<std::string, std::string> DisputedVersions() const;

  /** Empty while no server of the service is known. */
  std::string BaseVersion(const std::string& aService) const;

  /**
   * The version that an order for aTarget replaces; aTarget if there is no
   * other one, and empty while that is not known.
   */
  std::string VersionToReplace(const std::string& aService,
                               const std::string& aTarget) const;

  /**
   * Whether the next request may go to the target version, if aExposed requests
   * were sent to it since the order.
   */
  bool MayUseTarget(const std::string& aService, std::int64_t aExposed) const;

  /** Whether the order is running and this is the version that it names. */
  bool IsTarget(const std::string& aService, const std::string& aVersion) const;

  /** Adds the servers that must not get the request to aExcluded. */
  void Exclude(const std::string& aService,
               VersionChoice aChoice,
               std::set<EndpointKey>& aExcluded) const;

  /** Whether the server has been known for the length of a usual cold start. */
  bool IsWarm(const std::string& aService, const EndpointKey& aKey) const;

private:
  struct Server
  {
    EndpointKey key;
    std::string version;
    std::int64_t incarnation = 0;
    Millis seenAt = 0;
  };

  struct Service
  {
    std::string base;
    std::vector<Server> servers;
    std::optional<Millis> baseGoneAt;
    std::optional<wire::RolloutShare> order;
    Millis validUntil = 0;
  };

  void UpdateServers(Service& aService, const ServiceView& aView) const;
  void UpdateBase(Service& aService) const;
  bool MayServe(const Service& aService, const std::string& aVersion) const;
  static bool IsRunning(const Service& aService);
  static std::set<EndpointKey> TargetServers(const Service& aService);

  std::int64_t incarnation;
  Clock clock;
  Millis startedAt;
  std::map<std::string, Service, std::less<>> services;
};

} // namespace lacewingwharf
