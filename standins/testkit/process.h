#pragma once

#include "common/clock.h"

#include <sys/types.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lacewingwharf {

/**
 * A program started by a test. It is killed when this object is destroyed or
 * the thread that created it ends.
 */
class ChildProcess
{
public:
  /**
   * Starts a program of the build directory, or any program when aProgram
   * contains a slash. Standard output goes to aOutputPath unless it is empty.
   * A program that cannot be started is reported as ended.
   */
  ChildProcess(const std::string& aProgram,
               const std::vector<std::string>& aArguments,
               const std::string& aOutputPath = {});
  ~ChildProcess();

  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;
  ChildProcess(ChildProcess&& aOther) noexcept;
  ChildProcess& operator=(ChildProcess&& aOther) noexcept;

  /** Sends SIGTERM. */
  void Terminate();

  /** Sends SIGKILL and waits for the end of the program. */
  void Kill();

  /** Suspends the program with SIGSTOP and waits until it has stopped. */
  void Freeze();

  /** Resumes the program with SIGCONT. */
  void Thaw();

  /**
   * Waits for the end of the program. Returns the exit code, or 128 + signal,
   * or nullopt if the program still runs after aTimeout.
   */
  std::optional<int> Wait(Millis aTimeout);
  bool IsRunning();
  pid_t Pid() const;

private:
  void Signal(int aSignal);

  pid_t pid = -1;
  std::optional<int> exitCode;
};

/**
 * A port that is free for TCP and UDP on 127.0.0.1. It is below the range of
 * ephemeral ports, so that no outgoing connection takes it before the program
 * under test does.
 */
std::uint16_t
FreePort();

/** Waits until something accepts TCP connections on 127.0.0.1:aPort. */
bool
WaitForPort(std::uint16_t aPort, Millis aTimeout = 20000);

/** Polls aCondition until it is true. Returns false after aTimeout. */
template<typename Condition>
bool
WaitUntil(Condition aCondition, Millis aTimeout = 20000);

void
PauseFor(Millis aMillis);

inline pid_t
ChildProcess::Pid() const
{
  return this->pid;
}

template<typename Condition>
bool
WaitUntil(Condition aCondition, Millis aTimeout)
{
  constexpr Millis kPollInterval = 10;
  const Clock clock = Clock::Steady();
  const Millis end = clock.Now() + aTimeout;
  while (!aCondition()) {
    if (clock.Now() >= end) {
      return false;
    }
    PauseFor(kPollInterval);
  }
  return true;
}

} // namespace lacewingwharf
