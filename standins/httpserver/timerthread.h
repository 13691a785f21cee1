#pragma once

#include "common/clock.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace lacewingwharf {

/** Runs tasks at their time on one thread. */
class TimerThread
{
public:
  TimerThread();
  ~TimerThread();

  TimerThread(const TimerThread&) = delete;
  TimerThread& operator=(const TimerThread&) = delete;

  /** False when the thread has ended; the task is then dropped. */
  bool After(Millis aDelay, std::function<void()> aTask);

  /** Runs what still waits at once, then ends. */
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
