#pragma once

#include "common/clock.h"
#include "peer_types.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace lacewingwharf {

/** What a backend server on this host announces. */
struct Announcement
{
  std::string service;
  int port = 0;
  int slots = 0;
  int connections = 0;
  wire::EndpointState::type state = wire::EndpointState::READY;

  bool operator==(const Announcement&) const = default;
};

/** The backend servers on this host that renew their announcements. */
class EndpointRegistry
{
public:
  explicit EndpointRegistry(Millis aTimeout);

  /** Also renews; true when the announced values changed. */
  bool Announce(const Announcement& aAnnouncement, Millis aNow);
  bool Withdraw(const std::string& aService, int aPort);

  /** Removes what was not renewed; true when something was removed. */
  bool Expire(Millis aNow);

  /**
   * Restarts every timeout. Used after a pause of this process, when renewals
   * may wait unread in its sockets.
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
