#include "httpserver/timerthread.h"

#include <chrono>
#include <utility>

namespace lacewingwharf {

TimerThread::TimerThread()
  : clock(Clock::Steady())
{
  this->thread = std::thread([this] { this->Run(); });
}

TimerThread::~TimerThread()
{
  this->Stop();
}

bool
TimerThread::RunAfter(Millis aDelay, std::function<void()> aTask)
{
  {
    const std::lock_guard lock(this->mutex);
    if (this->hasEnded) {
      return false;
    }
    const double time = this->clock.PreciseNow() + static_cast<double>(aDelay);
    this->tasks.emplace(time, std::move(aTask));
  }
  this->changed.notify_one();
  return true;
}

void
TimerThread::Stop()
{
  {
    const std::lock_guard lock(this->mutex);
    this->isStopping = true;
  }
  this->changed.notify_one();
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void
TimerThread::Run()
{
  std::unique_lock lock(this->mutex);
  while (true) {
    if (this->tasks.empty()) {
      if (this->isStopping) {
        this->hasEnded = true;
        return;
      }
      this->changed.wait(lock);
      continue;
    }
    const double wait = this->tasks.begin()->first - this->clock.PreciseNow();
    if (wait > 0 && !this->isStopping) {
      this->changed.wait_for(lock,
                             std::chrono::duration<double, std::milli>(wait));
      continue;
    }
    const auto task = std::move(this->tasks.begin()->second);
    this->tasks.erase(this->tasks.begin());
    lock.unlock();
    task();
    lock.lock();
  }
}

} // namespace lacewingwharf
