#pragma once

#include "membership/localserver.h"
#include "peer/peernetwork.h"
#include "peer_types.h"
#include "store/objectstore.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lacewingwharf {

/** Prefix of the store objects of daemons. */
inline constexpr const char* kMemberPrefix = "members/";

/** The store's entry for a daemon and the backend server on its host. */
struct DirectoryEntry
{
  std::string host;
  PeerAddress address;
  std::string region;
  std::string domain;
  std::int64_t incarnation = 0;

  /** The server process that sent the last accepted heartbeat. */
  std::optional<ServerProcess> server;

  /**
   * The server process that is leaving. It is stored so that the server gets no
   * new calls after a restart of the daemon.
   */
  std::optional<LeavingServer> leaving;
};

/**
 * The member record of an entry. It has sequence 0, so every record that the
 * member itself publishes supersedes it.
 */
wire::MemberRecord
RecordOf(const DirectoryEntry& aEntry);

/** The text of the store object of an entry. */
std::string
EncodeEntry(const DirectoryEntry& aEntry);

/** Returns nothing for an object that is not the entry of a daemon. */
std::optional<DirectoryEntry>
DecodeEntry(const StoredObject& aObject);

} // namespace lacewingwharf
