#pragma once

#include "store/callbudget.h"
#include "store/callcounts.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace lacewingwharf {

struct PlatformWatchConfig
{
  std::string prefix;

  /**
   * The maximum time that the platform waits for a change before it answers.
   */
  Millis watchTimeout = 20000;

  /**
   * The minimum time from one call to the next. Limits the call rate while many
   * changes arrive one by one.
   */
  Millis minInterval = 20;
  BackoffConfig backoff;

  /**
   * Called on the watch thread after each answer, once the hook has its
   * changes. The platform had no later change at aTime. May be empty.
   */
  std::function<void(Millis aTime)> onAnswered{};
};

/**
 * A thread that, while active, lists a prefix and then watches it for changes.
 * It lists the prefix again if the platform has discarded the changes since
 * the last known revision, or was restored from a copy.
 */
class PlatformWatch
{
public:
  /**
   * Called on the watch thread with a full list if aIsFullList is true, and
   * otherwise with the changes since the previous result. Also called with
   * errors.
   */
  using Hook =
    std::function<void(PlatformResult<ObjectList> aResult, bool aIsFullList)>;

  PlatformWatch(ObjectStore aStore,
                PlatformWatchConfig aConfig,
                Hook aHook,
                Random aRandom = SystemRandom());
  ~PlatformWatch();

  PlatformWatch(const PlatformWatch&) = delete;
  PlatformWatch& operator=(const PlatformWatch&) = delete;

  void Start();

  /**
   * Stops the thread and waits for its pending call, which
   * HttpStoreConfig::shouldStop can abort.
   */
  void Stop();

  /**
   * With aKnownRevision, the watch starts at that revision and skips the list.
   * The call has no effect if the watch is already in the requested state.
   */
  void SetActive(bool aIsActive,
                 std::optional<std::int64_t> aKnownRevision = std::nullopt);

  /** Changes PlatformWatchConfig::watchTimeout for the next calls. */
  void SetWatchTimeout(Millis aTimeout);

  const CallCounts& Counts() const;

  /** Whether the watch is active and its last call was answered. */
  bool IsWorking() const;

  /**
   * When the platform last answered, with or without changes; 0 if it never
   * has.
   */
  Millis LastAnswerTime() const;

private:
  /** The state of the watch at the start of a step. */
  struct Position
  {
    std::uint64_t activation = 0;
    std::optional<std::int64_t> revision;
    std::optional<std::int64_t> era; // Of the response with the revision.
  };

  void Run();
  bool WaitUntilActive(Position& aPosition);

  /** Whether the watch that got aResult started from a state that is lost. */
  bool HasLostPosition(const Position& aPosition,
                       const PlatformResult<ObjectList>& aResult) const;
  void RunStep(const Position& aPosition);

  /**
   * Updates the revision and the backoff. Returns false if the result is stale
   * and must be dropped. Sets aPause to the delay before the next call.
   */
  bool ApplyResult(const Position& aPosition,
                   const PlatformResult<ObjectList>& aResult,
                   Millis& aPause);
  void Pause(Millis aTime, std::uint64_t aActivation);

  std::shared_ptr<CallCounts> counts;
  ObjectStore store;
  PlatformWatchConfig config;
  Hook hook;
  Backoff backoff;
  std::mutex mutex;
  std::condition_variable stateChanged;
  bool isStopping = false;
  bool isActive = false;
  std::uint64_t activation = 0; // Results of earlier activations are dropped.
  std::optional<std::int64_t> revision; // Empty if a list is needed.
  std::atomic<Millis> watchTimeout;
  std::optional<std::int64_t> era; // Of the response with the revision.
  std::atomic<Millis> lastAnswerTime = 0;
  std::atomic<bool> isWorking = false;
  std::thread thread;
};

inline void
PlatformWatch::SetWatchTimeout(Millis aTimeout)
{
  this->watchTimeout = aTimeout;
}

inline const CallCounts&
PlatformWatch::Counts() const
{
  return *this->counts;
}

inline bool
PlatformWatch::IsWorking() const
{
  return this->isWorking;
}

inline Millis
PlatformWatch::LastAnswerTime() const
{
  return this->lastAnswerTime;
}

} // namespace lacewingwharf
