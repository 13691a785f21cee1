#include "ctl/options.h"

#include <fmt/format.h>
#include <getopt.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <iterator>
#include <string_view>
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
  review FILE...    check a whole catalogue before it is submitted: entry files
                    (NAME.json), directories of them, or one document of a
                    site's platform; with --platform or --against, also
                    print the differences
  status            print version and state of each --daemon
  explain NAME      show which calls of an entry are slow or refused, for which
                    callers, since when, and by whose limit; for a team that a
                    --daemon has, its policy and its calls at each --daemon
  usage TEAM        print the usage of a team's cap and its accountants, as
                    known to each --daemon
  wait [NAME]       wait until every --daemon has the text that entry NAME has
                    in the platform, or has the version given by --version

Options:
  --platform IP:PORT   object API (default: $LACEWINGWHARF_PLATFORM)
  --daemon IP:PORT     admin address of a daemon; may be repeated
  --expect REVISION    write only if the entry still has this revision
  --expect NAME=REVISION
                       the same for one of several entries; may be repeated
  --force              write regardless of the entry's revision
  --change ID          accept all entries of this put together or none of them
  --version N          version for wait
  --against FILE       compare the reviewed catalogue with this one instead of
                       the version in force; may be repeated
  --timeout MS         time limit for wait in milliseconds (default 15000)
  --json               print data as JSON
  --help               print this text

Exit codes: 0 done, 1 platform or daemon failed, 2 usage, 3 conflict with
another write, 4 rejected, 5 timed out, 6 not found, 7 review found warnings
only
)";

enum LongOption
{
  PlatformOption = 256,
  DaemonOption,
  ExpectOption,
  ForceOption,
  ChangeOption,
  VersionOption,
  AgainstOption,
  TimeoutOption,
  JsonOption,
  HelpOption
};

const option kLongOptions[] = {
  { "platform", required_argument, nullptr, PlatformOption },
  { "daemon", required_argument, nullptr, DaemonOption },
  { "expect", required_argument, nullptr, ExpectOption },
  { "force", no_argument, nullptr, ForceOption },
  { "change", required_argument, nullptr, ChangeOption },
  { "version", required_argument, nullptr, VersionOption },
  { "against", required_argument, nullptr, AgainstOption },
  { "timeout", required_argument, nullptr, TimeoutOption },
  { "json", no_argument, nullptr, JsonOption },
  { "help", no_argument, nullptr, HelpOption },
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

bool
IsAddress(const std::string& aText)
{
  constexpr std::int64_t kMaxPort = 65535;
  const auto colon = aText.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    return false;
  }
  const auto port = ParseNumber(aText.substr(colon + 1));
  return port && *port >= 1 && *port <= kMaxPort;
}

/** Stores the value of --expect, which is REVISION or NAME=REVISION. */
bool
ApplyExpect(CtlOptions& aOptions, const std::string& aValue)
{
  const auto equals = aValue.find('=');
  if (equals == std::string::npos) {
    aOptions.expectedRevision = ParseNumber(aValue);
    return aOptions.expectedRevision.has_value();
  }
  const auto revision = ParseNumber(aValue.substr(equals + 1));
  if (equals == 0 || !revision) {
    return false;
  }
  aOptions.expectedByName[aValue.substr(0, equals)] = *revision;
  return true;
}

/** Stores the value of an option; returns false if the value is invalid. */
bool
ApplyOption(CtlOptions& aOptions, int aOption, const char* aValue)
{
  const std::string value = aValue != nullptr ? aValue : "";
  const auto number = ParseNumber(value);
  switch (aOption) {
    case PlatformOption:
      aOptions.platform = value;
      return IsAddress(value);
    case DaemonOption:
      aOptions.daemons.push_back(value);
      return IsAddress(value);
    case ExpectOption:
      return ApplyExpect(aOptions, value);
    case ForceOption:
      aOptions.isForced = true;
      return true;
    case ChangeOption:
      aOptions.changeId = value;
      return !value.empty();
    case VersionOption:
      aOptions.version = number.value_or(0);
      return number.has_value();
    case AgainstOption:
      aOptions.against.push_back(value);
      return !value.empty();
    case TimeoutOption:
      aOptions.timeout = number.value_or(0);
      return number.has_value();
    case JsonOption:
      aOptions.isJson = true;
      return true;
    case HelpOption:
      aOptions.shouldPrintHelp = true;
      return true;
    default:
      return false;
  }
}

