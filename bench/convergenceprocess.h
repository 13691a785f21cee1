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

/** Where the programs are; another build can be measured by its directory. */
inline std::string&
ProgramDirectory()
{
  static std::string sDirectory = LWW_BINARY_DIR;
  return sDirectory;
}

/**
 * A program of the build directory whose standard error is read through a
 * pipe. The kernel kills it when the thread that started it ends.
 */
class BenchProcess
{
public:
  BenchProcess() = default;

  BenchProcess(const std::string& aProgram,
               const std::vector<std::string>& aArguments)
  {
    std::array<int, 2> ends{ -1, -1 };
    if (pipe2(ends.data(), O_CLOEXEC) != 0) {
      return;
    }
    this->log = ends[0];
    std::vector<std::string> words{ "/usr/bin/setpriv",
                                    "--pdeathsig",
                                    "KILL",
                                    ProgramDirectory() + "/" + aProgram };
    words.insert(words.end(), aArguments.begin(), aArguments.end());
    std::vector<char*> arguments;
    arguments.reserve(words.size() + 1);
    for (std::string& word : words) {
      arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, ends[1], STDERR_FILENO);
    posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
    if (posix_spawn(&this->pid,
                    words.front().c_str(),
                    &actions,
                    nullptr,
                    arguments.data(),
                    environ) != 0) {
      this->pid = -1;
    }
    posix_spawn_file_actions_destroy(&actions);
    close(ends[1]);
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

  void Kill()
  {
    this->Terminate();
    if (this->log >= 0) {
      close(this->log);
      this->log = -1;
    }
  }

  /** Kills the program; its log can be read to the end. */
  void Terminate()
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
