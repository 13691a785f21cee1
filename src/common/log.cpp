#include "common/log.h"

#include "common/names.h"

#include <fmt/chrono.h>

#include <chrono>
#include <cstdio>

namespace lacewingwharf {

namespace {

constexpr auto kLevelNames =
  MakeNameTable<LogLevel>({ { LogLevel::Debug, "debug" },
                            { LogLevel::Info, "info" },
                            { LogLevel::Warning, "warning" },
                            { LogLevel::Error, "error" } });

std::atomic<LogLevel> sLevel{ LogLevel::Info };

} // namespace

void
Log::SetLevel(LogLevel aLevel)
{
  sLevel = aLevel;
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
  return aLevel >= sLevel.load(std::memory_order_relaxed);
}

void
Log::WriteLine(LogLevel aLevel, const std::string& aMessage) const
{
  const auto now = std::chrono::system_clock::now();
  const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(
                        now.time_since_epoch())
                        .count() %
                      1000;
  const std::string line =
    fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z {} {}: {}\n",
                fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
                millis,
                kLevelNames.NameOf(aLevel),
                this->prefix,
                aMessage);
  // One fwrite per line keeps lines of different threads apart.
  std::fwrite(line.data(), 1, line.size(), stderr);
}

} // namespace lacewingwharf
