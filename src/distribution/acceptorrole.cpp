#include "distribution/acceptorrole.h"

#include "common/hash.h"
#include "common/log.h"
#include "distribution/acceptancestatus.h"
#include "distribution/acceptedchain.h"

#include <algorithm>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr Log kLog("acceptor");

// A change must be in force within 12 s. Rounds at this interval ensure this
// even if a watch fails without an error.
constexpr Millis kRoundInterval = 9000;

constexpr Millis kMinBackoff = 200;
constexpr Millis kMaxBackoff = 2000;

// Gives gossip time to report versions that are newer than the held one. After
// this delay, an older store makes this daemon start a new epoch from the held
// version.
constexpr Millis kEpochDelay = 3000;

constexpr std::int64_t kVersionsPerSnapshot = 64;

constexpr Millis kMaintenanceInterval = 1000;

} // namespace

AcceptorRole::AcceptorRole(std::string aHost,
                           Clock aClock,
                           Random aRandom,
                           AcceptorHooks aHooks)
  : host(std::move(aHost))
  , clock(std::move(aClock))
  , random(std::move(aRandom))
  , hooks(std::move(aHooks))
{
}

void
AcceptorRole::SetActive(bool aIsActive)
{
  if (aIsActive == this->isActive) {
    return;
  }
  this->isActive = aIsActive;
  kLog.Info("{} {} the acceptor role", this->host, aIsActive ? "has" : "left");
  this->snapshotVersion = this->hooks.held()->Version();
  this->restoreDetectedAt = 0;
  // Another acceptor may have written status objects in the meantime.
  this->isStatusLoaded = false;
  this->hasDecision = false;
  this->rejections.clear();
  this->RequestRound();
}

void
AcceptorRole::RequestRound()
{
  this->nextRound = 0;
}

bool
AcceptorRole::Submit(PlatformJob aJob)
{
  // The completion may run after this object is destroyed.
  const std::weak_ptr<bool> guard = this->alive;
  this->isBusy = true; // Set before submit, which may run the job at once.
  const bool isSubmitted = this->hooks.submit(
    [guard, job = std::move(aJob)](const ObjectStore& aStore) -> Completion {
      return [guard, end = job(aStore)] {
        if (!guard.expired()) {
          end();
        }
      };
    });
  if (!isSubmitted) {
    this->isBusy = false;
  }
  return isSubmitted;
}

void
AcceptorRole::Tick()
{
  if (!this->isActive || this->isBusy) {
    return;
  }
  const Millis now = this->clock.Now();
  if (now >= this->nextRound) {
    this->StartRound();
  } else if (now >= this->nextMaintenance) {
    this->StartMaintenance();
  }
}

void
AcceptorRole::StartMaintenance()
{
  if (this->IsSnapshotDue()) {
    this->StartSnapshot();
    return;
  }
  // Before the first decision of this role, it is not known which status
  // objects are out of date.
  if (!this->hasDecision) {
    return;
  }
  if (!this->isStatusLoaded) {
    this->StartStatusRead();
  } else if (this->DesiredStatus() != this->writtenStatus) {
    this->StartStatusWrite();
  }
}

void
AcceptorRole::StartRound()
{
  const Millis now = this->clock.Now();
  RoundInput input;
  input.held = this->hooks.held();
  input.writer = this->host;
  input.nonce = ToHex(this->random());
  input.mayStartEpoch =
    this->restoreDetectedAt > 0 && now >= this->restoreDetectedAt + kEpochDelay;
  input.floorRevision = this->floorRevision;
  this->nextRound = now + kRoundInterval;
  const bool isSubmitted =
    this->Submit([this, input](const ObjectStore& aStore) -> Completion {
      return [this, outcome = RunAcceptorRound(aStore, input)] {
        this->EndRound(outcome);
      };
    });
  if (!isSubmitted) {
    this->ScheduleRound(kMinBackoff);
  }
}

void
AcceptorRole::EndRound(const RoundOutcome& aOutcome)
{
  this->isBusy = false;
  if (aOutcome.result == RoundResult::Failed) {
    this->backoff = std::clamp(this->backoff * 2, kMinBackoff, kMaxBackoff);
    kLog.Warning("acceptor round failed: {}", aOutcome.detail);
    this->ScheduleRound(this->backoff);
    return;
  }
  this->backoff = 0;
  this->HandleRestoredStore(aOutcome);
  this->OfferDeltas(aOutcome);
  if (aOutcome.hasDecision) {
    this->hasDecision = true;
    this->rejections = aOutcome.rejections;
  }
  if (aOutcome.result == RoundResult::Adopted) {
    this->ScheduleRound(0);
  }
}

