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

/** What the acceptor needs from its daemon. */
struct AcceptorHooks
{
  SubmitPlatformJob submit;
  std::function<SnapshotPtr()> held;

  /** Offers an accepted version to the version holder. */
  std::function<void(const Delta&)> offer;
};

/**
 * The role to publish accepted versions, for the daemon that has it at present.
 * Two daemons that both believe to have it do no harm: the create-only write
 * lets one of them win each version.
 */
class AcceptorRole
{
public:
  AcceptorRole(std::string aHost,
               Clock aClock,
               Random aRandom,
               AcceptorHooks aHooks);

  /** Takes up or gives up the role. */
  void SetActive(bool aIsActive);

  /** The catalogue, or what the store has accepted, may have changed. */
  void RequestRound();

  /** Starts due work; at most one platform job at a time. */
  void Tick();

  const std::vector<Rejection>& Rejections() const;

private:
  /** Texts under status/NAME/acceptance by entry. */
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
  std::int64_t floorRevision = 0; // When the restore was detected.
  std::int64_t snapshotVersion = 0;
  std::vector<Rejection> rejections;
  bool hasDecision = false; // Whether rejections come from a round of its own.
  bool isStatusLoaded = false;
  StatusTexts writtenStatus;
};

inline const std::vector<Rejection>&
AcceptorRole::Rejections() const
{
  return this->rejections;
}

} // namespace lacewingwharf
