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
 * Functions of an event source, such as sockets, that shares the thread of an
 * event loop. Its events and the posted tasks run on one thread, without a
 * hand-over between threads.
 */
struct EventLoopPoller
{
  /** Handles ready events without waiting. Called before each wait. */
  std::function<void()> poll;

  /** Waits for an event, a call of wake or the end of the given time. */
  std::function<void(Millis)> wait;

  /** Ends the current or the next wait. Any thread may call it. */
  std::function<void()> wake;
};

/**
 * A thread that runs posted tasks in order and a tick function at a fixed
 * interval. State that only its tasks and its tick access needs no lock.
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

  /** Runs the tasks that are already posted, then joins the thread. */
  void Stop();

  /**
   * Returns false when the ring is full or closed. The task is then dropped and
   * counted as an overflow.
   */
  bool Post(Task aTask);

  /**
   * Runs aTask on the thread and waits until it has run. Returns false when it
   * was dropped.
   */
  bool Run(const Task& aTask);

  std::uint64_t Overflows() const;

private:
  void Loop();
  void Wake();
  std::vector<Task> TakeTasks(Millis aWait);
  bool IsOwnThread() const;

  std::string name;
  EventLoopPoller poller;
  Ring<Task> tasks;
  Millis tickInterval;
  std::function<void()> tick;
  Clock clock;
  std::atomic<bool> isWakePending{ false };
  std::atomic<std::thread::id> loopThread;
  bool hasOwnThreadTasks = false; // Set by posts of the loop's own thread.
  std::jthread thread;
};

inline std::uint64_t
EventLoop::Overflows() const
{
  return this->tasks.Overflows();
}

} // namespace lacewingwharf
