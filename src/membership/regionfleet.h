#pragma once

#include "membership/memorynetwork.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace lacewingwharf {

/**
 * Daemons of a site with two regions of four failure domains each, which all
 * keep full records of each other; for tests and benchmarks.
 */
class RegionFleet
{
public:
  RegionFleet(std::size_t aHosts, std::uint64_t aSeed)
    : network(aSeed)
  {
    constexpr std::size_t kDomains = 8;
    this->network.adjustConfig = [](MembershipConfig& aConfig) {
      aConfig.isFleetWide = true;
      aConfig.gossipInterval = 300;
      aConfig.suspicionTime = 1500;
    };
    this->network.faults.maxDelay = 9;
    for (std::size_t index = 0; index < aHosts; ++index) {
      const std::size_t domain = index % kDomains;
      this->network.Add(domain % 2 == 0 ? "north" : "south",
                        fmt::format("domain-{}", domain));
    }
  }

  /** Reports a ready or draining server at every host. */
  void AnnounceAll()
  {
    for (std::size_t host = 0; host < this->network.nodes.size(); ++host) {
      this->Announce(host, wire::EndpointState::READY);
    }
  }

  void Announce(std::size_t aHost, wire::EndpointState::type aState)
  {
    this->network.Announce(aHost, { "orders", 9000, 4, 1800, aState });
    this->network.At(aHost).PublishChanges();
  }

  /** Number of hosts whose view has the given state of aHost's server. */
  std::size_t CountSeeing(std::size_t aHost, wire::EndpointState::type aState)
  {
    std::size_t count = 0;
    for (std::size_t index = 0; index < this->network.nodes.size(); ++index) {
      if (!this->network.IsUp(index)) {
        continue;
      }
      const wire::MemberRecord* const record =
        this->network.At(index).Table().Find(
          this->network.nodes[aHost].config.host);
      const bool isSeen = record != nullptr && record->endpoints.size() == 1 &&
                          record->endpoints[0].state == aState;
      count += isSeen ? 1 : 0;
    }
    return count;
  }

  /** Bytes that all daemons have sent to the other region. */
  std::uint64_t RegionLinkBytes() const
  {
    std::uint64_t bytes = 0;
    std::ranges::for_each(this->network.nodes, [&bytes](const auto& aNode) {
      bytes += aNode.otherRegionBytes;
    });
    return bytes;
  }

  MemoryNetwork network;
};

} // namespace lacewingwharf
