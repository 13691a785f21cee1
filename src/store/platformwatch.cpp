#include "store/platformwatch.h"

#include "common/log.h"

#include <algorithm>
#include <chrono>

namespace lacewingwharf {

namespace {

constexpr Log kLog("platform-watch");

} // namespace

PlatformWatch::PlatformWatch(ObjectStore aStore,
                             PlatformWatchConfig aConfig,
                             Hook aHook,
                             Random aRandom)
  : counts(std::make_shared<CallCounts>())
  , store(CountCalls(std::move(aStore), this->counts))
  , config(std::move(aConfig))
  , hook(std::move(aHook))
  , backoff(this->config.backoff, std::move(aRandom))
  , watchTimeout(this->config.watchTimeout)
{
}

PlatformWatch::~PlatformWatch()
{
  this->Stop();
}

void
PlatformWatch::Start()
{
  this->thread = std::thread([this] { this->Run(); });
}

void
PlatformWatch::Stop()
{
  {
    const std::lock_guard lock(this->mutex);
    this->isStopping = true;
  }
  this->stateChanged.notify_all();
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void
PlatformWatch::SetActive(bool aIsActive,
                         std::optional<std::int64_t> aKnownRevision)
{
  {
    const std::lock_guard lock(this->mutex);
    if (this->isActive == aIsActive) {
      return;
    }
    this->isActive = aIsActive;
    this->revision = aKnownRevision;
    this->era.reset();
    this->isWorking = false;
    ++this->activation;
  }
  this->stateChanged.notify_all();
}

void
PlatformWatch::Run()
{
  Position position;
  while (this->WaitUntilActive(position)) {
    this->RunStep(position);
  }
}

bool
PlatformWatch::WaitUntilActive(Position& aPosition)
{
  std::unique_lock lock(this->mutex);
  this->stateChanged.wait(
    lock, [this] { return this->isStopping || this->isActive; });
  aPosition = { this->activation, this->revision, this->era };
  return !this->isStopping;
}

bool
PlatformWatch::HasLostPosition(const Position& aPosition,
                               const PlatformResult<ObjectList>& aResult) const
{
  if (!aResult || !aResult.era || !aPosition.revision) {
    return false;
  }
  // Revisions are issued again after a restore, so those of two eras cannot be
  // compared. A response without changes is no exception: the revision may be
  // one that the store has not issued again yet.
  return (aPosition.era && *aPosition.era != *aResult.era) ||
         aResult.value().revision < *aPosition.revision;
}

void
PlatformWatch::RunStep(const Position& aPosition)
{
  const bool isFullList = !aPosition.revision;
  const Millis timeout = this->watchTimeout;
  const Millis start = Clock::Steady().Now();
  auto result =
    isFullList
      ? this->store.list(this->config.prefix)
      : this->store.watch(this->config.prefix, *aPosition.revision, timeout);
  // An answer that is read late, because this process was paused or the link
  // delivered nothing, says nothing about the time after the platform sent it.
  const Millis coveredUntil =
    isFullList ? start : std::min(start + timeout, Clock::Steady().Now());
  if (this->HasLostPosition(aPosition, result)) {
    kLog.Decision("watch-restarted",
                  "prefix={} era_before={} era={} revision_before={} "
                  "revision={}",
                  this->config.prefix,
                  aPosition.era.value_or(0),
                  result.era.value_or(0),
                  aPosition.revision.value_or(0),
                  result.value().revision);
    result = failure(
      PlatformError{ PlatformErrorCode::Compacted, "the store was restored" });
  }
  Millis pause = 0;
  if (!this->ApplyResult(aPosition, result, pause)) {
    return;
  }
  const bool isAnswered = result.has_value();
  const bool hasNothingNew =
    result && !isFullList && result.value().objects.empty();
  if (!hasNothingNew) {
    this->hook(std::move(result), isFullList);
  }
  if (isAnswered && this->config.onAnswered) {
    this->config.onAnswered(coveredUntil);
  }
  const Millis elapsed = Clock::Steady().Now() - start;
  this->Pause(std::max(pause, this->config.minInterval - elapsed),
              aPosition.activation);
}

bool
PlatformWatch::ApplyResult(const Position& aPosition,
                           const PlatformResult<ObjectList>& aResult,
                           Millis& aPause)
{
  const std::lock_guard lock(this->mutex);
  if (this->isStopping || this->activation != aPosition.activation) {
    return false;
  }
  if (aResult) {
    this->lastAnswerTime = Clock::Steady().Now();
    this->isWorking = true;
    this->revision = aResult.value().revision;
    this->era = aResult.era;
    this->backoff.Reset();
    return true;
  }
  if (aResult.error().code == PlatformErrorCode::Compacted) {
    // The store works, so there is no backoff. It no longer has the changes
    // since the known revision, so only a new list gives the current state.
    this->revision.reset();
    kLog.Decision("history-gone", "prefix={}", this->config.prefix);
    return true;
  }
  this->isWorking = false;
  aPause = this->backoff.NextDelay();
  kLog.Warning("watch of {} failed: {} ({}); next attempt in {} ms",
               this->config.prefix,
               kPlatformErrorNames.NameOf(aResult.error().code),
               aResult.error().detail,
               aPause);
  return true;
}

void
PlatformWatch::Pause(Millis aTime, std::uint64_t aActivation)
{
  if (aTime <= 0) {
    return;
  }
  std::unique_lock lock(this->mutex);
  this->stateChanged.wait_for(
    lock, std::chrono::milliseconds(aTime), [this, aActivation] {
      return this->isStopping || this->activation != aActivation;
    });
}

} // namespace lacewingwharf
