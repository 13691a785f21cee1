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
  aPosition = { this->activation, this->revision };
  return !this->isStopping;
}

void
PlatformWatch::RunStep(const Position& aPosition)
{
  const bool isFullList = !aPosition.revision;
  const Millis start = Clock::Steady().Now();
  auto result = isFullList ? this->store.list(this->config.prefix)
                           : this->store.watch(this->config.prefix,
                                               *aPosition.revision,
                                               this->config.watchTimeout);
  Millis pause = 0;
  if (!this->ApplyResult(aPosition, result, pause)) {
    return;
  }
  const bool hasNothingNew =
    result && !isFullList && result.value().objects.empty();
  if (!hasNothingNew) {
    this->hook(std::move(result), isFullList);
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
