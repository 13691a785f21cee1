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

constexpr const char* kNearAddress = "127.83.0.1"; // With the backend server.
constexpr const char* kFarAddress = "127.83.0.2";

// The backend server takes more than it announces, so that direct calls are
// never refused and only the daemon's slots bound the calls through it.
constexpr int kAcceptedByServer = 512;
/** Starts a program with its log in a file, as an operator would run it. */
inline ChildProcess
StartLogged(const std::string& aProgram,
            const std::string& aLogPath,
            const std::vector<std::string>& aArguments)
{
  std::vector<std::string> words{ "-c",
                                  "log=$1; shift; exec \"$@\" 2>\"$log\"",
                                  "sh",
                                  aLogPath,
                                  std::string(LWW_BINARY_DIR) + "/" +
                                    aProgram };
  words.insert(words.end(), aArguments.begin(), aArguments.end());
  return { "/bin/sh", words };
}

/** Processor time of a process in milliseconds. */
inline double
CpuMillisOf(pid_t aPid)
{
  constexpr int kUserTimeField = 11; // Counted after the program's name.
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

/** The processes of the measurement and their addresses. */
class CallWorld
{
public:
  CallWorld(int aSlots, int aServiceMillis, std::string aDaemonProgram);
  ~CallWorld();

  CallWorld(const CallWorld&) = delete;
  CallWorld& operator=(const CallWorld&) = delete;

  /** Puts the catalogue and waits until both daemons answer calls. */
  bool IsServing();

  std::string Url(std::size_t aStops) const;
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
  std::vector<ChildProcess> others;
  std::vector<ChildProcess> daemons;
};

inline CallWorld::CallWorld(int aSlots,
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
  this->others.push_back(StartLogged("lww-platform",
                                     this->folder + "/platform.log",
                                     { "--address",
                                       kNearAddress,
                                       "--port",
                                       std::to_string(this->platformPort) }));
  this->StartDaemon("near", kNearAddress);
  this->StartDaemon("far", kFarAddress);
  this->StartBackend();
}

inline CallWorld::~CallWorld()
{
  this->others.clear();
  this->daemons.clear();
  std::error_code ignored;
  std::filesystem::remove_all(this->folder, ignored);
}

inline void
CallWorld::StartDaemon(const std::string& aName, const std::string& aAddress)
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
CallWorld::StartBackend()
{
  this->others.push_back(
    StartLogged("lww-backend",
                this->folder + "/backend.log",
                { "--address",
                  kNearAddress,
                  "--port",
                  std::to_string(this->serverPort),
                  "--service",
                  "bench",
                  "--slots",
                  std::to_string(kAcceptedByServer),
                  "--connections",
                  std::to_string(kAcceptedByServer),
                  "--admin",
                  fmt::format("{}:{}", kNearAddress, this->adminPort),
                  "--service-ms",
                  std::to_string(this->serviceMillis) }));
}

inline bool
CallWorld::Put(const std::string& aName, const std::string& aJson) const
{
  constexpr long kFailure = 300;
  const auto answer =
    SendTestRequest("PUT",
                    fmt::format("http://{}:{}/v1/objects/catalogue/{}",
                                kNearAddress,
                                this->platformPort,
                                aName),
                    aJson);
  return answer.status > 0 && answer.status < kFailure;
}

inline bool
CallWorld::IsServing()
{
  constexpr Millis kStep = 1000;
  const auto answers = [](const std::string& aUrl) {
    return SendTestRequest("GET", aUrl, {}, {}, kStep).status == 200;
  };
  const std::string server =
    fmt::format("http://{}:{}/test", kNearAddress, this->serverPort);
  const auto claim = [&] {
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
         WaitUntil(claim) && WaitUntil([&] { return answers(this->Url(1)); }) &&
         WaitUntil([&] { return answers(this->Url(2)); });
}

inline std::string
CallWorld::Url(std::size_t aStops) const
{
  constexpr std::size_t kTwoStops = 2;
  const char* address = aStops == kTwoStops ? kFarAddress : kNearAddress;
  const int port = aStops == 0 ? this->serverPort : this->callPort;
  return fmt::format("http://{}:{}/bench/1", address, port);
}

inline double
CallWorld::CpuMillis() const
{
  double sum = 0;
  for (const ChildProcess& daemon : this->daemons) {
    sum += CpuMillisOf(daemon.Pid());
  }
  return sum;
}

} // namespace lacewingwharf::bench
