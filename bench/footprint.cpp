// CPU, memory and bytes of one real daemon's control work. The other members
// of its failure domain and the feeders of the other domains are simulated in
// this process; they speak the real protocol over loopback sockets. The
// platform is absent: a daemon that is neither feeder nor acceptor asks it
// only at its start.

#include "convergencehttp.h"
#include "convergenceprocess.h"
#include "footprintworld.h"

#include "common/log.h"

#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>

using namespace lacewingwharf;
using namespace lacewingwharf::bench;

namespace {

constexpr double kSecondsPerDay = 86400;
constexpr int kFootprintAdminPort = 17841;

struct Options
{
  bool isCsv = false;
  int members = 1575;
  int seconds = 30;
};

/** What the kernel and the daemon's metrics count since its start. */
struct Reading
{
  double cpuSeconds = 0;
  double residentBytes = 0;
  double controlBytes = 0;
  double datagrams = 0;
  double frames = 0;
  double changes = 0;
  double recordChanges = 0;
  std::chrono::steady_clock::time_point at;
};

class DaemonUnderTest
{
public:
  explicit DaemonUnderTest(const std::string& aHost)
    : directory(std::filesystem::temp_directory_path() /
                fmt::format("lww-footprint-{}", getpid()))
  {
    std::filesystem::create_directories(this->directory);
    const std::string path = (this->directory / "daemon.ini").string();
    std::ofstream(path) << fmt::format(
      "[daemon]\nhost = {}\naddress = {}\nregion = region-0\n"
      "domain = domain-0\nloglevel = warning\n[peer]\nport = {}\n"
      "[http]\ncallport = {}\nadminport = {}\n"
      "[platform]\naddress = 127.84.8.9:1\nregion = region-0\n"
      "[membership]\npeers = {}\n",
      aHost,
      kDaemonAddress,
      kFootprintPort,
      kFootprintAdminPort + 1,
      kFootprintAdminPort,
      FootprintWorld::PeersSetting());
    this->process = BenchProcess("lacewingwharfd", { "--config", path });
    this->logDrain = std::thread([this] { this->CopyLog(); });
  }
  ~DaemonUnderTest()
  {
    this->isStopping = true;
    this->process.Terminate();
    this->logDrain.join();
    std::filesystem::remove_all(this->directory);
  }

  DaemonUnderTest(const DaemonUnderTest&) = delete;
  DaemonUnderTest& operator=(const DaemonUnderTest&) = delete;

  std::string Get(const std::string& aPath)
  {
    this->http.Send(
      "GET",
      fmt::format(
        "http://{}:{}{}", kDaemonAddress, kFootprintAdminPort, aPath));
    return this->http.Answer();
  }

  Reading Read(const FootprintWorld& aWorld)
  {
    const std::string metrics = "\n" + this->Get("/metrics");
    Reading reading;
    reading.controlBytes =
      ValueIn(metrics, "lacewingwharf_control_bytes_sent") +
      ValueIn(metrics, "lacewingwharf_control_bytes_received");
    reading.cpuSeconds = this->CpuSeconds();
    reading.residentBytes = this->ResidentBytes();
    reading.datagrams = static_cast<double>(aWorld.Datagrams());
    reading.frames = static_cast<double>(aWorld.Frames());
    reading.changes = aWorld.Changes();
    reading.recordChanges = aWorld.RecordChanges();
    reading.at = std::chrono::steady_clock::now();
    return reading;
  }

private:
  static double ValueIn(const std::string& aText, const std::string& aName)
  {
    const std::size_t found = aText.find("\n" + aName + " ");
    return found == std::string::npos
             ? 0
             : std::atof(aText.c_str() + found + aName.size() + 2);
  }

  std::string ProcPath(const std::string& aFile) const
  {
    return fmt::format("/proc/{}/{}", this->process.Pid(), aFile);
  }

  /** Of all threads, in nanosecond steps. */
  double CpuSeconds() const
  {
    constexpr double kNanos = 1e9;
    double sum = 0;
    for (const auto& thread :
         std::filesystem::directory_iterator(this->ProcPath("task"))) {
      double nanos = 0;
      std::ifstream(thread.path() / "schedstat") >> nanos;
      sum += nanos / kNanos;
    }
    return sum;
  }

