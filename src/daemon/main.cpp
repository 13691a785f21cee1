#include "common/log.h"
#include "daemon/daemon.h"
#include "settings/settingsreader.h"

#include <fmt/format.h>
#include <getopt.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <string>

using namespace lacewingwharf;

namespace {

constexpr int kExitUsage = 2;

constexpr const char* kHelp =
  R"(lacewingwharfd - daemon of lacewingwharf, one per backend server host

Usage: lacewingwharfd --config FILE [--check]

Options:
  --config FILE  settings in INI format
  --check        check the settings and exit
  --help         print this text

Exit codes: 0 stopped or settings valid, 1 cannot start, 2 usage or settings
)";

struct Options
{
  std::string config;
  bool isCheck = false;
  bool wantsHelp = false;
  bool isBad = false;
};

Options
ParseOptions(int aCount, char** aArguments)
{
  enum
  {
    ConfigOption = 256,
    CheckOption,
    HelpOption
  };
  const option longOptions[] = {
    { "config", required_argument, nullptr, ConfigOption },
    { "check", no_argument, nullptr, CheckOption },
    { "help", no_argument, nullptr, HelpOption },
    { nullptr, 0, nullptr, 0 }
  };
  Options options;
  int found = 0;
  while ((found = getopt_long(aCount, aArguments, "", longOptions, nullptr)) !=
         -1) {
    switch (found) {
      case ConfigOption:
        options.config = optarg;
        break;
      case CheckOption:
        options.isCheck = true;
        break;
      case HelpOption:
        options.wantsHelp = true;
        break;
      default:
        options.isBad = true;
    }
  }
  options.isBad = options.isBad || optind != aCount ||
                  (options.config.empty() && !options.wantsHelp);
  return options;
}

int
RunDaemon(const Settings& aSettings)
{
  // Signals are taken by sigwait below, so that the stop runs on this thread.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  Daemon daemon(aSettings);
  if (!daemon.Start()) {
    return 1;
  }
  int received = 0;
  sigwait(&signals, &received);
  daemon.Stop();
  return 0;
}

} // namespace

int
main(int argc, char** argv)
{
  const Options options = ParseOptions(argc, argv);
  if (options.isBad) {
    fmt::print(stderr, "lacewingwharfd: bad command line\nTry --help.\n");
    return kExitUsage;
  }
  if (options.wantsHelp) {
    fmt::print("{}", kHelp);
    return 0;
  }
  const auto settings = ReadSettings(options.config);
  if (!settings) {
    std::ranges::for_each(
      settings.error(), [&options](const SettingsError& aError) {
        fmt::print(stderr, "{}\n", DescribeError(options.config, aError));
      });
    return kExitUsage;
  }
  if (options.isCheck) {
    fmt::print("{}: valid\n", options.config);
    return 0;
  }
  Log::SetLevel(settings.value().logLevel);
  return RunDaemon(settings.value());
}
