#include "linkstate.h"
#include "relay.h"

#include "common/log.h"
#include "httpserver/standinserver.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <getopt.h>

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <list>
#include <optional>
#include <string>
#include <thread>

namespace {

using namespace lacewingwharf;

constexpr Log kLog("lww-link");

struct Options
{
  std::string listen = "127.0.0.1";
  std::vector<std::string> relays; // LISTENPORT:ADDRESS:PORT
  std::uint16_t controlPort = 0;
  Millis delay = 0;
  double bitsPerSecond = 0;
};

void
PrintUsage()
{
  fmt::print("usage: lww-link [--listen A] [--control PORT] [--delay-ms MS]\n"
             "         [--bits-per-s N] --relay LISTENPORT:ADDRESS:PORT ...\n"
             "Signals: SIGUSR1 cuts the link, SIGUSR2 restores it, SIGHUP\n"
             "         silences the open connections.\n");
}

bool
ReadOptions(int aCount, char** aArguments, Options& aOptions)
{
  const option options[] = {
    { "listen", required_argument, nullptr, 'a' },
    { "relay", required_argument, nullptr, 'r' },
    { "control", required_argument, nullptr, 'c' },
    { "delay-ms", required_argument, nullptr, 'd' },
    { "bits-per-s", required_argument, nullptr, 'b' },
    { nullptr, 0, nullptr, 0 },
  };
  int choice = 0;
  while ((choice = getopt_long(aCount, aArguments, "", options, nullptr)) !=
         -1) {
    switch (choice) {
      case 'a':
        aOptions.listen = optarg;
        break;
      case 'r':
        aOptions.relays.emplace_back(optarg);
        break;
      case 'c':
        aOptions.controlPort = static_cast<std::uint16_t>(std::atoi(optarg));
        break;
      case 'd':
        aOptions.delay = std::atoi(optarg);
        break;
      case 'b':
        aOptions.bitsPerSecond = std::atof(optarg);
        break;
      default:
        return false;
    }
  }
  return !aOptions.relays.empty();
}

sockaddr_in
AddressOf(const std::string& aHost, const std::string& aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(aPort)));
  inet_pton(AF_INET, aHost.c_str(), &address.sin_addr);
  return address;
}

bool
AddRelay(std::list<Relay>& aRelays,
         LinkState& aState,
         const std::string& aListen,
         const std::string& aText)
{
  const auto firstColon = aText.find(':');
  const auto lastColon = aText.rfind(':');
  if (firstColon == std::string::npos || firstColon == lastColon) {
    return false;
  }
  aRelays.emplace_back(
    aState,
    AddressOf(aListen, aText.substr(0, firstColon)),
    AddressOf(aText.substr(firstColon + 1, lastColon - firstColon - 1),
              aText.substr(lastColon + 1)));
  return aRelays.back().Open();
}

void
HandleControl(LinkState& aState, StandinExchange& aExchange)
{
  constexpr unsigned int kBadRequest = 400;
  StandinAnswer answer;
  if (aExchange.Request().method == "POST") {
    if (const auto problem = aState.ApplyJson(aExchange.Request().body)) {
      answer.status = kBadRequest;
      answer.body = *problem;
      aExchange.Answer(std::move(answer));
      return;
    }
  }
  answer.body = aState.AsJson();
  aExchange.Answer(std::move(answer));
}

/** Handles signals; returns on a signal that ends the program. */
void
HandleSignals(const sigset_t& aSignals, LinkState& aState)
{
  int signal = 0;
  while (sigwait(&aSignals, &signal) == 0) {
    if (signal == SIGUSR1) {
      aState.SetCut(true);
    } else if (signal == SIGUSR2) {
      aState.SetCut(false);
    } else if (signal == SIGHUP) {
      aState.Silence();
    } else {
      return;
    }
  }
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
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : { SIGTERM, SIGINT, SIGUSR1, SIGUSR2, SIGHUP }) {
    sigaddset(&signals, signal);
  }
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  LinkState state(options.delay, options.bitsPerSecond);
  std::list<Relay> relays;
  for (const std::string& relay : options.relays) {
    if (!AddRelay(relays, state, options.listen, relay)) {
      kLog.Error(
        "cannot open relay {}: malformed, or its port is not available", relay);
      return EXIT_FAILURE;
    }
  }
  StandinServerConfig control{ .address = options.listen,
                               .port = options.controlPort };
  StandinServer server(control, [&state](const auto& aExchange) {
    HandleControl(state, *aExchange);
  });
  if (options.controlPort != 0 && !server.Start()) {
    return EXIT_FAILURE;
  }
  std::atomic<bool> isStopping = false;
  std::list<std::thread> threads;
  for (Relay& relay : relays) {
    threads.emplace_back([&relay, &isStopping] {
      while (!isStopping) {
        relay.PollOnce(1);
      }
    });
  }
  HandleSignals(signals, state);
  isStopping = true;
  for (std::thread& thread : threads) {
    thread.join();
  }
  server.Stop();
  fmt::print("{}\n", state.AsJson());
  return EXIT_SUCCESS;
}
