#include "common/eventloop.h"

#include <pthread.h>

#include <algorithm>
#include <future>
#include <memory>
#include <utility>

namespace lacewingwharf {

EventLoop::EventLoop(std::string aName,
                     std::size_t aCapacity,
                     Millis aTickInterval,
                     std::function<void()> aTick,
                     EventLoopPoller aPoller)
  : name(std::move(aName))
  , poller(std::move(aPoller))
  , tasks(aCapacity, [this] { this->Wake(); })
  , tickInterval(aTickInterval)
  , tick(std::move(aTick))
  , clock(Clock::Steady())
{
}

EventLoop::~EventLoop()
{
  this->Stop();
}

void
EventLoop::Start()
{
  this->thread = std::jthread([this] { this->Loop(); });
}

void
EventLoop::Stop()
{
  this->tasks.Close();
  this->Wake();
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

bool
EventLoop::Post(Task aTask)
{
  return this->tasks.Push(std::move(aTask));
}

bool
EventLoop::Run(const Task& aTask)
{
  auto done = std::make_shared<std::promise<void>>();
  auto completion = done->get_future();
  const bool posted = this->Post([&aTask, done] {
    aTask();
    done->set_value();
  });
  if (posted) {
    completion.wait();
  }
  return posted;
}

bool
EventLoop::IsOwnThread() const
{
  return std::this_thread::get_id() == this->loopThread;
}

/**
 * Wakes the poller once for all tasks that are posted before the loop takes
 * them. Tasks that the loop's own thread posts need no wake-up: the next
 * iteration does not wait.
 */
void
EventLoop::Wake()
{
  if (!this->poller.wake) {
    return;
  }
  if (this->IsOwnThread()) {
    this->hasOwnThreadTasks = true;
  } else if (!this->isWakePending.exchange(true)) {
    this->poller.wake();
  }
}

std::vector<EventLoop::Task>
EventLoop::TakeTasks(Millis aWait)
{
  if (!this->poller.wait) {
    return this->tasks.Drain(aWait);
  }
  this->poller.poll();
  if (!this->hasOwnThreadTasks) {
    this->poller.wait(aWait);
  }
  // Both flags are cleared before the tasks are taken, so that a task that is
  // posted afterwards wakes the poller again.
  this->hasOwnThreadTasks = false;
  this->isWakePending = false;
  return this->tasks.Drain(0);
}

void
EventLoop::Loop()
{
  this->loopThread = std::this_thread::get_id();
  pthread_setname_np(pthread_self(), this->name.c_str());
  Millis nextTick = this->clock.Now() + this->tickInterval;
  while (true) {
    const Millis wait =
      std::max<Millis>(nextTick - this->clock.Now(), Millis{ 0 });
    std::vector<Task> batch = this->TakeTasks(wait);
    if (batch.empty() && this->tasks.IsClosed()) {
      return;
    }
    std::ranges::for_each(batch, [](const Task& aTask) { aTask(); });
    if (this->clock.Now() >= nextTick) {
      this->tick();
      nextTick = this->clock.Now() + this->tickInterval;
    }
  }
}

} // namespace lacewingwharf
