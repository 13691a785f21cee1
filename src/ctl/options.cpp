#include "ctl/options.h"

#include <fmt/format.h>
#include <getopt.h>

#include <charconv>
#include <cstdlib>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr const char* kHelp =
  R"(lacewingwharfctl - edits and inspects the catalogue of lacewingwharf

Usage: lacewingwharfctl [OPTIONS] COMMAND [ARGUMENTS]

Commands:
  put NAME FILE [NAME FILE ...]
                    write entries (JSON; FILE may be '-'). A new entry is only
                    created; to replace one, give --expect or --force.
  get NAME          print an entry and its revision
  list              list the entries with owner, class and revision
  delete NAME       remove an entry (needs --expect or --force)
  check NAME FILE [NAME FILE ...]
                    check entries without writing them
  status            print version and state of each --daemon
  explain NAME      what is slow or refused, for whom, since when, whose limit
  wait [NAME]       wait until every --daemon has the accepted version: that of
                    entry NAME as it stands in the platform, or --version

Options:
  --platform IP:PORT   object API (default: $LACEWINGWHARF_PLATFORM)
  --daemon IP:PORT     admin address of a daemon; may be repeated
  --expect REVISION    write only if the entry still has this revision
  --force              write whatever revision the entry has
  --change ID          accept the entries of this put together or not at all
  --version N          version that wait waits for
  --timeout MS         how long wait waits (default 15000)
  --json               print data as JSON
  --help               print this text

Exit codes: 0 done, 1 platform or daemon failed, 2 usage, 3 conflict with
another edit, 4 rejected, 5 timed out, 6 not found
)";

enum LongOption
{
  kPlatform = 256,
  kDaemon,
  kExpect,
  kForce,
  kChange,
  kVersion,
  kTimeout,
  kJson,
  kHelpOption
};

const option kLongOptions[] = {
  { "platform", required_argument, nullptr, kPlatform },
  { "daemon", required_argument, nullptr, kDaemon },
  { "expect", required_argument, nullptr, kExpect },
  { "force", no_argument, nullptr, kForce },
  { "change", required_argument, nullptr, kChange },
  { "version", required_argument, nullptr, kVersion },
  { "timeout", required_argument, nullptr, kTimeout },
  { "json", no_argument, nullptr, kJson },
  { "help", no_argument, nullptr, kHelpOption },
  { nullptr, 0, nullptr, 0 }
};

std::optional<std::int64_t>
ParseNumber(const std::string& aText)
{
  std::int64_t value = 0;
  const char* const end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end || value < 0) {
    return std::nullopt;
  }
  return value;
}

/** Returns false for a value that the option does not accept. */
bool
ApplyOption(CtlOptions& aOptions, int aOption, const char* aValue)
{
  const std::string value = aValue != nullptr ? aValue : "";
  const auto number = ParseNumber(value);
  switch (aOption) {
    case kPlatform:
      aOptions.platform = value;
      return !value.empty();
    case kDaemon:
      aOptions.daemons.push_back(value);
      return !value.empty();
    case kExpect:
      aOptions.expectedRevision = number;
      return number.has_value();
    case kForce:
      aOptions.isForced = true;
      return true;
    case kChange:
      aOptions.changeId = value;
      return !value.empty();
    case kVersion:
      aOptions.version = number.value_or(0);
      return number.has_value();
    case kTimeout:
      aOptions.timeout = number.value_or(0);
      return number.has_value();
    case kJson:
      aOptions.isJson = true;
      return true;
    case kHelpOption:
      aOptions.wantsHelp = true;
      return true;
    default:
      return false;
  }
}

std::string
CheckArguments(const CtlOptions& aOptions)
{
  const std::size_t count = aOptions.arguments.size();
  switch (aOptions.command) {
    case CtlCommand::Put:
    case CtlCommand::Check:
      return count > 0 && count % 2 == 0 ? "" : "expected NAME FILE pairs";
    case CtlCommand::Get:
    case CtlCommand::Delete:
    case CtlCommand::Explain:
      return count == 1 ? "" : "expected one NAME";
    case CtlCommand::Wait:
      if (count > 1 || (count == 0 && aOptions.version == 0)) {
        return "expected one NAME or --version";
      }
      return aOptions.daemons.empty() ? "expected at least one --daemon" : "";
    case CtlCommand::Status:
      return count == 0 && !aOptions.daemons.empty()
               ? ""
               : "expected at least one --daemon and no arguments";
    case CtlCommand::List:
      return count == 0 ? "" : "expected no arguments";
  }
  return "";
}

bool
NeedsPlatform(const CtlOptions& aOptions)
{
  return aOptions.command != CtlCommand::Check &&
         aOptions.command != CtlCommand::Status &&
         (aOptions.command != CtlCommand::Wait || !aOptions.arguments.empty());
}

} // namespace

Result<CtlOptions, UsageError>
ParseCtlOptions(int aCount, char** aArguments)
{
  CtlOptions options;
  if (const char* const platform = std::getenv("LACEWINGWHARF_PLATFORM")) {
    options.platform = platform;
  }
  optind = 1;
  int found = 0;
  while ((found = getopt_long(aCount, aArguments, "", kLongOptions, nullptr)) !=
         -1) {
    if (!ApplyOption(options, found, optarg)) {
      return failure(UsageError{ "bad option or value" });
    }
  }
  if (options.wantsHelp) {
    return success(std::move(options));
  }
  if (optind >= aCount) {
    return failure(UsageError{ "expected a command" });
  }
  const auto command = kCtlCommandNames.ValueOf(aArguments[optind]);
  if (!command) {
    return failure(
      UsageError{ fmt::format("unknown command '{}'", aArguments[optind]) });
  }
  options.command = *command;
  options.arguments.assign(aArguments + optind + 1, aArguments + aCount);
  std::string fault = CheckArguments(options);
  if (fault.empty() && NeedsPlatform(options) && options.platform.empty()) {
    fault = "expected --platform";
  }
  if (!fault.empty()) {
    return failure(UsageError{
      fmt::format("{}: {}", kCtlCommandNames.NameOf(*command), fault) });
  }
  return success(std::move(options));
}

std::string
CtlHelp()
{
  return kHelp;
}

} // namespace lacewingwharf
