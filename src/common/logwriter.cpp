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

// Lines per second; about ten times what a daemon writes at 60 calls a second.
constexpr double kLineRate = 2000;
constexpr double kLineBurst = 4000; // Lines.
constexpr double kMillisPerSecond = 1000;

// A pipe takes this many bytes whole, or reports that it has no room.
constexpr std::size_t kMaxWrite = PIPE_BUF;

bool
HasRoom(int aDescriptor)
{
  pollfd waiting{ aDescriptor, POLLOUT, 0 };
  return poll(&waiting, 1, 0) == 1 && (waiting.revents & POLLOUT) != 0;
}

} // namespace

LogWriter::LogWriter(int aDescriptor, Clock aSteady, Clock aWall)
  : descriptor(aDescriptor)
  , steady(std::move(aSteady))
  , wall(std::move(aWall))
  , tokens(kLineBurst)
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
    ++this->leftOut;
    return;
  }
  constexpr std::size_t kTimeLength = 32;
  const std::size_t length =
    std::min(aFields.size(), kMaxWrite - kTimeLength - 1);
  if (this->buffer.size() + kTimeLength + length + 1 > kMaxWrite) {
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
  const double refill = (now - this->refilledAt) * kLineRate / kMillisPerSecond;
  this->tokens = std::min(kLineBurst, this->tokens + refill);
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
  constexpr std::int64_t kMillis = 1000;
  const Millis now = this->wall.Now();
  if (now / kMillis != this->timeSecond) {
    this->timeSecond = now / kMillis;
    this->timeText =
      fmt::format("{:%Y-%m-%dT%H:%M:%S}",
                  fmt::gmtime(static_cast<std::time_t>(this->timeSecond)));
  }
  fmt::format_to(std::back_inserter(this->buffer),
                 "time={}.{:03}Z ",
                 this->timeText,
                 now % kMillis);
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
  if (this->leftOut != this->reportedLeftOut) {
    this->reportedLeftOut = this->leftOut;
    this->AppendTime();
    fmt::format_to(std::back_inserter(this->buffer),
                   "level=warning part=log event=lines-left-out total={}\n",
                   this->leftOut);
  }
  this->FlushLocked();
}

void
LogWriter::FlushLocked()
{
  if (this->buffer.empty()) {
    return;
  }
  if (!HasRoom(this->descriptor) ||
      write(this->descriptor, this->buffer.data(), this->buffer.size()) < 0) {
    this->leftOut += this->bufferedLines;
  }
  this->buffer.clear();
  this->bufferedLines = 0;
}

std::uint64_t
LogWriter::LeftOut()
{
  const std::lock_guard lock(this->mutex);
  return this->leftOut;
}

} // namespace lacewingwharf
