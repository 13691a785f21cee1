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
  void NoteRestored(const RoundOutcome& aOutcome);
  void TakeDeltas(const RoundOutcome& aOutcome);
  void Retry(Millis aDelay);

  void StartSideJob();
  bool IsSnapshotDue() const;
  void StartSnapshot();

  void LoadStatus();
  void StartStatus();
  StatusTexts WantedStatus() const;

  std::string host;
  Clock clock;
  Random random;
  AcceptorHooks hooks;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
  bool isActive = false;
  bool isBusy = false;
  Millis nextRound = 0;
  Millis nextSideJob = 0;
  Millis backoff = 0;
  Millis restoredSince = 0;
  std::int64_t floorRevision = 0; // When the restore was detected.
  std::int64_t snapshotVersion = 0;
  std::vector<Rejection> rejections;
  bool isDecided = false; // Whether rejections come from a round of its own.
  bool isStatusLoaded = false;
  StatusTexts writtenStatus;
};

inline const std::vector<Rejection>&
AcceptorRole::Rejections() const
{
  return this->rejections;
}

} // namespace lacewingwharf
