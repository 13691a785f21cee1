#pragma once

#include "testkit/httprequest.h"
#include "testkit/process.h"

#include <fmt/format.h>

#include <sys/types.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace lacewingwharf::bench {

// The backend server runs on the host with the near address.
constexpr const char* kNearAddress = "127.83.0.1";
constexpr const char* kFarAddress = "127.83.0.2";

// The backend server accepts more calls than it announces slots for. Direct
// calls are therefore never refused, and only the announced slots limit the
// calls through the daemon.
constexpr int kServerCapacity = 512;

/** Starts a program whose standard error goes to the file aLogPath. */
inline ChildProcess
StartLogged(const std::string& aProgram,
            const std::string& aLogPath,
            const std::vector<std::string>& aArguments)
{
  std::vector<std::string> shellArguments{
    "-c",
    "log=$1; shift; exec \"$@\" 2>\"$log\"",
    "sh",
    aLogPath,
    std::string(LWW_BINARY_DIR) + "/" + aProgram
  };
  shellArguments.insert(
    shellArguments.end(), aArguments.begin(), aArguments.end());
  return { "/bin/sh", shellArguments };
}

/** User and system CPU time of a process in milliseconds. */
inline double
CpuMillisOf(pid_t aPid)
{
  // Counted from the field after the program name.
  constexpr int kUserTimeField = 11;
  constexpr double kMillisPerSecond = 1000;
  std::ifstream file(fmt::format("/proc/{}/stat", aPid));
  const std::string text((std::istreambuf_iterator<char>(file)), {});
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string skipped;
  for (int i = 0; i < kUserTimeField; ++i) {
    fields >> skipped;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) * kMillisPerSecond /
         static_cast<double>(sysconf(_SC_CLK_TCK));
}

/**
 * Runs the platform stand-in, two daemons and one backend server as processes
 * on loopback addresses. The backend server is on the host of the near daemon.
 */
class CallTestbed
{
public:
  CallTestbed(int aSlots, int aServiceMillis, std::string aDaemonProgram);
  ~CallTestbed();

  CallTestbed(const CallTestbed&) = delete;
  CallTestbed& operator=(const CallTestbed&) = delete;

  /**
   * Stores the catalogue, sets the slots of the backend server and waits until
   * both daemons answer calls. Returns false when one of these times out.
   */
  bool WaitUntilServing();

  /** URL of a call that passes through aDaemonCount daemons (0 to 2). */
  std::string Url(std::size_t aDaemonCount) const;

  /** CPU time of both daemons. */
  double CpuMillis() const;

private:
  void StartDaemon(const std::string& aName, const std::string& aAddress);
  void StartBackend();
  bool Put(const std::string& aName, const std::string& aJson) const;

  int slots;
  int serviceMillis;
  std::string daemonProgram;
  std::string folder;
  int platformPort;
  int callPort;
  int adminPort;
  int peerPort;
  int serverPort;
  std::vector<ChildProcess> otherProcesses;
  std::vector<ChildProcess> daemons;
};

inline CallTestbed::CallTestbed(int aSlots,
                                int aServiceMillis,
                                std::string aDaemonProgram)
  : slots(aSlots)
  , serviceMillis(aServiceMillis)
  , daemonProgram(std::move(aDaemonProgram))
  , platformPort(FreePort())
  , callPort(FreePort())
  , adminPort(FreePort())
  , peerPort(FreePort())
  , serverPort(FreePort())
{
  std::string pattern =
    (std::filesystem::temp_directory_path() / "lww-calls-XXXXXX").string();
  this->folder = mkdtemp(pattern.data());
  this->otherProcesses.push_back(
    StartLogged("lww-platform",
                this->folder + "/platform.log",
                { "--address",
                  kNearAddress,
                  "--port",
                  std::to_string(this->platformPort) }));
  this->StartDaemon("near", kNearAddress);
  this->StartDaemon("far", kFarAddress);
  this->StartBackend();
}