  double ResidentBytes() const
  {
    double total = 0;
    double resident = 0;
    std::ifstream(this->ProcPath("statm")) >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
  }

  /** A full pipe would block the daemon's log. */
  void CopyLog() const
  {
    std::array<char, 4096> buffer{};
    ssize_t size = 0;
    while ((size = read(this->process.LogDescriptor(),
                        buffer.data(),
                        buffer.size())) > 0) {
      if (!this->isStopping) {
        std::fwrite(buffer.data(), 1, static_cast<std::size_t>(size), stderr);
      }
    }
  }

  std::filesystem::path directory;
  BenchProcess process;
  HttpConnection http;
  std::atomic<bool> isStopping{ false };
  std::thread logDrain;
};

void
Print(const Options& aOptions,
      const std::string& aWhat,
      const std::string& aCase,
      double aValue,
      const std::string& aUnit)
{
  if (aOptions.isCsv) {
    fmt::print("{},{},{:.4f},{}\n", aWhat, aCase, aValue, aUnit);
  } else {
    fmt::print("{:<36} {:<30} {:>14.3f} {}\n", aWhat, aCase, aValue, aUnit);
  }
  std::fflush(stdout);
}

/** The rates of the design page times aFactor. */
WorldLoad
RatesAt(double aFactor)
{
  WorldLoad load;
  load.changesPerSecond = 5800 / kSecondsPerDay * aFactor;
  load.restartsPerSecond = 470 / kSecondsPerDay * aFactor;
  load.failuresPerSecond = 7 / kSecondsPerDay * aFactor;
  return load;
}

/** A window of running, and what was counted in it per second. */
struct Window
{
  double cpuPercent = 0;
  double bytesPerSecond = 0;
  double residentBytes = 0;
  double datagramsPerSecond = 0;
  double framesPerSecond = 0;
  double changesPerSecond = 0;
  double recordChangesPerSecond = 0;
};

class FootprintRun
{
public:
  FootprintRun(const Options& aOptions, WorldLoad aLoad, std::string aName)
    : options(aOptions)
    , name(std::move(aName))
    , world(aLoad)
    , daemon("domain-0-host-9999")
  {
  }

  /** False when the daemon does not hold the whole state. */
  bool Settle()
  {
    constexpr Millis kSettleTime = 15000;
    if (!this->world.IsOpen()) {
      fmt::print(stderr, "cannot listen on the peers' addresses\n");
      return false;
    }
    this->world.Run(kSettleTime);
    const std::string state = this->daemon.Get("/v1/state");
    fmt::print(stderr, "{}: {}", this->name, state);
    return state.find(fmt::format("\"version\":{}", this->world.Version())) !=
           std::string::npos;
  }

  Window Measure(const std::string& aCase, const WorldLoad& aRates)
  {
    constexpr double kPercent = 100;
    constexpr double kMillis = 1000;
    this->world.SetRates(aRates);
    const Reading first = this->daemon.Read(this->world);
    this->world.Run(this->options.seconds * static_cast<Millis>(kMillis));
    const Reading last = this->daemon.Read(this->world);
    const double seconds =
      std::chrono::duration<double>(last.at - first.at).count();
    Window window;
    window.cpuPercent =
      (last.cpuSeconds - first.cpuSeconds) / seconds * kPercent;
    window.bytesPerSecond = (last.controlBytes - first.controlBytes) / seconds;
    window.residentBytes = last.residentBytes;
    window.datagramsPerSecond = (last.datagrams - first.datagrams) / seconds;
    window.framesPerSecond = (last.frames - first.frames) / seconds;
    window.changesPerSecond = (last.changes - first.changes) / seconds;
    window.recordChangesPerSecond =
      (last.recordChanges - first.recordChanges) / seconds;
    this->PrintWindow(this->name + ", " + aCase, window);
    return window;
  }

private:
  void PrintWindow(const std::string& aCase, const Window& aWindow) const
  {
    constexpr double kMegabyte = 1 << 20U;
    constexpr double kKilobyte = 1000;
    Print(this->options, "CPU", aCase, aWindow.cpuPercent, "% of a core");
    Print(this->options,
          "resident memory",
          aCase,
          aWindow.residentBytes / kMegabyte,
          "MB");
    Print(this->options,
          "control bytes, both directions",
          aCase,
          aWindow.bytesPerSecond / kKilobyte,
          "KB/s");
    Print(this->options, "datagrams", aCase, aWindow.datagramsPerSecond, "1/s");
    Print(this->options,
          "frames of dialled sessions",
          aCase,
          aWindow.framesPerSecond,
          "1/s");
    Print(this->options,
          "catalogue changes",
          aCase,
          aWindow.changesPerSecond,
          "1/s");
    Print(this->options,
          "record changes, all domains",
          aCase,
          aWindow.recordChangesPerSecond,
          "1/s");
  }

