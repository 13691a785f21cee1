#pragma once

#include "common/clock.h"
#include "common/random.h"
#include "distribution/acceptorround.h"
#include "store/platformjob.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lacewingwharf {

/** Functions of the daemon that the acceptor uses. */
struct AcceptorHooks
{
  SubmitPlatformJob submit;
  std::function<SnapshotPtr()> held;

  /** Offers an accepted version to the version holder. */
  std::function<void(const Delta&)> offer;
};

/**
 * Publishes accepted versions while this daemon has the acceptor role. Two
 * daemons may have the role at the same time, for example after a partition;
 * the create-only write lets only one of them write each version.
 */
class AcceptorRole
{
public:
  AcceptorRole(std::string aHost,
               Clock aClock,
               Random aRandom,
               AcceptorHooks aHooks);

  /** Starts or ends the acceptor role of this daemon. */
  void SetActive(bool aIsActive);

  /**
   * Makes a round due. To be called when the catalogue or the accepted versions
   * in the store may have changed.
   */
  void RequestRound();

  /** Starts work that is due. At most one platform job runs at a time. */
  void Tick();

  const std::vector<Rejection>& Rejections() const;

private:
  /** Texts of status/NAME/acceptance by entry name. */
  using StatusTexts = std::map<std::string, std::string>;

  bool Submit(PlatformJob aJob);
  void StartRound();
  void EndRound(const RoundOutcome& aOutcome);
  void HandleRestoredStore(const RoundOutcome& aOutcome);
  void OfferDeltas(const RoundOutcome& aOutcome);
  void ScheduleRound(Millis aDelay);

  void StartMaintenance();
  bool IsSnapshotDue() const;
  void StartSnapshot();

  void StartStatusRead();
  void StartStatusWrite();
  StatusTexts DesiredStatus() const;

  std::string host;
  Clock clock;
  Random random;
  AcceptorHooks hooks;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
  bool isActive = false;
  bool isBusy = false;
  Millis nextRound = 0;
  Millis nextMaintenance = 0;
  Millis backoff = 0;
  Millis restoreDetectedAt = 0;

  // Revision of the store when the restore was detected.
  std::int64_t floorRevision = 0;

  std::int64_t snapshotVersion = 0;
  std::vector<Rejection> rejections;
  bool hasDecision = false; // Whether a round of this role has set rejections.
  bool isStatusLoaded = false;
  StatusTexts writtenStatus;
};

inline const std::vector<Rejection>&
AcceptorRole::Rejections() const
{
  return this->rejections;
}

} // namespace lacewingwharf
