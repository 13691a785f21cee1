#pragma once

#include "routing/serverchooser.h"

#include <map>
#include <set>

namespace lacewingwharf {

/** Slots of one backend server, as its destination daemon reported them. */
struct ServerLoad
{
  int running = 0; // Without the call whose answer had the report.
  int waiting = 0;
  int slots = 0;
  double reportedAt = 0;
};

/** The recent reports on the servers of one service together. */
struct ServiceLoad
{
  int servers = 0; // With a recent report.
  int calls = 0;   // Running and waiting there.
  int slots = 0;
  double age = 0; // Of the newest report.
};

/**
 * The loads of a service's servers that destination daemons reported with their
 * answers in the last seconds.
 */
class ServerLoads
{
public:
  void Record(const EndpointKey& aServer, const ServerLoad& aLoad);

  /** Whether calls wait at the server, or its slots are short. */
  bool IsBusy(const EndpointKey& aServer, double aNow) const;

  std::set<EndpointKey> BusyServers(double aNow) const;
  ServiceLoad Total(double aNow) const;

private:
  std::map<EndpointKey, ServerLoad> loads;
};

} // namespace lacewingwharf
