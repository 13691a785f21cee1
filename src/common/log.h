#pragma once

#include <fmt/format.h>

#include <atomic>
#include <string>
#include <string_view>
#include <utility>

namespace lacewingwharf {

enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error
};

/**
 * Writes log lines of one part of the system to standard error. Each line is
 * "TIME LEVEL PREFIX: message", written in one piece.
 */
class Log
{
public:
  explicit constexpr Log(std::string_view aPrefix)
    : prefix(aPrefix)
  {
  }

  template<typename... Args>
  void Debug(fmt::format_string<Args...> aFormat, Args&&... aArgs) const
  {
    this->Write(LogLevel::Debug, aFormat, std::forward<Args>(aArgs)...);
  }

  template<typename... Args>
  void Info(fmt::format_string<Args...> aFormat, Args&&... aArgs) const
  {
    this->Write(LogLevel::Info, aFormat, std::forward<Args>(aArgs)...);
  }

  template<typename... Args>
  void Warning(fmt::format_string<Args...> aFormat, Args&&... aArgs) const
  {
    this->Write(LogLevel::Warning, aFormat, std::forward<Args>(aArgs)...);
  }

  template<typename... Args>
  void Error(fmt::format_string<Args...> aFormat, Args&&... aArgs) const
  {
    this->Write(LogLevel::Error, aFormat, std::forward<Args>(aArgs)...);
  }

  /** The lowest level that is written, for the whole process. */
  static void SetLevel(LogLevel aLevel);
  static bool ParseLevel(std::string_view aName, LogLevel& aLevel);
  static bool IsEnabled(LogLevel aLevel);

private:
  template<typename... Args>
  void Write(LogLevel aLevel,
             fmt::format_string<Args...> aFormat,
             Args&&... aArgs) const
  {
    if (IsEnabled(aLevel)) {
      this->WriteLine(aLevel,
                      fmt::format(aFormat, std::forward<Args>(aArgs)...));
    }
  }

  void WriteLine(LogLevel aLevel, const std::string& aMessage) const;

  std::string_view prefix;
};

} // namespace lacewingwharf
