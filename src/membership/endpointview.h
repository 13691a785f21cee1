#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingwharf {

enum class EndpointState
{
  Starting,
  Ready,
  Draining
};

/** Distance of a failure domain from this daemon; nearer is preferred. */
enum class Distance
{
  SameDomain,
  SameRegion,
  OtherRegion
};

/** A backend server and its destination daemon, as known to this daemon. */
struct EndpointInfo
{
  std::string host;
  std::string address; // Of the destination daemon.
  int peerPort = 0;
  std::int64_t incarnation = 0; // Of the destination daemon.
  std::string domain;
  Distance distance = Distance::SameDomain;
  int port = 0; // Of the backend server on its host.
  int slots = 0;
  EndpointState state = EndpointState::Ready;

  /** Whether the destination daemon is suspected to have failed. */
  bool isSuspect = false;
};

/** Capacity and load of a service in one failure domain. */
struct DomainLoad
{
  std::string domain;
  Distance distance = Distance::SameDomain;
  int ready = 0;
  int slots = 0;
  int freeSlots = 0;
  double slowdown = 1.0;
};

/** Endpoints and domain loads of one service. */
struct ServiceView
{
  std::vector<EndpointInfo> endpoints; // Ready only; sorted by host and port.
  std::vector<DomainLoad> domains;     // Sorted by distance, then name.
  int totalSlots = 0;                  // Over all domains.
};

/**
 * All endpoints that this daemon may route to. Immutable: the control thread
 * builds a new view when the membership changes.
 */
struct EndpointView
{
  std::map<std::string, ServiceView, std::less<>> services;
};

using EndpointViewPtr = std::shared_ptr<const EndpointView>;

} // namespace lacewingwharf
