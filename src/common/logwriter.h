#pragma once

#include "common/clock.h"
#include "common/log.h"

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace lacewingwharf {

/**
 * The log output of the process. It never waits for the reader of the output:
 * lines that do not fit are dropped and counted.
 */
class LogWriter
{
public:
  /** Writes to aDescriptor, which stays open when the writer is destroyed. */
  LogWriter(int aDescriptor, Clock aSteady, Clock aWall);

  /** The writer that all logs of the process share. */
  static LogWriter& Process();

  void Write(LogLevel aLevel, std::string_view aFields);
  void SetDescriptor(int aDescriptor);
  void SetBuffered(bool aIsBuffered);
  void Flush();
  std::uint64_t DroppedLines();

private:
  bool TakeToken();
  void AppendTime();
  void FlushLocked();

  int descriptor;
  Clock steady;
  Clock wall;
  std::mutex mutex; // Protects the members below and the descriptor.
  bool isBuffered = false;
  std::string buffer;
  std::uint64_t bufferedLines = 0;
  double tokens;
  double refilledAt;
  std::uint64_t droppedLines = 0;
  std::uint64_t reportedDroppedLines = 0;
  std::int64_t timeSecond = -1;
  std::string timeText; // The formatted timeSecond.
};

} // namespace lacewingwharf
