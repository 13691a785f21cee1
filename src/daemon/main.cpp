#include "common/log.h"
#include "daemon/daemon.h"
#include "protocol.h"
#include "settings/settingsfile.h"
#include "settings/settingsreader.h"

#include <fmt/format.h>
#include <getopt.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <string>

#include <unistd.h>

using namespace lacewingwharf;

namespace {

constexpr Log kLog("main");
constexpr int kExitUsage = 2;

constexpr const char* kHelp =
  R"(lacewingwharfd - daemon of lacewingwharf, one per backend server host

Usage: lacewingwharfd --config FILE [--check]

Options:
  --config FILE  settings in INI format; default: the file that the variable
                 LACEWINGWHARF_NODE_FILE names
  --check        check the settings and exit
  --help         print this text

Exit codes: 0 stopped or settings valid, 1 cannot start, 2 usage or settings
)";

constexpr const char* kFileVariable = "LACEWINGWHARF_NODE_FILE";

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
  if (options.config.empty()) {
    const char* const file = std::getenv(kFileVariable);
    options.config = file == nullptr ? "" : file;
  }
  options.isBad = options.isBad || optind != aCount ||
                  (options.config.empty() && !options.wantsHelp);
  return options;
}

// How often the settings file is looked at for a change without a signal; an
// operator who waits for one sees it within seconds.
constexpr timespec kFileCheckInterval{ 2, 0 };

/** Takes over what can change while the daemon runs. */
void
Reload(const std::string& aFile)
{
  const auto settings = ReadSettings(aFile);
  if (!settings) {
    std::ranges::for_each(
      settings.error(), [&aFile](const SettingsError& aError) {
        kLog.Error("settings kept: {}", DescribeError(aFile, aError));
      });
    return;
  }
  kLog.Decision("reload", "file={} outcome=taken", aFile);
  Log::SetLevel(settings.value().logLevel);
}

/** Returns when the daemon is to stop. */
void
WaitForStop(const sigset_t& aSignals, SettingsFile aFile)
{
  while (true) {
    const int received = sigtimedwait(&aSignals, nullptr, &kFileCheckInterval);
    if (received == SIGTERM || received == SIGINT) {
      return;
    }
    if (aFile.TakeChange() || received == SIGHUP) {
      Reload(aFile.Name());
    }
  }
}

int
RunDaemon(const Settings& aSettings, const std::string& aFile)
{
  // Signals are taken by sigwait below, so that the stop runs on this thread.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  Log::SetOutput(STDOUT_FILENO);
  Log::SetBuffered(true);
  const bool isSite = aSettings.site.protocol == ProtocolKind::Platform;
  Daemon daemon(aSettings,
                isSite ? platform::MakeProtocol(aSettings) : DaemonProtocol());
  if (!daemon.Start()) {
    Log::Flush();
    return 1;
  }
  WaitForStop(signals, SettingsFile(aFile));
  daemon.Stop();
  Log::Flush();
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
  return RunDaemon(settings.value(), options.config);
}
