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

#include <malloc.h>
#include <unistd.h>

using namespace lacewingwharf;

namespace {

constexpr Log kLog("main");
constexpr int kExitUsage = 2;

constexpr const char* kHelp =
  R"(lacewingwharfd - daemon of lacewingwharf, one on each backend server host

Usage: lacewingwharfd --config FILE [--check]

Options:
  --config FILE  settings file in INI format; default: the file named by the
                 environment variable LACEWINGWHARF_NODE_FILE
  --check        check the settings file and exit
  --help         print this text and exit

Exit codes: 0 stopped normally or settings valid, 1 cannot start, 2 invalid
command line or settings
)";

// Larger blocks go back to the system when they are freed. By default malloc
// raises this limit as blocks are freed, and large bodies and answers then
// leave holes: with the limits on callers, a crowd of all kinds of clients took
// up to 209 MB instead of 118 MB.
constexpr int kMaxHeapBlock = 1 << 20;

// malloc keeps as much free memory, so that bodies of the usual size need no
// system call.
constexpr int kMaxFreeHeap = 2 << 20;

constexpr const char* kSettingsFileVariable = "LACEWINGWHARF_NODE_FILE";

struct Options
{
  std::string config;
  bool isCheckOnly = false;
  bool isHelpRequested = false;
  bool isInvalid = false;
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
        options.isCheckOnly = true;
        break;
      case HelpOption:
        options.isHelpRequested = true;
        break;
      default:
        options.isInvalid = true;
    }
  }
  if (options.config.empty()) {
    const char* const file = std::getenv(kSettingsFileVariable);
    options.config = file == nullptr ? "" : file;
  }
  options.isInvalid = options.isInvalid || optind != aCount ||
                      (options.config.empty() && !options.isHelpRequested);
  return options;
}

// Interval at which the settings file is checked for changes, so that an edit
// takes effect within seconds without a signal.
constexpr timespec kFileCheckInterval{ 2, 0 };

/** Applies the settings that can change while the daemon runs. */
void
ReloadSettings(const std::string& aFile)
{
  const auto settings = ReadSettings(aFile);
  if (!settings) {
    std::ranges::for_each(
      settings.error(), [&aFile](const SettingsError& aError) {
        kLog.Error("cannot reload the settings, the old ones stay in force: {}",
                   DescribeError(aFile, aError));
      });
    return;
  }
  kLog.Decision("reload", "file={} outcome=taken", aFile);
  Log::SetLevel(settings.value().logLevel);
}

/** Reloads the settings on changes; returns on SIGTERM or SIGINT. */
void
WaitForStop(const sigset_t& aSignals, SettingsFile aFile)
{
  while (true) {
    const int received = sigtimedwait(&aSignals, nullptr, &kFileCheckInterval);
    if (received == SIGTERM || received == SIGINT) {
      return;
    }
    if (aFile.DetectChange() || received == SIGHUP) {
      ReloadSettings(aFile.Name());
    }
  }
}

int
RunDaemon(const Settings& aSettings, const std::string& aFile)
{
  // Blocked signals are received by sigtimedwait() in WaitForStop(), so that
  // the shutdown runs on this thread.
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
  // exec() keeps ignored signals ignored. A stop that arrives before
  // RunDaemon() blocks the signal would then be lost and the daemon would run
  // on.
  std::signal(SIGTERM, SIG_DFL);
  const Options options = ParseOptions(argc, argv);
  if (options.isInvalid) {
    fmt::print(stderr, "lacewingwharfd: invalid command line\nTry --help.\n");
    return kExitUsage;
  }
  if (options.isHelpRequested) {
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
  if (options.isCheckOnly) {
    fmt::print("{}: valid\n", options.config);
    return 0;
  }
  mallopt(M_MMAP_THRESHOLD, kMaxHeapBlock);
  mallopt(M_TRIM_THRESHOLD, kMaxFreeHeap);
  Log::SetLevel(settings.value().logLevel);
  return RunDaemon(settings.value(), options.config);
}
