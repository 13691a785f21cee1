#pragma once

#include "common/clock.h"
#include "common/ring.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>

namespace lacewingwharf {

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
            std::function<void()> aTick);
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

  std::string name;
  Ring<Task> tasks;
  Millis tickInterval;
  std::function<void()> tick;
  Clock clock;
  std::jthread thread;
};

inline std::uint64_t
EventLoop::Overflows() const
{
  return this->tasks.Overflows();
}

} // namespace lacewingwharf
