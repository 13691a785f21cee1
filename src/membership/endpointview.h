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

  /** As the server reports it; empty where rollouts are not enabled. */
  std::string serverVersion;
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

/** A daemon that has not left the fleet, as known to this daemon. */
struct FleetMember
{
  std::string host;
  std::string address;
  int peerPort = 0;
  std::string region;
  std::int64_t incarnation = 0;

  /** Not dead. A suspect member counts as alive: it often only has a full link.
   */
  bool isAlive = true;
};

/**
 * All endpoints that this daemon may route to. Immutable: the control thread
 * builds a new view when the membership changes.
 */
struct EndpointView
{
  std::map<std::string, ServiceView, std::less<>> services;

  /** All members of the own group, this daemon included; sorted by host. */
  std::vector<FleetMember> members;

  /**
   * Whether members lists all of the own group. False on a daemon that has
   * started and has not learned the others yet.
   */
  bool isComplete = false;

  /** Whether another member has answered, so that others know this daemon. */
  bool hasContact = false;

  /** Groups of the fleet, the own one included; each has its own members. */
  int groups = 1;
};

using EndpointViewPtr = std::shared_ptr<const EndpointView>;

} // namespace lacewingwharf
