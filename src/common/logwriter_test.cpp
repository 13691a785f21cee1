#include "common/logwriter.h"

#include <criterion/criterion.h>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <string>

using namespace lacewingwharf;

namespace {

/** A pipe with a non-blocking read end. */
struct Pipe
{
  Pipe()
  {
    cr_assert_eq(pipe(this->ends.data()), 0);
    fcntl(this->ends[0], F_SETFL, O_NONBLOCK);
  }

  std::string Read() const
  {
    std::string text;
    std::array<char, 4096> buffer{};
    ssize_t count = 0;
    while ((count = read(this->ends[0], buffer.data(), buffer.size())) > 0) {
      text.append(buffer.data(), static_cast<std::size_t>(count));
    }
    return text;
  }

  std::array<int, 2> ends{};
};

} // namespace

// A daemon must not block on its log when the pipe is full because its reader
// is slow or does not read.
Test(logwriter, drops_lines_when_the_reader_is_slow)
{
  constexpr int kLines = 2000; // More than a pipe holds.
  const Pipe pipe;
  ManualClock clock(1000);
  LogWriter writer(pipe.ends[1], clock.View(), clock.View());
  const std::string fields = "part=test text=" + std::string(100, 'x');
  for (int line = 0; line < kLines; ++line) {
    writer.Write(LogLevel::Info, fields);
  }
  cr_expect_gt(writer.DroppedLines(), 0U);
  pipe.Read();
  writer.Flush();
  cr_expect(pipe.Read().find("event=lines-left-out total=") !=
            std::string::npos);
}

// Without a maximum rate, the log grows without bound under load.
Test(logwriter, bounds_the_lines_per_second)
{
  constexpr int kLines = 10000;
  const int sink = open("/dev/null", O_WRONLY);
  ManualClock clock(1000);
  LogWriter writer(sink, clock.View(), clock.View());
  for (int line = 0; line < kLines; ++line) {
    writer.Write(LogLevel::Info, "part=test");
  }
  const auto droppedLines = writer.DroppedLines();
  cr_expect_gt(droppedLines, 0U);
  clock.Advance(1000);
  writer.Write(LogLevel::Info, "part=test");
  cr_expect_eq(writer.DroppedLines(), droppedLines);
  close(sink);
}

// Flush() writes the buffered lines, and a warning is written without it.
Test(logwriter, flushes_buffered_lines)
{
  const Pipe pipe;
  ManualClock clock(1000);
  LogWriter writer(pipe.ends[1], clock.View(), clock.View());
  writer.SetBuffered(true);
  writer.Write(LogLevel::Info, "event=one");
  cr_expect(pipe.Read().empty());
  writer.Flush();
  cr_expect_eq(pipe.Read(), "time=1970-01-01T00:00:01.000Z event=one\n");
  writer.Write(LogLevel::Warning, "event=two");
  cr_expect(pipe.Read().find("event=two") != std::string::npos);
}
