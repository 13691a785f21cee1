#pragma once

#include <fmt/format.h>

#include <atomic>
#include <cstdint>
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
 * Writes log lines of one part of the system to standard error, or where
 * SetOutput() says. Each line is a list of key=value fields, beginning with
 * time, level and part. Writing never waits: lines beyond a rate, or that the
 * reader of the output has no room for, are left out and counted.
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

  /** A decision: a name of its kind, and its inputs and outcome as fields. */
  template<typename... Args>
  void Decision(std::string_view aEvent,
                fmt::format_string<Args...> aFields,
                Args&&... aArgs) const
  {
    if (IsEnabled(LogLevel::Info)) {
      WriteFields(LogLevel::Info,
                  this->prefix,
                  aEvent,
                  fmt::format(aFields, std::forward<Args>(aArgs)...));
    }
  }

  /** The open descriptor to write to; the daemon uses standard output. */
  static void SetOutput(int aDescriptor);

  /**
   * Lines are then collected and written by Flush(), which is to be called
   * several times a second; warnings and errors are written at once.
   */
  static void SetBuffered(bool aIsBuffered);
  static void Flush();

  /** Lines that were left out since the start of the process. */
  static std::uint64_t LeftOut();

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
      WriteText(aLevel,
                this->prefix,
                fmt::format(aFormat, std::forward<Args>(aArgs)...));
    }
  }

  static void WriteText(LogLevel aLevel,
                        std::string_view aPart,
                        std::string_view aMessage);
  static void WriteFields(LogLevel aLevel,
                          std::string_view aPart,
                          std::string_view aEvent,
                          std::string_view aFields);

  std::string_view prefix;
};

} // namespace lacewingwharf