inline CallTestbed::~CallTestbed()
{
  this->otherProcesses.clear();
  this->daemons.clear();
  std::error_code ignored;
  std::filesystem::remove_all(this->folder, ignored);
}

inline void
CallTestbed::StartDaemon(const std::string& aName, const std::string& aAddress)
{
  const std::string path = fmt::format("{}/{}.ini", this->folder, aName);
  std::ofstream(path) << fmt::format(
    "[daemon]\nhost = {}\naddress = {}\nregion = bench\ndomain = bench\n"
    "[peer]\nport = {}\n[http]\ncallport = {}\nadminport = {}\n"
    "[platform]\naddress = {}:{}\nregion = bench\n"
    "[membership]\npeers = {}:{}, {}:{}\n",
    aName,
    aAddress,
    this->peerPort,
    this->callPort,
    this->adminPort,
    kNearAddress,
    this->platformPort,
    kNearAddress,
    this->peerPort,
    kFarAddress,
    this->peerPort);
  this->daemons.push_back(
    StartLogged(this->daemonProgram,
                fmt::format("{}/{}.log", this->folder, aName),
                { "--config", path }));
}

inline void
CallTestbed::StartBackend()
{
  this->otherProcesses.push_back(
    StartLogged("lww-backend",
                this->folder + "/backend.log",
                { "--address",
                  kNearAddress,
                  "--port",
                  std::to_string(this->serverPort),
                  "--service",
                  "bench",
                  "--slots",
                  std::to_string(kServerCapacity),
                  "--connections",
                  std::to_string(kServerCapacity),
                  "--admin",
                  fmt::format("{}:{}", kNearAddress, this->adminPort),
                  "--service-ms",
                  std::to_string(this->serviceMillis) }));
}

inline bool
CallTestbed::Put(const std::string& aName, const std::string& aJson) const
{
  constexpr long kMinErrorStatus = 300;
  const auto answer =
    SendTestRequest("PUT",
                    fmt::format("http://{}:{}/v1/objects/catalogue/{}",
                                kNearAddress,
                                this->platformPort,
                                aName),
                    aJson);
  return answer.status > 0 && answer.status < kMinErrorStatus;
}

inline bool
CallTestbed::WaitUntilServing()
{
  constexpr Millis kRequestTimeout = 1000;
  const auto answers = [](const std::string& aUrl) {
    return SendTestRequest("GET", aUrl, {}, {}, kRequestTimeout).status == 200;
  };
  const std::string server =
    fmt::format("http://{}:{}/test", kNearAddress, this->serverPort);
  const auto setSlots = [&] {
    return SendTestRequest("POST",
                           server + "/behaviour",
                           fmt::format(R"({{"claim_slots":{}}})", this->slots))
             .status == 200;
  };
  return WaitUntil([&] {
           return this->Put(
             "bench",
             R"({"kind":"service","owner":"bench","class":"interactive"})");
         }) &&
         this->Put("bench-route",
                   R"({"kind":"route","owner":"bench","class":"interactive",)"
                   R"("service":"bench","match":{"path":"/bench",)"
                   R"("methods":["GET","POST"]},"limits":{"deadline_ms":2000,)"
                   R"("queue_ms":500}})") &&
         WaitUntil(setSlots) &&
         WaitUntil([&] { return answers(this->Url(1)); }) &&
         WaitUntil([&] { return answers(this->Url(2)); });
}

inline std::string
CallTestbed::Url(std::size_t aDaemonCount) const
{
  constexpr std::size_t kTwoDaemons = 2;
  const char* address =
    aDaemonCount == kTwoDaemons ? kFarAddress : kNearAddress;
  const int port = aDaemonCount == 0 ? this->serverPort : this->callPort;
  return fmt::format("http://{}:{}/bench/1", address, port);
}

inline double
CallTestbed::CpuMillis() const
{
  double sum = 0;
  for (const ChildProcess& daemon : this->daemons) {
    sum += CpuMillisOf(daemon.Pid());
  }
  return sum;
}

} // namespace lacewingwharf::bench
