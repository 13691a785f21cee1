// Measures the CPU time, memory and control bytes of one real daemon. This
// process simulates the other members of its failure domain and the relays of
// the other domains, which use the real protocol over loopback sockets. No
// platform runs: a daemon that is neither relay nor acceptor calls it only at
// its start.

#include "convergencehttp.h"
#include "convergenceprocess.h"
#include "footprintsimulation.h"

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

/** Values read from the kernel, the daemon's metrics and the simulation. */
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
      FootprintSimulation::PeersSetting());
    this->process = BenchProcess("lacewingwharfd", { "--config", path });
    this->logDrain = std::thread([this] { this->CopyLog(); });
  }
  ~DaemonUnderTest()
  {
    this->isStopping = true;
    this->process.KillKeepingLog();
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

  Reading Read(const FootprintSimulation& aSimulation)
  {
    const std::string metrics = "\n" + this->Get("/metrics");
    Reading reading;
    reading.controlBytes =
      MetricValue(metrics, "lacewingwharf_control_bytes_sent") +
      MetricValue(metrics, "lacewingwharf_control_bytes_received");
    reading.cpuSeconds = this->CpuSeconds();
    reading.residentBytes = this->ResidentBytes();
    reading.datagrams = static_cast<double>(aSimulation.Datagrams());
    reading.frames = static_cast<double>(aSimulation.Frames());
    reading.changes = aSimulation.Changes();
    reading.recordChanges = aSimulation.RecordChanges();
    reading.at = std::chrono::steady_clock::now();
    return reading;
  }

private:
  static double MetricValue(const std::string& aText, const std::string& aName)
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

  /** CPU time of all threads, in nanosecond resolution. */
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

  /**
   * Copies the log of the daemon to standard error. If nothing read the pipe,
   * it would fill up and block the daemon when it writes its log.
   */
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

/** Daily rates of the design page, multiplied by aFactor. */
SimulationLoad
ScaledDailyRates(double aFactor)
{
  SimulationLoad load;
  load.changesPerSecond = 5800 / kSecondsPerDay * aFactor;
  load.restartsPerSecond = 470 / kSecondsPerDay * aFactor;
  load.failuresPerSecond = 7 / kSecondsPerDay * aFactor;
  return load;
}

/** Averages over one measured period, and the memory at its end. */
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
  FootprintRun(const Options& aOptions, SimulationLoad aLoad, std::string aName)
    : options(aOptions)
    , name(std::move(aName))
    , simulation(aLoad)
    , daemon("domain-0-host-9999")
  {
  }

  /**
   * Runs the simulation while the daemon receives the state; returns false when
   * the daemon does not hold the current catalogue version at the end.
   */
  bool WaitForCatalogue()
  {
    constexpr Millis kSettleTime = 15000;
    if (!this->simulation.IsOpen()) {
      fmt::print(stderr,
                 "cannot listen on the addresses of the simulated peers\n");
      return false;
    }
    this->simulation.Run(kSettleTime);
    const std::string state = this->daemon.Get("/v1/state");
    fmt::print(stderr, "{}: {}", this->name, state);
    return state.find(
             fmt::format("\"version\":{}", this->simulation.Version())) !=
           std::string::npos;
  }

  Window Measure(const std::string& aCase, const SimulationLoad& aRates)
  {
    constexpr double kPercent = 100;
    constexpr double kMillis = 1000;
    this->simulation.SetRates(aRates);
    const Reading first = this->daemon.Read(this->simulation);
    this->simulation.Run(this->options.seconds * static_cast<Millis>(kMillis));
    const Reading last = this->daemon.Read(this->simulation);
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
  FootprintSimulation simulation;
  DaemonUnderTest daemon;
};

/** CPU time per additional event, from the difference of two windows. */
double
MicrosPerEvent(const Window& aLow, const Window& aHigh, double Window::*aEvents)
{
  constexpr double kMicrosPerPercent = 10000;
  return (aHigh.cpuPercent - aLow.cpuPercent) * kMicrosPerPercent /
         (aHigh.*aEvents - aLow.*aEvents);
}

void
MeasureTargetSize(const Options& aOptions, Window& aIdle)
{
  SimulationLoad load;
  load.members = aOptions.members;
  FootprintRun run(aOptions, load, fmt::format("{} members", load.members));
  if (!run.WaitForCatalogue()) {
    fmt::print(stderr, "the daemon does not hold the catalogue\n");
    return;
  }
  aIdle = run.Measure("rest", ScaledDailyRates(0));
  run.Measure("daily rates", ScaledDailyRates(1));
  run.Measure("10 x daily rates", ScaledDailyRates(10));
  run.Measure("100 x daily rates", ScaledDailyRates(100));
  SimulationLoad changing = ScaledDailyRates(0);
  changing.changesPerSecond = 20;
  const Window changed = run.Measure("20 changes/s", changing);
  SimulationLoad pinging = ScaledDailyRates(0);
  pinging.pingsPerSecond = 200;
  const Window pinged = run.Measure("200 pings/s", pinging);
  Print(aOptions,
        "CPU per catalogue change",
        "slope",
        MicrosPerEvent(aIdle, changed, &Window::changesPerSecond),
        "us");
  Print(aOptions,
        "CPU per datagram",
        "slope",
        MicrosPerEvent(aIdle, pinged, &Window::datagramsPerSecond),
        "us");
}

/**
 * Measures the memory per added entry: compares a run with one size changed
 * with the idle window of the target size.
 */
void
MeasureMemorySlope(const Options& aOptions,
                   const Window& aIdle,
                   const SimulationLoad& aLoad,
                   const std::string& aWhat,
                   double aAddedCount)
{
  FootprintRun run(
    aOptions,
    aLoad,
    fmt::format("{} members, {} routes", aLoad.members, aLoad.routes));
  if (!run.WaitForCatalogue()) {
    fmt::print(stderr, "the daemon does not hold the catalogue\n");
    return;
  }
  const Window window = run.Measure("rest", ScaledDailyRates(0));
  Print(aOptions,
        "memory per " + aWhat,
        "slope",
        (window.residentBytes - aIdle.residentBytes) / aAddedCount,
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
  Window idle;
  MeasureTargetSize(options, idle);
  SimulationLoad fewer;
  fewer.members = options.members / 3;
  MeasureMemorySlope(
    options, idle, fewer, "member record", fewer.members - options.members);
  SimulationLoad larger;
  larger.members = options.members;
  constexpr int kAddedRoutes = 5000;
  larger.routes += kAddedRoutes;
  MeasureMemorySlope(options, idle, larger, "catalogue entry", kAddedRoutes);
  return EXIT_SUCCESS;
}
