#pragma once

#include "common/clock.h"
#include "peer_types.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace lacewingwharf {

/** The announcement of a backend server on this host. */
struct Announcement
{
  std::string service;
  int port = 0;
  int slots = 0;
  int connections = 0;
  wire::EndpointState::type state = wire::EndpointState::READY;
  std::string version; // Empty if unknown or not used.

  bool operator==(const Announcement&) const = default;
};

/** The backend servers on this host, each until its announcement expires. */
class EndpointRegistry
{
public:
  explicit EndpointRegistry(Millis aTimeout);

  /** Adds or renews an announcement; true if its values changed. */
  bool Announce(const Announcement& aAnnouncement, Millis aNow);
  bool Withdraw(const std::string& aService, int aPort);

  /** Removes announcements that were not renewed; true if there were any. */
  bool Expire(Millis aNow);

  /**
   * Restarts all timeouts. Used after a pause of this process, because renewals
   * may still be unread in its sockets.
   */
  void RestartTimeouts(Millis aNow);

  std::vector<wire::Endpoint> Endpoints() const;

private:
  struct Entry
  {
    Announcement announcement;
    Millis renewedAt = 0;
  };

  Millis timeout;
  std::map<std::pair<std::string, int>, Entry> entries;
};

} // namespace lacewingwharf
