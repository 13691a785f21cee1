#pragma once

#include "common/ring.h"
#include "store/callbudget.h"
#include "store/callcounts.h"
#include "store/platformjob.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace lacewingwharf {

/**
 * A thread that runs jobs on the store one after another. During the backoff
 * after a failure, calls are rejected immediately instead of waiting. This
 * keeps jobs from piling up, and their calls from arriving in a burst when the
 * platform recovers. Only a throttled call is retried, if its backoff is short.
 */
class PlatformWorker
{
public:
  using Post = std::function<void(Completion)>;

  /** aPost runs a completion on the thread that submits the jobs. */
  PlatformWorker(ObjectStore aStore,
                 std::size_t aCapacity,
                 Post aPost,
                 CallBudgetConfig aBudget = {},
                 Random aRandom = SystemRandom());
  ~PlatformWorker();

  PlatformWorker(const PlatformWorker&) = delete;
  PlatformWorker& operator=(const PlatformWorker&) = delete;

  void Start();

  /** Stops after the running job and drops the queued jobs. */
  void Stop();

  /** Returns false if the queue is full or the worker has stopped. */
  bool Submit(PlatformJob aJob);

  /**
   * Lets the next call be sent without waiting for the end of a backoff; for
   * use when there is other evidence that the platform works again.
   */
  void EndBackoff();

  const CallCounts& Counts() const;
  std::uint64_t Overflows() const;

private:
  void Run();
  std::optional<PlatformError> RunWithinBudget(
    const std::function<std::optional<PlatformError>()>& aCall);
  std::optional<PlatformError> RunOnce(
    const std::function<std::optional<PlatformError>()>& aCall);
  bool WaitForToken();

  /**
   * Waits for the end of the backoff. Returns false without waiting if that
   * would delay the queued jobs too long.
   */
  bool WaitForBackoff();

  std::shared_ptr<CallCounts> counts;
  ObjectStore store;
  Post post;
  CallBudget budget;
  std::atomic<bool> mustEndBackoff = false;
  Ring<PlatformJob> jobs;
  std::mutex mutex;
  std::condition_variable stopped;
  bool isStopping = false;
  std::thread thread;
};

inline const CallCounts&
PlatformWorker::Counts() const
{
  return *this->counts;
}

inline void
PlatformWorker::EndBackoff()
{
  this->mustEndBackoff = true;
}

inline std::uint64_t
PlatformWorker::Overflows() const
{
  return this->jobs.Overflows();
}

} // namespace lacewingwharf
