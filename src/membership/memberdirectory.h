#pragma once

#include "common/clock.h"
#include "membership/localserver.h"
#include "peer/peernetwork.h"
#include "store/platformjob.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lacewingwharf {

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

struct MemberDirectoryHooks
{
  SubmitPlatformJob submit;

  /** Called once with the entry that an earlier process of this host stored. */
  std::function<void(const DirectoryEntry&)> onRestored;

  /** Called after each read with the entries of the other daemons. */
  std::function<void(const std::vector<DirectoryEntry>&)> onMembers;

  /** Called when the store has accepted that a server is leaving. Optional. */
  std::function<void(const LeavingServer&)> onLeavingStored;
};

/**
 * The store objects members/HOST, through which daemons find each other. Each
 * daemon writes its own object when the stored one differs: at its first start
 * and when its server changes or leaves. It reads all objects at startup, again
 * if it found few, and while no other member is known.
 */
class MemberDirectory
{
public:
  MemberDirectory(DirectoryEntry aSelf,
                  Clock aClock,
                  MemberDirectoryHooks aHooks);

  /** Addresses of the other daemons from the last read. */
  const std::vector<PeerAddress>& Peers() const;

  /** Whether the first read of the store is complete. */
  bool HasRead() const;

  /**
   * Whether the members that started together with this daemon are known. Until
   * then, roles that are computed from the members would still move.
   */
  bool HasSettled() const;

  /** Reads or writes if due; aIsAlone: no other live member is known. */
  void Tick(bool aIsAlone);

  /**
   * Returns whether the store has it that the server is leaving. If not, it is
   * written, and a write that fails is repeated by Tick().
   */
  bool StoreLeaving(const LeavingServer& aLeaving);

  /** Schedules a write if the server differs from the one in the entry. */
  void StoreServer(const ServerProcess& aServer);

  /** Removes the own object; used by a daemon that stops with its server. */
  void Remove();

private:
  void Read();
  void Write();
  void HandleWritten(const std::optional<LeavingServer>& aLeaving);
  void RestoreOwn(const DirectoryEntry& aOwn);
  void HandleEntries(const std::vector<DirectoryEntry>& aEntries);

  DirectoryEntry self;
  Clock clock;
  MemberDirectoryHooks hooks;
  std::shared_ptr<bool> lifetime = std::make_shared<bool>(true);
  std::vector<PeerAddress> peers;
  bool isBusy = false;
  bool hasRead = false;
  bool isWritten = false;
  std::int64_t revision = kCreateOnly; // Of the own object.
  int requiredReads = 0; // At startup; known after the first read.
  int reads = 0;
  Millis readDueAt = 0;
  std::optional<Millis> settledAt;
  Millis writeDueAt = 0;

  /** The leaving server in the last entry that the store accepted. */
  std::optional<LeavingServer> storedLeaving;
};

inline const std::vector<PeerAddress>&
MemberDirectory::Peers() const
{
  return this->peers;
}

inline bool
MemberDirectory::HasRead() const
{
  return this->hasRead;
}

} // namespace lacewingwharf
