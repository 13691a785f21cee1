#include "common/log.h"

#include "common/logwriter.h"
#include "common/names.h"

#include <algorithm>
#include <string>

namespace lacewingwharf {

namespace {

constexpr auto kLevelNames =
  MakeNameTable<LogLevel>({ { LogLevel::Debug, "debug" },
                            { LogLevel::Info, "info" },
                            { LogLevel::Warning, "warning" },
                            { LogLevel::Error, "error" } });

std::atomic<LogLevel> sMinimumLevel{ LogLevel::Info };

/**
 * Replaces control characters by spaces, so that text from peers or callers
 * cannot end a log line early.
 */
std::string
WithoutControlCharacters(std::string_view aText)
{
  std::string text(aText);
  std::ranges::replace_if(
    text, [](unsigned char aCharacter) { return aCharacter < ' '; }, ' ');
  return text;
}

} // namespace

void
Log::SetLevel(LogLevel aLevel)
{
  sMinimumLevel = aLevel;
}

bool
Log::ParseLevel(std::string_view aName, LogLevel& aLevel)
{
  const auto level = kLevelNames.ValueOf(aName);
  if (!level) {
    return false;
  }
  aLevel = *level;
  return true;
}

bool
Log::IsEnabled(LogLevel aLevel)
{
  return aLevel >= sMinimumLevel.load(std::memory_order_relaxed);
}

void
Log::WriteText(LogLevel aLevel,
               std::string_view aPart,
               std::string_view aMessage)
{
  LogWriter::Process().Write(aLevel,
                             fmt::format("level={} part={} msg=\"{}\"",
                                         kLevelNames.NameOf(aLevel),
                                         aPart,
                                         WithoutControlCharacters(aMessage)));
}

void
Log::WriteFields(LogLevel aLevel,
                 std::string_view aPart,
                 std::string_view aEvent,
                 std::string_view aFields)
{
  LogWriter::Process().Write(aLevel,
                             fmt::format("level={} part={} event={} {}",
                                         kLevelNames.NameOf(aLevel),
                                         aPart,
                                         aEvent,
                                         WithoutControlCharacters(aFields)));
}

void
Log::SetOutput(int aDescriptor)
{
  LogWriter::Process().SetDescriptor(aDescriptor);
}

void
Log::SetBuffered(bool aIsBuffered)
{
  LogWriter::Process().SetBuffered(aIsBuffered);
}

void
Log::Flush()
{
  LogWriter::Process().Flush();
}

std::uint64_t
Log::DroppedLines()
{
  return LogWriter::Process().DroppedLines();
}

} // namespace lacewingwharf
