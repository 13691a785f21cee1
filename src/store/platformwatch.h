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

  /** How long the platform may hold one watch that has nothing to report. */
  Millis watchTimeout = 20000;

  /** Bounds the calls per second while many changes arrive one by one. */
  Millis leastInterval = 20;
  BackoffConfig backoff;
};

/**
 * The watch thread: while active it lists a prefix and then follows its
 * changes. A platform whose history is gone is listed again.
 */
class PlatformWatch
{
public:
  /**
   * Called on the watch thread with a list or the changes since the one before;
   * aIsFullList says which. Errors are passed on as well.
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

  /** Waits for a pending call; see HttpStoreConfig::shouldStop. */
  void Stop();

  /**
   * With aKnownRevision the watch starts there, without a list. Ignored when
   * the watch is already in that state.
   */
  void SetActive(bool aIsActive,
                 std::optional<std::int64_t> aKnownRevision = std::nullopt);

  const CallCounts& Counts() const;

  /** When the platform last answered, with or without changes; 0: never. */
  Millis LastAnswerTime() const;

private:
  /** What one step of the thread works on. */
  struct Position
  {
    std::uint64_t activation = 0;
    std::optional<std::int64_t> revision;
  };

  void Run();
  bool WaitUntilActive(Position& aPosition);
  void Step(const Position& aPosition);
  bool Advance(const Position& aPosition,
               const PlatformResult<ObjectList>& aResult,
               Millis& aPause);
  void Pause(Millis aTime, std::uint64_t aActivation);

  std::shared_ptr<CallCounts> counts;
  ObjectStore store;
  PlatformWatchConfig config;
  Hook hook;
  Backoff backoff;
  std::mutex mutex;
  std::condition_variable changed;
  bool isStopping = false;
  bool isActive = false;
  std::uint64_t activation = 0; // Results of an earlier activation are stale.
  std::optional<std::int64_t> revision; // Empty: a list is needed.
  std::atomic<Millis> answeredAt = 0;
  std::thread thread;
};

inline const CallCounts&
PlatformWatch::Counts() const
{
  return *this->counts;
}

inline Millis
PlatformWatch::LastAnswerTime() const
{
  return this->answeredAt;
}

} // namespace lacewingwharf
