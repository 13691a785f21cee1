#include "testkit/process.h"

#include "common/random.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <thread>
#include <utility>

namespace lacewingwharf {

namespace {

sockaddr_in
LoopbackAddress(std::uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

bool
CanBind(std::uint16_t aPort, int aType)
{
  const int socketFd = socket(AF_INET, aType | SOCK_CLOEXEC, 0);
  const sockaddr_in address = LoopbackAddress(aPort);
  const bool isFree =
    bind(socketFd,
         reinterpret_cast<const sockaddr*>(&address), // NOLINT
         sizeof(address)) == 0;
  close(socketFd);
  return isFree;
}

bool
CanConnect(std::uint16_t aPort)
{
  const int socketFd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = LoopbackAddress(aPort);
  const bool isOpen =
    connect(socketFd,
            reinterpret_cast<const sockaddr*>(&address), // NOLINT
            sizeof(address)) == 0;
  close(socketFd);
  return isOpen;
}

std::string
PathOf(const std::string& aProgram)
{
  if (aProgram.find('/') != std::string::npos) {
    return aProgram;
  }
  return std::string(LWW_BINARY_DIR) + "/" + aProgram;
}

int
ExitCodeOf(int aStatus)
{
  constexpr int kSignalBase = 128;
  return WIFSIGNALED(aStatus) ? kSignalBase + WTERMSIG(aStatus)
                              : WEXITSTATUS(aStatus);
}

} // namespace

ChildProcess::ChildProcess(const std::string& aProgram,
                           const std::vector<std::string>& aArguments,
                           const std::string& aOutputPath)
{
  // A failed assertion ends the test without running destructors. The kernel
  // therefore kills the program when the thread that started it ends.
  std::string path = "/usr/bin/setpriv";
  std::vector<std::string> words{
    path, "--pdeathsig", "KILL", PathOf(aProgram)
  };
  words.insert(words.end(), aArguments.begin(), aArguments.end());
  std::vector<char*> arguments;
  arguments.reserve(words.size() + 1);
  for (std::string& word : words) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);

  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  if (!aOutputPath.empty()) {
    posix_spawn_file_actions_addopen(&actions,
                                     STDOUT_FILENO,
                                     aOutputPath.c_str(),
                                     O_WRONLY | O_CREAT | O_TRUNC,
                                     S_IRUSR | S_IWUSR);
  }
  const int error = posix_spawn(
    &this->pid, path.c_str(), &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    this->pid = -1;
  }
}

ChildProcess::~ChildProcess()
{
  this->Kill();
}

ChildProcess::ChildProcess(ChildProcess&& aOther) noexcept
  : pid(std::exchange(aOther.pid, -1))
  , exitCode(aOther.exitCode)
{
}

ChildProcess&
ChildProcess::operator=(ChildProcess&& aOther) noexcept
{
  if (this != &aOther) {
    this->Kill();
    this->pid = std::exchange(aOther.pid, -1);
    this->exitCode = aOther.exitCode;
  }
  return *this;
}

void
ChildProcess::Terminate()
{
  this->Signal(SIGTERM);
}

void
ChildProcess::Kill()
{
  constexpr Millis kKillTimeout = 10000;
  this->Signal(SIGKILL);
  this->Wait(kKillTimeout);
}

void
ChildProcess::Freeze()
{
  this->Signal(SIGSTOP);
  if (this->IsRunning()) {
    // The signal takes effect some time after it is sent.
    siginfo_t info{};
    waitid(
      P_PID, static_cast<id_t>(this->pid), &info, WSTOPPED | WEXITED | WNOWAIT);
  }
}

void
ChildProcess::Thaw()
{
  this->Signal(SIGCONT);
}

std::optional<int>
ChildProcess::Wait(Millis aTimeout)
{
  if (this->pid >= 0) {
    WaitUntil([this] { return !this->IsRunning(); }, aTimeout);
  }
  return this->exitCode;
}

bool
ChildProcess::IsRunning()
{
  if (this->pid < 0 || this->exitCode) {
    return false;
  }
  int status = 0;
  if (waitpid(this->pid, &status, WNOHANG) == 0) {
    return true;
  }
  this->exitCode = ExitCodeOf(status);
  return false;
}

void
ChildProcess::Signal(int aSignal)
{
  // After waitpid() the process id may belong to another process.
  if (this->IsRunning()) {
    kill(this->pid, aSignal);
  }
}

std::uint16_t
FreePort()
{
  constexpr std::uint64_t kFirstPort = 10000;
  constexpr std::uint64_t kPortCount = 22000;
  const Random random = SystemRandom();
  while (true) {
    const auto port =
      static_cast<std::uint16_t>(kFirstPort + RandomBelow(random, kPortCount));
    if (CanBind(port, SOCK_STREAM) && CanBind(port, SOCK_DGRAM)) {
      return port;
    }
  }
}

bool
WaitForPort(std::uint16_t aPort, Millis aTimeout)
{
  return WaitUntil([aPort] { return CanConnect(aPort); }, aTimeout);
}

void
PauseFor(Millis aMillis)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMillis));
}

} // namespace lacewingwharf
