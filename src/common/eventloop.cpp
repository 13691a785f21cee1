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
                     std::function<void()> aTick)
  : name(std::move(aName))
  , tasks(aCapacity)
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
  auto ended = done->get_future();
  const bool posted = this->Post([&aTask, done] {
    aTask();
    done->set_value();
  });
  if (posted) {
    ended.wait();
  }
  return posted;
}

void
EventLoop::Loop()
{
  pthread_setname_np(pthread_self(), this->name.c_str());
  Millis nextTick = this->clock.Now() + this->tickInterval;
  while (true) {
    const Millis wait =
      std::max<Millis>(nextTick - this->clock.Now(), Millis{ 0 });
    std::vector<Task> batch = this->tasks.Drain(wait);
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
