#include "common/logwriter.h"

#include <fmt/chrono.h>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>
#include <iterator>
#include <utility>

namespace lacewingwharf {

namespace {

// About ten times the lines of a daemon that serves 60 calls per second.
constexpr double kMaxLinesPerSecond = 2000;
constexpr double kMaxLineBurst = 4000;
constexpr double kMillisPerSecond = 1000;

// A pipe accepts a write of up to this size as a whole, or reports that it has
// no room.
constexpr std::size_t kMaxWriteBytes = PIPE_BUF;

bool
IsWritable(int aDescriptor)
{
  pollfd waiting{ aDescriptor, POLLOUT, 0 };
  return poll(&waiting, 1, 0) == 1 && (waiting.revents & POLLOUT) != 0;
}

} // namespace

LogWriter::LogWriter(int aDescriptor, Clock aSteady, Clock aWall)
  : descriptor(aDescriptor)
  , steady(std::move(aSteady))
  , wall(std::move(aWall))
  , tokens(kMaxLineBurst)
  , refilledAt(this->steady.PreciseNow())
{
}

LogWriter&
LogWriter::Process()
{
  static LogWriter sWriter(STDERR_FILENO, Clock::Steady(), Clock::Wall());
  return sWriter;
}

void
LogWriter::Write(LogLevel aLevel, std::string_view aFields)
{
  const std::lock_guard lock(this->mutex);
  if (!this->TakeToken()) {
    ++this->droppedLines;
    return;
  }
  constexpr std::size_t kTimeFieldBytes = 32;
  const std::size_t length =
    std::min(aFields.size(), kMaxWriteBytes - kTimeFieldBytes - 1);
  if (this->buffer.size() + kTimeFieldBytes + length + 1 > kMaxWriteBytes) {
    this->FlushLocked();
  }
  this->AppendTime();
  this->buffer.append(aFields.substr(0, length));
  this->buffer += '\n';
  ++this->bufferedLines;
  if (!this->isBuffered || aLevel >= LogLevel::Warning) {
    this->FlushLocked();
  }
}

bool
LogWriter::TakeToken()
{
  const double now = this->steady.PreciseNow();
  const double refill =
    (now - this->refilledAt) * kMaxLinesPerSecond / kMillisPerSecond;
  this->tokens = std::min(kMaxLineBurst, this->tokens + refill);
  this->refilledAt = now;
  if (this->tokens < 1) {
    return false;
  }
  this->tokens -= 1;
  return true;
}

void
LogWriter::AppendTime()
{
  constexpr std::int64_t kMillisInSecond = 1000;
  const Millis now = this->wall.Now();
  if (now / kMillisInSecond != this->timeSecond) {
    this->timeSecond = now / kMillisInSecond;
    this->timeText =
      fmt::format("{:%Y-%m-%dT%H:%M:%S}",
                  fmt::gmtime(static_cast<std::time_t>(this->timeSecond)));
  }
  fmt::format_to(std::back_inserter(this->buffer),
                 "time={}.{:03}Z ",
                 this->timeText,
                 now % kMillisInSecond);
}

void
LogWriter::SetDescriptor(int aDescriptor)
{
  const std::lock_guard lock(this->mutex);
  this->FlushLocked();
  this->descriptor = aDescriptor;
}

void
LogWriter::SetBuffered(bool aIsBuffered)
{
  const std::lock_guard lock(this->mutex);
  this->isBuffered = aIsBuffered;
  this->FlushLocked();
}

void
LogWriter::Flush()
{
  const std::lock_guard lock(this->mutex);
  if (this->droppedLines != this->reportedDroppedLines) {
    this->reportedDroppedLines = this->droppedLines;
    this->AppendTime();
    fmt::format_to(std::back_inserter(this->buffer),
                   "level=warning part=log event=lines-left-out total={}\n",
                   this->droppedLines);
  }
  this->FlushLocked();
}

void
LogWriter::FlushLocked()
{
  if (this->buffer.empty()) {
    return;
  }
  if (!IsWritable(this->descriptor) ||
      write(this->descriptor, this->buffer.data(), this->buffer.size()) < 0) {
    this->droppedLines += this->bufferedLines;
  }
  this->buffer.clear();
  this->bufferedLines = 0;
}

std::uint64_t
LogWriter::DroppedLines()
{
  const std::lock_guard lock(this->mutex);
  return this->droppedLines;
}

} // namespace lacewingwharf