/** Describes the valid values of an option, for error messages. */
std::string_view
DescribeAcceptedValue(int aOption)
{
  switch (aOption) {
    case PlatformOption:
    case DaemonOption:
      return "IP:PORT";
    case ExpectOption:
      return "REVISION or NAME=REVISION, with a revision that get or list "
             "shows";
    case TimeoutOption:
      return "a whole number of milliseconds";
    case VersionOption:
      return "a whole number";
    default:
      return "a non-empty text";
  }
}

std::string
DescribeBadOption(int aOption, const char* aValue)
{
  const auto* const found =
    std::ranges::find(kLongOptions, aOption, &option::val);
  if (found == std::end(kLongOptions) || found->name == nullptr) {
    return "unknown option or missing value";
  }
  return fmt::format("--{} '{}': expected {}",
                     found->name,
                     aValue != nullptr ? aValue : "",
                     DescribeAcceptedValue(aOption));
}

/** Returns the entry names in the arguments: NAME FILE pairs or one NAME. */
std::vector<std::string>
EntryNames(const CtlOptions& aOptions)
{
  const bool hasPairs = aOptions.command == CtlCommand::Put ||
                        aOptions.command == CtlCommand::Check;
  std::vector<std::string> names;
  for (std::size_t i = 0; i < aOptions.arguments.size();
       i += hasPairs ? 2 : 1) {
    names.push_back(aOptions.arguments[i]);
  }
  return names;
}

/** Checks --expect and --force; returns an empty text if they are valid. */
std::string
CheckConditions(const CtlOptions& aOptions)
{
  std::vector<std::string> names = EntryNames(aOptions);
  const bool hasExpect =
    aOptions.expectedRevision || !aOptions.expectedByName.empty();
  if (aOptions.isForced && hasExpect) {
    return "--expect and --force exclude each other";
  }
  if (aOptions.expectedRevision && names.size() > 1) {
    return "with several entries, use --expect NAME=REVISION for each that "
           "exists";
  }
  for (const auto& [name, revision] : aOptions.expectedByName) {
    if (std::ranges::find(names, name) == names.end()) {
      return fmt::format("--expect names '{}', which is not written", name);
    }
  }
  std::ranges::sort(names);
  const auto duplicate = std::ranges::adjacent_find(names);
  return duplicate == names.end()
           ? ""
           : fmt::format("'{}' is given twice", *duplicate);
}

std::string
CheckArguments(const CtlOptions& aOptions)
{
  const std::size_t count = aOptions.arguments.size();
  if (!aOptions.against.empty() && aOptions.command != CtlCommand::Review) {
    return "--against is for review only";
  }
  switch (aOptions.command) {
    case CtlCommand::Put:
    case CtlCommand::Check:
      return count > 0 && count % 2 == 0 ? CheckConditions(aOptions)
                                         : "expected NAME FILE pairs";
    case CtlCommand::Delete:
      return count == 1 ? CheckConditions(aOptions) : "expected one NAME";
    case CtlCommand::Get:
    case CtlCommand::Explain:
      return count == 1 ? "" : "expected one NAME";
    case CtlCommand::Wait:
      if (count > 1 || (count == 0 && aOptions.version == 0)) {
        return "expected one NAME or --version";
      }
      return aOptions.daemons.empty() ? "expected at least one --daemon" : "";
    case CtlCommand::Usage:
      return count == 1 && !aOptions.daemons.empty()
               ? ""
               : "expected one TEAM and at least one --daemon";
    case CtlCommand::Status:
      return count == 0 && !aOptions.daemons.empty()
               ? ""
               : "expected at least one --daemon and no arguments";
    case CtlCommand::Review:
      return count > 0 ? "" : "expected at least one FILE";
    case CtlCommand::List:
      return count == 0 ? "" : "expected no arguments";
  }
  return "";
}

bool
NeedsPlatform(const CtlOptions& aOptions)
{
  const bool mayAskDaemons =
    aOptions.command == CtlCommand::Explain && !aOptions.daemons.empty();
  return !mayAskDaemons && aOptions.command != CtlCommand::Check &&
         aOptions.command != CtlCommand::Review &&
         aOptions.command != CtlCommand::Status &&
         aOptions.command != CtlCommand::Usage &&
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
      return failure(UsageError{ DescribeBadOption(found, optarg) });
    }
  }
  if (options.shouldPrintHelp) {
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
  std::string problem = CheckArguments(options);
  if (problem.empty() && NeedsPlatform(options) && options.platform.empty()) {
    problem = "expected --platform IP:PORT or LACEWINGWHARF_PLATFORM";
  }
  if (!problem.empty()) {
    return failure(UsageError{
      fmt::format("{}: {}", kCtlCommandNames.NameOf(*command), problem) });
  }
  return success(std::move(options));
}

std::string
CtlHelp()
{
  return kHelp;
}

} // namespace lacewingwharf
