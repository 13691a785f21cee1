#pragma once

#include "common/clock.h"

#include <boost/circular_buffer.hpp>

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace lacewingwharf {

/**
 * A bounded queue between two threads. A full queue rejects and counts new
 * items; Push() reports the rejection to the producer.
 */
template<typename T>
class Ring
{
public:
  /**
   * aWake is called after each push, without the lock held. It wakes consumers
   * that wait in their own event loop instead of Pop().
   */
  explicit Ring(std::size_t aCapacity, std::function<void()> aWake = {})
    : items(aCapacity)
    , wake(std::move(aWake))
  {
  }

  /** Returns false and counts an overflow when the ring is full or closed. */
  bool Push(T aItem)
  {
    {
      const std::lock_guard lock(this->mutex);
      if (this->closed || this->items.full()) {
        ++this->overflows;
        return false;
      }
      this->items.push_back(std::move(aItem));
    }
    this->available.notify_one();
    if (this->wake) {
      this->wake();
    }
    return true;
  }

  /** Waits up to aTimeout for an item. Returns no value on timeout. */
  std::optional<T> Pop(Millis aTimeout)
  {
    std::unique_lock lock(this->mutex);
    this->available.wait_for(lock, std::chrono::milliseconds(aTimeout), [this] {
      return this->closed || !this->items.empty();
    });
    return this->TakeFront();
  }

  std::optional<T> TryPop()
  {
    const std::lock_guard lock(this->mutex);
    return this->TakeFront();
  }

  /** Waits up to aTimeout for the first item and removes all items. */
  std::vector<T> Drain(Millis aTimeout)
  {
    std::unique_lock lock(this->mutex);
    if (this->items.empty() && aTimeout > 0) {
      this->available.wait_for(
        lock, std::chrono::milliseconds(aTimeout), [this] {
          return this->closed || !this->items.empty();
        });
    }
    std::vector<T> taken;
    taken.reserve(this->items.size());
    while (auto item = this->TakeFront()) {
      taken.push_back(std::move(*item));
    }
    return taken;
  }

  /** Wakes waiting consumers and rejects later pushes. */
  void Close()
  {
    {
      const std::lock_guard lock(this->mutex);
      this->closed = true;
    }
    this->available.notify_all();
  }

  std::uint64_t Overflows() const
  {
    const std::lock_guard lock(this->mutex);
    return this->overflows;
  }

  bool IsClosed() const
  {
    const std::lock_guard lock(this->mutex);
    return this->closed;
  }

private:
  std::optional<T> TakeFront()
  {
    if (this->items.empty()) {
      return std::nullopt;
    }
    std::optional<T> item(std::move(this->items.front()));
    this->items.pop_front();
    return item;
  }

  mutable std::mutex mutex;
  std::condition_variable available;
  boost::circular_buffer<T> items;
  std::function<void()> wake;
  std::uint64_t overflows = 0;
  bool closed = false;
};

} // namespace lacewingwharf