  Options options;
  std::string name;
  FootprintWorld world;
  DaemonUnderTest daemon;
};

/** CPU time that one more event takes, between two windows. */
double
MicrosPerEvent(const Window& aLow, const Window& aHigh, double Window::*aEvents)
{
  constexpr double kMicrosPerPercent = 10000;
  return (aHigh.cpuPercent - aLow.cpuPercent) * kMicrosPerPercent /
         (aHigh.*aEvents - aLow.*aEvents);
}

void
RunTarget(const Options& aOptions, Window& aRest)
{
  WorldLoad load;
  load.members = aOptions.members;
  FootprintRun run(aOptions, load, fmt::format("{} members", load.members));
  if (!run.Settle()) {
    fmt::print(stderr, "the daemon does not hold the catalogue\n");
    return;
  }
  aRest = run.Measure("rest", RatesAt(0));
  run.Measure("daily rates", RatesAt(1));
  run.Measure("10 x daily rates", RatesAt(10));
  run.Measure("100 x daily rates", RatesAt(100));
  WorldLoad changing = RatesAt(0);
  changing.changesPerSecond = 20;
  const Window changed = run.Measure("20 changes/s", changing);
  WorldLoad pinging = RatesAt(0);
  pinging.pingsPerSecond = 200;
  const Window pinged = run.Measure("200 pings/s", pinging);
  Print(aOptions,
        "CPU per catalogue change",
        "slope",
        MicrosPerEvent(aRest, changed, &Window::changesPerSecond),
        "us");
  Print(aOptions,
        "CPU per datagram",
        "slope",
        MicrosPerEvent(aRest, pinged, &Window::datagramsPerSecond),
        "us");
}

/** Memory with one of the sizes changed, against the target's. */
void
RunSlope(const Options& aOptions,
         const Window& aRest,
         const WorldLoad& aLoad,
         const std::string& aWhat,
         double aAdded)
{
  FootprintRun run(
    aOptions,
    aLoad,
    fmt::format("{} members, {} routes", aLoad.members, aLoad.routes));
  if (!run.Settle()) {
    fmt::print(stderr, "the daemon does not hold the catalogue\n");
    return;
  }
  const Window window = run.Measure("rest", RatesAt(0));
  Print(aOptions,
        "memory per " + aWhat,
        "slope",
        (window.residentBytes - aRest.residentBytes) / aAdded,
        "B");
}

} // namespace

int
main(int aCount, char** aArguments)
{
  Log::SetLevel(LogLevel::Error);
  Options options;
  for (int index = 1; index < aCount; ++index) {
    const std::string argument = aArguments[index];
    const bool hasValue = index + 1 < aCount;
    if (argument == "--csv") {
      options.isCsv = true;
    } else if (argument == "--binaries" && hasValue) {
      ProgramDirectory() = aArguments[++index];
    } else if (argument == "--members" && hasValue) {
      options.members = std::atoi(aArguments[++index]);
    } else if (argument == "--seconds" && hasValue) {
      options.seconds = std::atoi(aArguments[++index]);
    } else {
      fmt::print("usage: bench-footprint [--members N] [--seconds N]\n"
                 "         [--binaries DIRECTORY] [--csv]\n");
      return EXIT_FAILURE;
    }
  }
  Window rest;
  RunTarget(options, rest);
  WorldLoad fewer;
  fewer.members = options.members / 3;
  RunSlope(
    options, rest, fewer, "member record", fewer.members - options.members);
  WorldLoad larger;
  larger.members = options.members;
  constexpr int kMoreRoutes = 5000;
  larger.routes += kMoreRoutes;
  RunSlope(options, rest, larger, "catalogue entry", kMoreRoutes);
  return EXIT_SUCCESS;
}
