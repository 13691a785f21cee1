#pragma once

#include "common/names.h"
#include "common/result.h"
#include "settings/settings.h"

#include <string>
#include <string_view>
#include <vector>

namespace lacewingwharf {

enum class SettingsErrorCode
{
  Unreadable,
  Syntax,
  UnknownKey,
  BadValue,
  MissingKey,
  Duplicate
};

inline constexpr auto kSettingsErrorNames = MakeNameTable<SettingsErrorCode>(
  { { SettingsErrorCode::Unreadable, "cannot be read" },
    { SettingsErrorCode::Syntax, "syntax error" },
    { SettingsErrorCode::UnknownKey, "unknown key" },
    { SettingsErrorCode::BadValue, "bad value" },
    { SettingsErrorCode::MissingKey, "missing key" },
    { SettingsErrorCode::Duplicate, "key given twice" } });

/** An error in a settings file; line is 0 if it concerns the whole file. */
struct SettingsError
{
  SettingsErrorCode code = SettingsErrorCode::Unreadable;
  int line = 0;
  std::string detail;
};

/** All errors of a file, so that one run shows everything to correct. */
using SettingsErrors = std::vector<SettingsError>;

Result<Settings, SettingsErrors>
ReadSettings(const std::string& aFile);

Result<Settings, SettingsErrors>
ParseSettings(std::string_view aText);

/** Formats an error, such as "FILE:LINE: unknown key: [peer] prot". */
std::string
DescribeError(const std::string& aFile, const SettingsError& aError);

} // namespace lacewingwharf
