#pragma once

#include "common/clock.h"
#include "peer/peernetwork.h"
#include "peer_types.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lacewingwharf {

/** Identity and settings of one daemon for its Membership. */
struct MembershipConfig
{
  std::string host;
  std::string address;
  int peerPort = 0;
  std::string region;
  std::string domain;
  std::vector<PeerAddress> peers;

  /**
   * Whether the daemon keeps full records of all hosts instead of only those
   * in its own failure domain. Domain summaries are then not exchanged.
   */
  bool isFleetWide = false;
  Millis gossipInterval = 1000;
  Millis suspicionTime = 3000;
  Millis syncInterval = 30000;
  Millis endpointTimeout = 3000;
  std::size_t relays = 2;
  std::size_t fanout = 8;

  /** Start time of the process; 0 means the current wall clock time. */
  std::int64_t incarnation = 0;

  /**
   * Limits of the bytes that a daemon sends in answers to sync requests. They
   * apply when many daemons start at once.
   */
  std::size_t syncBytesPerSecond = 128U << 10U;
  std::size_t syncBurstBytes = 512U << 10U;
};

/** Functions through which a Membership sends messages and reports changes. */
struct MembershipHooks
{
  std::function<void(const PeerAddress&, wire::Envelope)> sendDatagram;
  std::function<void(const PeerAddress&, wire::Envelope)> sendControl;
  std::function<void(SessionId, wire::Envelope)> reply;

  /** Called with the catalogue version that a peer holds. Optional. */
  std::function<void(const std::string& aHost, std::int64_t aVersion)>
    onPeerVersion;
  std::function<std::int64_t()> ownVersion;

  /** Called with a peer's version and the hash of its content. Optional. */
  std::function<void(const std::string& aHost,
                     std::int64_t aVersion,
                     std::int32_t aContentHash)>
    onPeerContent;

  /** Returns the hash of the content of ownVersion(), or 0. Optional. */
  std::function<std::int32_t()> ownContentHash;

  /** Returns the highest era of the store that is known, if any. Optional. */
  std::function<std::optional<std::int64_t>()> ownStoreEra;

  /** Called with the era of the store that a peer knows. Optional. */
  std::function<void(std::int64_t aEra)> onPeerStoreEra;

  /** Returns the crash reports to send with the next datagram. Optional. */
  std::function<std::vector<wire::QuarantineMark>()> takeCrashReports;
  std::function<void(const std::vector<wire::QuarantineMark>&)>
    mergeCrashReports;

  /**
   * Whether the store has told all members. Without it, they count as known
   * some time after the start. Optional.
   */
  std::function<bool()> hasStoredMembers;

  /** Returns initial peers from sources other than the settings. Optional. */
  std::function<std::vector<PeerAddress>()> seedPeers;
};

} // namespace lacewingwharf
