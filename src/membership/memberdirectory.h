#pragma once

#include "common/clock.h"
#include "membership/directoryentry.h"
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
 * if it found few, and while no other member is known. After a restore of the
 * store from a copy, it reads its own object and writes it again if it differs.
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

  /**
   * To be called when the store was restored and is in the era aEra. Until the
   * own object was read in that era, nothing counts as stored. It is read after
   * aDelay, or at once for a leaving that has to be acknowledged.
   */
  void HandleRestore(std::int64_t aEra, Millis aDelay);

  /** Schedules a write if the server differs from the one in the entry. */
  void StoreServer(const ServerProcess& aServer);

  /** Removes the own object; used by a daemon that stops with its server. */
  void Remove();

private:
  void Read();
  void Write();
  void CheckOwn();
  void HandleOwnRead(const PlatformResult<StoredObject>& aRead);
  void SetOwn(const std::optional<DirectoryEntry>& aStored);
  void RecordEra(std::optional<std::int64_t> aEra);
  bool MayBeLost() const;
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
  bool isRemoved = false;
  std::int64_t revision = kCreateOnly; // Of the own object.
  int requiredReads = 0; // At startup; known after the first read.
  int reads = 0;
  Millis readDueAt = 0;
  std::optional<Millis> settledAt;
  Millis writeDueAt = 0;

  /** The leaving server in the last entry that the store accepted. */
  std::optional<LeavingServer> storedLeaving;

  // The era of the last response about the own object, and the one that such a
  // response must have at least. Both are empty if the store reports no era.
  std::optional<std::int64_t> knownEra;
  std::optional<std::int64_t> requiredEra;
  Millis checkDueAt = 0;
};

inline const std::vector<PeerAddress>&
MemberDirectory::Peers() const
{
  return this->peers;
}

inline bool
MemberDirectory::MayBeLost() const
{
  return this->knownEra < this->requiredEra;
}

inline bool
MemberDirectory::HasRead() const
{
  return this->hasRead;
}

} // namespace lacewingwharf
