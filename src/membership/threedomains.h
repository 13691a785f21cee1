#pragma once

#include "membership/memorynetwork.h"

#include <cstddef>
#include <string>
#include <utility>

namespace lacewingwharf {

inline Announcement
ReadyAnnouncement(const std::string& aService, int aPort = 9000)
{
  return { aService, aPort, 6, 110, wire::EndpointState::READY };
}

/** Two domains in one region and one in another; each node has a server. */
inline void
AddDomains(MemoryNetwork& aNetwork, std::size_t aPerDomain)
{
  const std::pair<const char*, const char*> locations[] = {
    { "north", "bangor" }, { "north", "wrecsam" }, { "south", "abertawe" }
  };
  for (std::size_t index = 0; index < aPerDomain; ++index) {
    for (const auto& [region, domain] : locations) {
      aNetwork.Announce(aNetwork.Add(region, domain),
                        ReadyAnnouncement("orders"));
    }
  }
}

} // namespace lacewingwharf
