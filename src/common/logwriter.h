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
 * what does not fit is left out and counted.
 */
class LogWriter
{
public:
  /** Writes to a descriptor that it does not own. */
  LogWriter(int aDescriptor, Clock aSteady, Clock aWall);

  static LogWriter& Process();

  void Write(LogLevel aLevel, std::string_view aFields);
  void SetDescriptor(int aDescriptor);
  void SetBuffered(bool aIsBuffered);
  void Flush();
  std::uint64_t LeftOut();

private:
  bool TakeToken();
  void AppendTime();
  void FlushLocked();

  int descriptor;
  Clock steady;
  Clock wall;
  std::mutex mutex; // Guards what follows.
  bool isBuffered = false;
  std::string buffer;
  std::uint64_t bufferedLines = 0;
  double tokens;
  double refilledAt;
  std::uint64_t leftOut = 0;
  std::uint64_t reportedLeftOut = 0;
  std::int64_t timeSecond = -1;
  std::string timeText; // Of timeSecond.
};

} // namespace lacewingwharf
