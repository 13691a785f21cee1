#pragma once

#include "common/clock.h"
#include "peer/peernetwork.h"
#include "peer_types.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace lacewingwharf {

struct MembershipConfig
{
  std::string host;
  std::string address;
  int peerPort = 0;
  std::string region;
  std::string domain;
  std::vector<PeerAddress> peers;
  /**
   * Whether full records of all hosts are kept, not only of the own failure
   * domain. There are then no summaries of domains.
   */
  bool isFleetWide = false;
  Millis gossipInterval = 1000;
  Millis suspicionTime = 3000;
  Millis syncInterval = 30000;
  Millis endpointTimeout = 3000;
  std::size_t relays = 2;
  std::size_t fanout = 8;

  /** Start time of the process; 0 takes it from the wall clock. */
  std::int64_t incarnation = 0;

  /** Bounds what a daemon sends in answer to syncs, for herd restarts. */
  std::size_t syncBytesPerSecond = 128U << 10U;
  std::size_t syncBurstBytes = 512U << 10U;
};

struct MembershipHooks
{
  std::function<void(const PeerAddress&, wire::Envelope)> sendDatagram;
  std::function<void(const PeerAddress&, wire::Envelope)> sendControl;
  std::function<void(SessionId, wire::Envelope)> reply;

  /** Version of the catalogue that a peer holds. Optional. */
  std::function<void(const std::string& aHost, std::int64_t aVersion)>
    onPeerVersion;
  std::function<std::int64_t()> ownVersion;

  /** Short hashes of the content of those versions; 0: not known. Optional. */
  std::function<void(const std::string& aHost,
                     std::int64_t aVersion,
                     std::int32_t aContentHash)>
    onPeerContent;
  std::function<std::int32_t()> ownContentHash;

  /** Quarantine marks to send with the next datagram. Optional. */
  std::function<std::vector<wire::QuarantineMark>()> takeCrashReports;
  std::function<void(const std::vector<wire::QuarantineMark>&)>
    mergeCrashReports;

  /** First peers found elsewhere than in the settings. Optional. */
  std::function<std::vector<PeerAddress>()> seedPeers;
};

} // namespace lacewingwharf
