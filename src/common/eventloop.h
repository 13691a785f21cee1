#pragma once

#include "common/clock.h"
#include "common/ring.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace lacewingwharf {

/**
 * Work that shares the thread of an event loop and waits for more than posted
 * tasks, so that neither needs a hand-over to another thread.
 */
struct EventLoopPoller
{
  /** Called before each wait, without waiting itself. */
  std::function<void()> turn;

  /** Waits up to a time, or until wake is called. */
  std::function<void(Millis)> wait;

  /** Ends a wait, or the next one; called from any thread. */
  std::function<void()> wake;
};

/**
 * The thread of one responsibility: it runs posted tasks in order and a tick
 * at a fixed interval. State that only its tasks touch needs no lock.
 */
class EventLoop
{
public:
  using Task = std::function<void()>;

  EventLoop(std::string aName,
            std::size_t aCapacity,
            Millis aTickInterval,
            std::function<void()> aTick,
            EventLoopPoller aPoller = {});
  ~EventLoop();

  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  void Start();

  /** Runs what was posted before, then ends the thread. */
  void Stop();

  /** False when the ring is full; the task is then dropped and counted. */
  bool Post(Task aTask);

  /** Runs aTask on the thread and waits for it; false when it was dropped. */
  bool Run(const Task& aTask);

  std::uint64_t Overflows() const;

private:
  void Loop();
  void Wake();
  std::vector<Task> Take(Millis aWait);
  bool IsOwnThread() const;

  std::string name;
  EventLoopPoller poller;
  Ring<Task> tasks;
  Millis tickInterval;
  std::function<void()> tick;
  Clock clock;
  std::atomic<bool> isWoken{ false };
  std::atomic<std::thread::id> loopThread;
  bool hasOwnPosts = false; // Posted by the thread itself since Take().
  std::jthread thread;
};

inline std::uint64_t
EventLoop::Overflows() const
{
  return this->tasks.Overflows();
}

} // namespace lacewingwharf