void
AcceptorRole::HandleRestoredStore(const RoundOutcome& aOutcome)
{
  if (aOutcome.result != RoundResult::Restored) {
    this->restoreDetectedAt = 0;
    return;
  }
  if (this->restoreDetectedAt == 0) {
    this->restoreDetectedAt = std::max<Millis>(this->clock.Now(), 1);
    this->floorRevision = aOutcome.revision;
    kLog.Warning("the store is older than the held version {}; a new store "
                 "epoch starts in {} ms",
                 this->hooks.held()->Version(),
                 kEpochDelay);
  }
  this->ScheduleRound(kEpochDelay);
}

void
AcceptorRole::OfferDeltas(const RoundOutcome& aOutcome)
{
  for (const Delta& delta : aOutcome.deltas) {
    kLog.Info("version {} {} {}: {} changed, {} removed, {} edits rejected",
              delta.stamp.version,
              kRoundResultNames.NameOf(aOutcome.result),
              aOutcome.detail,
              delta.changed.size(),
              delta.removed.size(),
              aOutcome.rejections.size());
    this->hooks.offer(delta);
  }
}

void
AcceptorRole::ScheduleRound(Millis aDelay)
{
  const Millis jitter =
    aDelay == 0 ? 0
                : static_cast<Millis>(RandomBelow(
                    this->random, static_cast<std::uint64_t>(aDelay) / 4 + 1));
  this->nextRound = this->clock.Now() + aDelay + jitter;
}

bool
AcceptorRole::IsSnapshotDue() const
{
  return this->hooks.held()->Version() / kVersionsPerSnapshot >
         this->snapshotVersion / kVersionsPerSnapshot;
}

void
AcceptorRole::StartSnapshot()
{
  const SnapshotPtr held = this->hooks.held();
  this->nextMaintenance = this->clock.Now() + kMaintenanceInterval;
  this->Submit(
    [this, held, writer = this->host](const ObjectStore& aStore) -> Completion {
      return [this, held, result = WriteSnapshot(aStore, *held, writer)] {
        this->isBusy = false;
        const bool isTooLarge =
          !result && result.assume_error().code == PlatformErrorCode::TooLarge;
        if (result || isTooLarge) {
          // A snapshot that is too large would still be too large a second
          // later, so it counts as written.
          this->snapshotVersion = held->Version();
        }
        if (result) {
          kLog.Info("snapshot {} written; {} accepted versions removed",
                    held->Version(),
                    result.assume_value().accepted);
        } else {
          kLog.Warning("cannot write snapshot {}: {} {}",
                       held->Version(),
                       kPlatformErrorNames.NameOf(result.assume_error().code),
                       result.assume_error().detail);
        }
      };
    });
}

AcceptorRole::StatusTexts
AcceptorRole::DesiredStatus() const
{
  StatusTexts desired;
  for (const Rejection& rejection : this->rejections) {
    desired[rejection.entry] = EncodeRejection(rejection);
  }
  const VersionStamp& stamp = this->hooks.held()->Stamp();
  if (stamp.storeEpoch > 0) {
    desired[std::string(kStoreStatusName)] = EncodeStoreStatus(stamp);
  }
  return desired;
}

void
AcceptorRole::StartStatusRead()
{
  this->nextMaintenance = this->clock.Now() + kMaintenanceInterval;
  this->Submit([this](const ObjectStore& aStore) -> Completion {
    return [this, result = ReadAcceptanceStatus(aStore)] {
      this->isBusy = false;
      if (result) {
        this->isStatusLoaded = true;
        this->nextMaintenance = 0;
        this->writtenStatus = result.assume_value();
      }
    };
  });
}

void
AcceptorRole::StartStatusWrite()
{
  this->nextMaintenance = this->clock.Now() + kMaintenanceInterval;
  this->Submit(
    [this, desired = this->DesiredStatus(), old = this->writtenStatus](
      const ObjectStore& aStore) -> Completion {
      return [this, written = WriteAcceptanceStatus(aStore, old, desired)] {
        this->isBusy = false;
        this->writtenStatus = written;
      };
    });
}

} // namespace lacewingwharf
