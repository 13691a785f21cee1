#pragma once

#include "common/clock.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace lacewingwharf {

/** Runs scheduled tasks on one thread. */
class TimerThread
{
public:
  TimerThread();
  ~TimerThread();

  TimerThread(const TimerThread&) = delete;
  TimerThread& operator=(const TimerThread&) = delete;

  /** Returns false, and drops aTask, if the thread has ended. */
  bool RunAfter(Millis aDelay, std::function<void()> aTask);

  /** Runs all waiting tasks without their delay and ends the thread. */
  void Stop();

private:
  void Run();

  Clock clock;
  std::mutex mutex;
  std::condition_variable changed;
  std::multimap<double, std::function<void()>> tasks;
  bool isStopping = false;
  bool hasEnded = false;
  std::thread thread;
};

} // namespace lacewingwharf
