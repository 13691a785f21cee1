#pragma once

#include "common/ring.h"
#include "store/callbudget.h"
#include "store/callcounts.h"
#include "store/platformjob.h"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace lacewingwharf {

/**
 * The platform thread: runs jobs on the store one after the other. While the
 * platform fails, calls are refused at once instead of waiting, so that jobs
 * do not pile up and its return causes no burst.
 */
class PlatformWorker
{
public:
  using Post = std::function<void(Completion)>;

  /** aPost hands a completion to the thread that submits the jobs. */
  PlatformWorker(ObjectStore aStore,
                 std::size_t aCapacity,
                 Post aPost,
                 CallBudgetConfig aBudget = {},
                 Random aRandom = SystemRandom());
  ~PlatformWorker();

  PlatformWorker(const PlatformWorker&) = delete;
  PlatformWorker& operator=(const PlatformWorker&) = delete;

  void Start();

  /** Ends after the running job; jobs that still wait are dropped. */
  void Stop();

  /** False when the ring is full or the worker has stopped. */
  bool Submit(PlatformJob aJob);

  const CallCounts& Counts() const;
  std::uint64_t Overflows() const;

private:
  void Run();
  std::optional<PlatformError> Admit(
    const std::function<std::optional<PlatformError>()>& aCall);
  std::optional<PlatformError> CallOnce(
    const std::function<std::optional<PlatformError>()>& aCall);
  bool WaitForToken();

  /** False when the backoff is too long for the jobs that wait. */
  bool WaitForBackoff();

  std::shared_ptr<CallCounts> counts;
  ObjectStore store;
  Post post;
  CallBudget budget;
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

inline std::uint64_t
PlatformWorker::Overflows() const
{
  return this->jobs.Overflows();
}

} // namespace lacewingwharf
