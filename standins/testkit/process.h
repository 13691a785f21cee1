#pragma once

#include "common/clock.h"

#include <sys/types.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lacewingwharf {

/**
 * A program started by a test. It is killed when this object goes away or the
 * thread that made it ends.
 */
class ChildProcess
{
public:
  /**
   * Starts a program of the build directory, or any program when aProgram
   * contains a slash. Standard output goes to aOutputPath unless it is empty.
   * A program that cannot be started shows as one that has ended.
   */
  ChildProcess(const std::string& aProgram,
               const std::vector<std::string>& aArguments,
               const std::string& aOutputPath = {});
  ~ChildProcess();

  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;
  ChildProcess(ChildProcess&& aOther) noexcept;
  ChildProcess& operator=(ChildProcess&& aOther) noexcept;

  /** Asks the program to end (SIGTERM). */
  void Terminate();

  /** Ends the program at once and waits for it. */
  void Kill();

  /** Stops the program (SIGSTOP); returns when it has stopped. */
  void Freeze();
  void Thaw();

  /** The exit code, or 128 + signal; empty when it still runs after aBound. */
  std::optional<int> Wait(Millis aBound);
  bool IsRunning();
  pid_t Pid() const;

private:
  void Signal(int aSignal);

  pid_t pid = -1;
  std::optional<int> exitCode;
};

/**
 * A port that is free for TCP and UDP on 127.0.0.1. It lies below the range
 * for outgoing connections, so that none of those takes it before the program
 * under test does.
 */
std::uint16_t
FreePort();

/** Waits until something accepts TCP connections on 127.0.0.1:aPort. */
bool
WaitForPort(std::uint16_t aPort, Millis aBound = 20000);

/** Calls aCondition every few milliseconds until it is true or aBound ends. */
template<typename Condition>
bool
WaitUntil(Condition aCondition, Millis aBound = 20000);

/** Sleeps for aMillis. */
void
PauseFor(Millis aMillis);

inline pid_t
ChildProcess::Pid() const
{
  return this->pid;
}

template<typename Condition>
bool
WaitUntil(Condition aCondition, Millis aBound)
{
  constexpr Millis kStep = 10;
  const Clock clock = Clock::Steady();
  const Millis end = clock.Now() + aBound;
  while (!aCondition()) {
    if (clock.Now() >= end) {
      return false;
    }
    PauseFor(kStep);
  }
  return true;
}

} // namespace lacewingwharf
