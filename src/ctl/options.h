#pragma once

#include "common/clock.h"
#include "common/names.h"
#include "common/result.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lacewingwharf {

enum class CtlCommand
{
  Put,
  Get,
  List,
  Delete,
  Check,
  Review,
  Status,
  Explain,
  Usage,
  Wait
};

inline constexpr auto kCtlCommandNames =
  MakeNameTable<CtlCommand>({ { CtlCommand::Put, "put" },
                              { CtlCommand::Get, "get" },
                              { CtlCommand::List, "list" },
                              { CtlCommand::Delete, "delete" },
                              { CtlCommand::Check, "check" },
                              { CtlCommand::Review, "review" },
                              { CtlCommand::Status, "status" },
                              { CtlCommand::Explain, "explain" },
                              { CtlCommand::Usage, "usage" },
                              { CtlCommand::Wait, "wait" } });

/** Exit codes of lacewingwharfctl. */
enum class ExitCode
{
  Ok = 0,
  PlatformFailed = 1,
  Usage = 2,
  Conflict = 3,
  Rejected = 4,
  TimedOut = 5,
  NotFound = 6,
  Warnings = 7
};

/** The options and arguments of the command line. */
struct CtlOptions
{
  CtlCommand command = CtlCommand::List;
  std::vector<std::string> arguments;
  std::string platform;             // IPV4:PORT
  std::vector<std::string> daemons; // IPV4:PORT of admin ports.
  std::vector<std::string> against; // Files for review.
  std::optional<std::int64_t> expectedRevision;
  std::map<std::string, std::int64_t> expectedByName; // --expect NAME=REVISION
  std::string changeId;
  std::int64_t version = 0;
  Millis timeout = 15000;
  bool isForced = false;
  bool isJson = false;
  bool shouldPrintHelp = false;
};

/** Describes why a command line is invalid. */
struct UsageError
{
  std::string message;
};

Result<CtlOptions, UsageError>
ParseCtlOptions(int aCount, char** aArguments);

/** Returns the text for --help. */
std::string
CtlHelp();

} // namespace lacewingwharf
