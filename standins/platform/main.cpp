#include "platformservice.h"

#include "common/log.h"

#include <fmt/format.h>
#include <getopt.h>

#include <csignal>
#include <cstdlib>
#include <string>

namespace {

using namespace lacewingwharf;

constexpr Log kLog("lww-platform");

struct Options
{
  StandinServerConfig server;
  Switches switches;
  std::size_t history = 20000;
};

void
PrintUsage()
{
  fmt::print("usage: lww-platform [--address A] --port P [--latency MS]\n"
             "         [--writes-per-s N] [--reads-per-s N] [--history N]\n");
}

bool
ReadOptions(int aCount, char** aArguments, Options& aOptions)
{
  const option options[] = {
    { "address", required_argument, nullptr, 'a' },
    { "port", required_argument, nullptr, 'p' },
    { "latency", required_argument, nullptr, 'l' },
    { "writes-per-s", required_argument, nullptr, 'w' },
    { "reads-per-s", required_argument, nullptr, 'r' },
    { "history", required_argument, nullptr, 'h' },
    { "page-items", required_argument, nullptr, 'i' },
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
      case 'l':
        aOptions.switches.callDelay = std::atoi(optarg);
        break;
      case 'w':
        aOptions.switches.writesPerSecond = std::atof(optarg);
        break;
      case 'r':
        aOptions.switches.readsPerSecond = std::atof(optarg);
        break;
      case 'h':
        aOptions.history = static_cast<std::size_t>(std::atoll(optarg));
        break;
      case 'i':
        aOptions.switches.pageItems =
          static_cast<std::size_t>(std::atoll(optarg));
        break;
      default:
        return false;
    }
  }
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
  PlatformService service(
    options.switches,
    options.history,
    [&timerServer](Millis aDelay, std::function<void()> aTask) {
      timerServer->RunAfter(aDelay, std::move(aTask));
    });
  StandinServer server(options.server, [&service](const auto& aExchange) {
    service.Handle(aExchange);
  });
  timerServer = &server;
  if (!server.Start()) {
    return EXIT_FAILURE;
  }
  kLog.Info("listening on {}:{}", options.server.address, options.server.port);
  int signal = 0;
  sigwait(&signals, &signal);
  server.Stop();
  return EXIT_SUCCESS;
}
