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

/** What a daemon keeps in the store of itself and of the server beside it. */
struct DirectoryEntry
{
  std::string host;
  PeerAddress address;
  std::string region;
  std::string domain;
  std::int64_t incarnation = 0;

  /** The server process that was heard last. */
  std::optional<ServerProcess> server;

  /** Survives the daemon, so that a leaving server gets no new work. */
  std::optional<LeavingServer> leaving;
};

/** The member that an entry tells of, older than what the member says itself.
 */
wire::MemberRecord
RecordOf(const DirectoryEntry& aEntry);

struct MemberDirectoryHooks
{
  SubmitPlatformJob submit;

  /** Called once with what an earlier process of this host has stored. */
  std::function<void(const DirectoryEntry&)> onRestored;

  /** Called with the other daemons after each read. */
  std::function<void(const std::vector<DirectoryEntry>&)> onMembers;
};

/**
 * The objects members/HOST, by which daemons find one another. Each writes its
 * own when it starts and when its server changes or leaves; others are read at
 * the start and while no other member is known.
 */
class MemberDirectory
{
public:
  MemberDirectory(DirectoryEntry aSelf,
                  Clock aClock,
                  MemberDirectoryHooks aHooks);

  /** Addresses of other daemons that the store named last. */
  const std::vector<PeerAddress>& Peers() const;

  /** Whether the store has told what an earlier process of this host knew. */
  bool HasRead() const;

  /**
   * Whether the members that started with this daemon are known, so that
   * duties computed from them no longer move.
   */
  bool HasSettled() const;

  /** aIsAlone is true when no other live member is known. */
  void Tick(bool aIsAlone);

  /**
   * Writes that a server leaves; aDone is called when that is stored, or could
   * not be.
   */
  void StoreLeaving(const LeavingServer& aLeaving,
                    const std::function<void(bool aIsStored)>& aDone);

  /** Writes the server when it is another process than the stored one. */
  void StoreServer(const ServerProcess& aServer);

  /** Removes the own object; for a daemon that ends with its server. */
  void Remove();

private:
  void Read();
  void Write(const std::function<void(bool)>& aDone);
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
  int reads = 0;
  Millis readDueAt = 0;
  std::optional<Millis> settledAt;
  Millis writeDueAt = 0;
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
