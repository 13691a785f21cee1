#pragma once

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <string>
#include <utility>
#include <vector>

namespace lacewingwharf::bench {

/** Directory of the programs; can be set to measure another build. */
inline std::string&
ProgramDirectory()
{
  static std::string sDirectory = LWW_BINARY_DIR;
  return sDirectory;
}

/**
 * Runs a program of ProgramDirectory(). Its standard output and error can be
 * read from LogDescriptor(), the read end of a pipe. The kernel kills the
 * program when the thread that started it ends.
 */
class BenchProcess
{
public:
  BenchProcess() = default;

  BenchProcess(const std::string& aProgram,
               const std::vector<std::string>& aArguments)
  {
    std::array<int, 2> pipeEnds{ -1, -1 };
    if (pipe2(pipeEnds.data(), O_CLOEXEC) != 0) {
      return;
    }
    this->log = pipeEnds[0];
    std::vector<std::string> commandLine{ "/usr/bin/setpriv",
                                          "--pdeathsig",
                                          "KILL",
                                          ProgramDirectory() + "/" + aProgram };
    commandLine.insert(commandLine.end(), aArguments.begin(), aArguments.end());
    std::vector<char*> arguments;
    arguments.reserve(commandLine.size() + 1);
    for (std::string& word : commandLine) {
      arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, pipeEnds[1], STDERR_FILENO);
    posix_spawn_file_actions_adddup2(&actions, pipeEnds[1], STDOUT_FILENO);
    if (posix_spawn(&this->pid,
                    commandLine.front().c_str(),
                    &actions,
                    nullptr,
                    arguments.data(),
                    environ) != 0) {
      this->pid = -1;
    }
    posix_spawn_file_actions_destroy(&actions);
    close(pipeEnds[1]);
  }

  ~BenchProcess() { this->Kill(); }

  BenchProcess(const BenchProcess&) = delete;
  BenchProcess& operator=(const BenchProcess&) = delete;
  BenchProcess(BenchProcess&& aOther) noexcept
    : pid(std::exchange(aOther.pid, -1))
    , log(std::exchange(aOther.log, -1))
  {
  }
  BenchProcess& operator=(BenchProcess&& aOther) noexcept
  {
    if (this != &aOther) {
      this->Kill();
      this->pid = std::exchange(aOther.pid, -1);
      this->log = std::exchange(aOther.log, -1);
    }
    return *this;
  }

  /** Kills the program and closes the pipe of its log. */
  void Kill()
  {
    this->KillKeepingLog();
    if (this->log >= 0) {
      close(this->log);
      this->log = -1;
    }
  }

  /** Kills the program; the rest of its log can still be read. */
  void KillKeepingLog()
  {
    if (this->pid > 0) {
      kill(this->pid, SIGKILL);
      waitpid(this->pid, nullptr, 0);
      this->pid = -1;
    }
  }

  bool IsRunning() const { return this->pid > 0; }
  pid_t Pid() const { return this->pid; }
  int LogDescriptor() const { return this->log; }

private:
  pid_t pid = -1;
  int log = -1;
};

} // namespace lacewingwharf::bench
