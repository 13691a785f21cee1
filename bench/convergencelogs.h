#pragma once

#include "common/clock.h"

#include <poll.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <charconv>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace lacewingwharf::bench {

using BenchClock = std::chrono::steady_clock;

/**
 * Reads the logs of all daemons and records when each puts a version in force.
 * The recorded time is the time at which the log line is read. All times come
 * from one clock, and no requests to the daemons are needed.
 */
class LogReader
{
public:
  /**
   * Newest version of one daemon, and the time at which the daemon first had a
   * version not older than the expected one.
   */
  struct State
  {
    std::int64_t version = 0;
    BenchClock::time_point reachedAt;
    bool hasReached = false;
  };

  explicit LogReader(std::size_t aCount, std::string aDirectory)
    : sources(aCount)
    , states(aCount)
    , directory(std::move(aDirectory))
    , thread([this] { this->Run(); })
  {
  }
  ~LogReader()
  {
    this->isStopping = true;
    this->thread.join();
  }

  LogReader(const LogReader&) = delete;
  LogReader& operator=(const LogReader&) = delete;

  /** Starts to read the log of a newly started daemon. */
  void Open(std::size_t aDaemon, int aDescriptor)
  {
    const std::lock_guard lock(this->mutex);
    Source& source = this->sources[aDaemon];
    source.descriptor = dup(aDescriptor);
    source.partialLine.clear();
    if (!this->directory.empty() && !source.logCopy) {
      const std::string path =
        this->directory + "/daemon-" + std::to_string(aDaemon) + ".log";
      source.logCopy = { std::fopen(path.c_str(), "w"), &std::fclose };
    }
    this->states[aDaemon] = {};
  }

  void Close(std::size_t aDaemon)
  {
    const std::lock_guard lock(this->mutex);
    this->CloseSource(this->sources[aDaemon]);
  }

  /**
   * Discards the recorded times and sets the version whose arrival is recorded
   * from now on.
   */
  void ExpectVersion(std::int64_t aVersion)
  {
    const std::lock_guard lock(this->mutex);
    this->expectedVersion = aVersion;
    for (State& state : this->states) {
      state.hasReached = state.version >= aVersion;
      state.reachedAt = BenchClock::now();
    }
  }

  std::vector<State> States() const
  {
    const std::lock_guard lock(this->mutex);
    return this->states;
  }

private:
  struct Source
  {
    int descriptor = -1;
    std::string partialLine;
    std::shared_ptr<std::FILE> logCopy;
  };

  static void CloseSource(Source& aSource)
  {
    if (aSource.descriptor >= 0) {
      close(aSource.descriptor);
      aSource.descriptor = -1;
    }
  }

  void Run()
  {
    constexpr int kWaitMillis = 20;
    while (!this->isStopping) {
      std::vector<pollfd> waits;
      {
        const std::lock_guard lock(this->mutex);
        for (const Source& source : this->sources) {
          waits.push_back({ source.descriptor, POLLIN, 0 });
        }
      }
      if (poll(waits.data(), waits.size(), kWaitMillis) <= 0) {
        continue;
      }
      const std::lock_guard lock(this->mutex);
      for (std::size_t daemon = 0; daemon < waits.size(); ++daemon) {
        if (waits[daemon].revents != 0 &&
            waits[daemon].fd == this->sources[daemon].descriptor) {
          this->ReadSource(daemon);
        }
      }
    }
  }

  void ReadSource(std::size_t aDaemon)
  {
    Source& source = this->sources[aDaemon];
    std::array<char, 16384> buffer{};
    const ssize_t size = read(source.descriptor, buffer.data(), buffer.size());
    if (size <= 0) {
      CloseSource(source);
      return;
    }
    source.partialLine.append(buffer.data(), static_cast<std::size_t>(size));
    if (source.logCopy) {
      std::fwrite(
        buffer.data(), 1, static_cast<std::size_t>(size), source.logCopy.get());
    }
    std::size_t end = 0;
    while ((end = source.partialLine.find('\n')) != std::string::npos) {
      this->HandleLine(aDaemon,
                       std::string_view(source.partialLine).substr(0, end));
      source.partialLine.erase(0, end + 1);
    }
  }

  void HandleLine(std::size_t aDaemon, std::string_view aLine)
  {
    constexpr std::string_view kVersionEvent =
      "part=control event=version-in-force version=";
    const std::size_t start = aLine.find(kVersionEvent);
    if (start == std::string_view::npos) {
      return;
    }
    const std::string_view number = aLine.substr(start + kVersionEvent.size());
    State& state = this->states[aDaemon];
    std::from_chars(
      number.data(), number.data() + number.size(), state.version);
    if (!state.hasReached && state.version >= this->expectedVersion) {
      state.hasReached = true;
      state.reachedAt = BenchClock::now();
    }
  }

  mutable std::mutex mutex;
  std::vector<Source> sources;
  std::vector<State> states;
  std::string directory;
  std::int64_t expectedVersion = 1;
  std::atomic<bool> isStopping{ false };
  std::thread thread; // Declared last because it uses all other members.
};

} // namespace lacewingwharf::bench
