#include "announcer.h"
#include "backendservice.h"

#include "common/log.h"

#include <fmt/format.h>
#include <getopt.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <string>
#include <thread>

namespace {

using namespace lacewingwharf;

constexpr Log kLog("lww-backend");

/** The minimum time for which a draining backend server goes on serving. */
constexpr std::chrono::milliseconds kMinDrainTime(3500);
constexpr std::chrono::milliseconds kIdleCheckInterval(20);
constexpr int kMaxIdleChecks = 3000;

struct Options
{
  StandinServerConfig server;
  BackendConfig backend;
  std::string service = "service";
  std::string admin; // ADDRESS:PORT; if empty, nothing is announced.
};

void
PrintUsage()
{
  fmt::print("usage: lww-backend [--address A] --port P [--service NAME]\n"
             "         [--slots N] [--connections N] [--admin ADDRESS:PORT]\n"
             "         [--service-ms MS] [--cold-start-ms MS]\n");
}

bool
ReadOptions(int aCount, char** aArguments, Options& aOptions)
{
  const option options[] = {
    { "address", required_argument, nullptr, 'a' },
    { "port", required_argument, nullptr, 'p' },
    { "service", required_argument, nullptr, 's' },
    { "slots", required_argument, nullptr, 'l' },
    { "connections", required_argument, nullptr, 'c' },
    { "admin", required_argument, nullptr, 'd' },
    { "service-ms", required_argument, nullptr, 't' },
    { "cold-start-ms", required_argument, nullptr, 'o' },
    { nullptr, 0, nullptr, 0 },
  };
  int choice = 0;
  while ((choice = getopt_long(aCount, aArguments, "", options, nullptr)) !=
         -1) {
    switch (choice) {
      case 'a':
        aOptions.server.address = optarg;
        break;
      case 'p':
        aOptions.server.port = static_cast<std::uint16_t>(std::atoi(optarg));
        break;
      case 's':
        aOptions.service = optarg;
        break;
      case 'l':
        aOptions.backend.slots = std::atoi(optarg);
        break;
      case 'c':
        aOptions.backend.connections = std::atoi(optarg);
        break;
      case 'd':
        aOptions.admin = optarg;
        break;
      case 't':
        aOptions.backend.serviceTime = std::atoi(optarg);
        break;
      case 'o':
        aOptions.backend.coldStart = std::atoi(optarg);
        break;
      default:
        return false;
    }
  }
  aOptions.backend.port = aOptions.server.port;
  return aOptions.server.port != 0;
}

sigset_t
BlockTerminationSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

void
Drain(BackendService& aService)
{
  kLog.Info("draining");
  aService.StartDraining();
  std::this_thread::sleep_for(kMinDrainTime);
  for (int i = 0; i < kMaxIdleChecks && !aService.IsIdle(); ++i) {
    std::this_thread::sleep_for(kIdleCheckInterval);
  }
  // Leaves time to send the last answers.
  std::this_thread::sleep_for(kIdleCheckInterval);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  Options options;
  if (!ReadOptions(aCount, aArguments, options)) {
    PrintUsage();
    return EXIT_FAILURE;
  }
  const sigset_t signals = BlockTerminationSignals();
  StandinServer* timerServer = nullptr;
  Announcer* serviceAnnouncer = nullptr;
  BackendService service(
    options.backend,
    [&timerServer](Millis aDelay, std::function<void()> aTask) {
      timerServer->RunAfter(aDelay, std::move(aTask));
    },
    [&serviceAnnouncer] { serviceAnnouncer->Wake(); });
  Announcer announcer(
    fmt::format("http://{}/v1/endpoints/{}", options.admin, options.service),
    [&service] { return service.Announcement(); });
  StandinServer server(options.server, [&service](const auto& aExchange) {
    service.Handle(aExchange);
  });
  timerServer = &server;
  serviceAnnouncer = &announcer;
  if (options.backend.coldStart == 0) {
    service.SetReady();
  } else {
    server.RunAfter(options.backend.coldStart,
                    [&service] { service.SetReady(); });
  }
  if (!server.Start()) {
    return EXIT_FAILURE;
  }
  if (!options.admin.empty()) {
    announcer.Start();
  }
  kLog.Info("listening on {}:{}", options.server.address, options.server.port);
  int signal = 0;
  sigwait(&signals, &signal);
  Drain(service);
  server.Stop();
  announcer.Stop();
  return EXIT_SUCCESS;
}
