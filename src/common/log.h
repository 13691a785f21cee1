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
 * Writes the log lines of one part of the system to standard error or to the
 * descriptor passed to SetOutput(). Each line is a list of key=value fields
 * that begins with time, level and part. Writing never blocks: lines above a
 * maximum rate, or for which the output has no room, are dropped and counted.
 */
class Log
{
public:
  explicit constexpr Log(std::string_view aPart)
    : part(aPart)
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

  /** Logs a decision as an event with its inputs and its outcome as fields. */
  template<typename... Args>
  void Decision(std::string_view aEvent,
                fmt::format_string<Args...> aFields,
                Args&&... aArgs) const
  {
    if (IsEnabled(LogLevel::Info)) {
      WriteFields(LogLevel::Info,
                  this->part,
                  aEvent,
                  fmt::format(aFields, std::forward<Args>(aArgs)...));
    }
  }

  /** Writes to an open descriptor; the daemon passes standard output. */
  static void SetOutput(int aDescriptor);

  /**
   * When buffered, lines are collected until Flush(), which the caller must run
   * several times a second. Warnings and errors are still written at once.
   */
  static void SetBuffered(bool aIsBuffered);
  static void Flush();

  /** The number of lines dropped since the process started. */
  static std::uint64_t DroppedLines();

  /** Sets the lowest level that the whole process writes. */
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
      WriteText(
        aLevel, this->part, fmt::format(aFormat, std::forward<Args>(aArgs)...));
    }
  }

  static void WriteText(LogLevel aLevel,
                        std::string_view aPart,
                        std::string_view aMessage);
  static void WriteFields(LogLevel aLevel,
                          std::string_view aPart,
                          std::string_view aEvent,
                          std::string_view aFields);

  std::string_view part;
};

} // namespace lacewingwharf
