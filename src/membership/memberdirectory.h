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

/** What this daemon keeps in the store of itself. */
struct DirectoryEntry
{
  std::string host;
  PeerAddress address;

  /** Survives the daemon, so that a leaving server gets no new work. */
  std::optional<LeavingServer> leaving;
};

/**
 * The objects members/HOST, by which daemons find one another. Each writes its
 * own when it starts and when its server leaves; others are read at the start
 * and while no other member is known.
 */
class MemberDirectory
{
public:
  MemberDirectory(DirectoryEntry aSelf,
                  Clock aClock,
                  SubmitPlatformJob aSubmit);

  /** Addresses of other daemons that the store named last. */
  const std::vector<PeerAddress>& Peers() const;

  /** aIsAlone is true when no other live member is known. */
  void Tick(bool aIsAlone);

  /**
   * Writes that a server leaves; aDone is called when that is stored, or could
   * not be.
   */
  void StoreLeaving(const LeavingServer& aLeaving,
                    std::function<void(bool aIsStored)> aDone);

  /** Called once with what an earlier process of this host has stored. */
  void SetOnRecalled(std::function<void(const LeavingServer&)> aHook);

private:
  void Read();
  void Write(std::function<void(bool)> aDone);
  void TakeList(const std::vector<DirectoryEntry>& aEntries);

  DirectoryEntry self;
  Clock clock;
  SubmitPlatformJob submit;
  std::function<void(const LeavingServer&)> onRecalled;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
  std::vector<PeerAddress> peers;
  bool isBusy = false;
  bool hasRead = false;
  bool isWritten = false;
  int reads = 0;
  Millis readDueAt = 0;
  Millis writeDueAt = 0;
};

inline const std::vector<PeerAddress>&
MemberDirectory::Peers() const
{
  return this->peers;
}

inline void
MemberDirectory::SetOnRecalled(std::function<void(const LeavingServer&)> aHook)
{
  this->onRecalled = std::move(aHook);
}

} // namespace lacewingwharf
