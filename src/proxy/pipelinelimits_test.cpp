#include "proxy/pipelineharness.h"

#include <fmt/format.h>

#include <algorithm>

using namespace lacewingwharf;
using namespace lacewingwharf::pipelineharness;
using loopback::Eventually;
using loopback::Socket;

namespace {

// More than the kernel buffers of a loopback connection.
constexpr std::size_t kBlockingBytes = 32U << 20U;

std::string
Put(const std::string& aPath, const std::string& aHeader, std::size_t aBytes)
{
  return fmt::format("PUT {} HTTP/1.1\r\nHost: x\r\n{}Content-Length: {}"
                     "\r\n\r\n",
                     aPath,
                     aHeader,
                     aBytes);
}

HttpAnswer
AnswerOf(std::size_t aBytes)
{
  return { 200, {}, std::string(aBytes, 'a') };
}

Millis
Now()
{
  return Clock::Steady().Now();
}

/** Waits for the answers to the requests /1 to /aCount. */
std::string
ReceiveAnswers(Socket& aSocket, int aCount)
{
  return aSocket.ReceiveUntil(fmt::format("[/{}]", aCount));
}

} // namespace

// Work for a caller that has left is wasted. All its requests must end at once,
// also while an answer to it is blocked. A close with unread bytes resets the
// connection, a shutdown does not.
Test(pipelinelimits, a_disconnect_ends_all_requests)
{
  constexpr Millis kMostTime = 500;
  enum class Leaving
  {
    Close,
    CloseWhileBlocked,
    ShutdownWhileBlocked
  };
  for (const Leaving leaving : { Leaving::Close,
                                 Leaving::CloseWhileBlocked,
                                 Leaving::ShutdownWhileBlocked }) {
    PipelineFixture fixture;
    const std::string path = fmt::format("/{}-", static_cast<int>(leaving));
    Socket socket =
      fixture.Send(Get(path + "1") + Get(path + "2") + Get(path + "3") +
                   Get(path + "4") + Post(path + "5"));
    fixture.ExpectRequests(4);
    fixture.Answer(path + "3");
    std::size_t expected = fixture.Disconnects() + 3;
    if (leaving != Leaving::Close) {
      fixture.Answer(path + "1", AnswerOf(kBlockingBytes));
      std::this_thread::sleep_for(std::chrono::milliseconds(200));
      --expected;
    }
    const Millis left = Now();
    if (leaving == Leaving::ShutdownWhileBlocked) {
      socket.Shutdown();
    } else {
      socket.Close();
    }
    cr_expect(Eventually([&] { return fixture.Disconnects() >= expected; }));
    cr_expect_lt(Now() - left, kMostTime);
    cr_expect(Eventually([&] { return fixture.server->InFlight() == 0; }));
    cr_expect_eq(fixture.Disconnects(), expected);
    fixture.ExpectRequests(4);
    cr_expect_eq(fixture.server->AnswersLost(), 0U);
    cr_expect_eq(fixture.server->Pipelining().heldBytes, 0U);
  }
}

// The limit on requests must hold, and reading must go on below it.
Test(pipelinelimits, no_more_requests_than_the_limit_are_read_ahead)
{
  PipelineLimits limits;
  limits.requests = 2;
  PipelineFixture fixture(limits);
  std::string bytes;
  for (int i = 1; i <= 10; ++i) {
    bytes += Get(fmt::format("/{}", i));
  }
  Socket socket = fixture.Send(bytes);
  fixture.ExpectRequests(3);
  for (int i = 1; i <= 10; ++i) {
    cr_assert(Eventually([&fixture, i] {
      return fixture.Requests() == std::min<std::size_t>(10, 2U + i);
    }));
    fixture.Answer(fmt::format("/{}", i));
  }
  cr_expect_eq(Count(ReceiveAnswers(socket, 10), "HTTP/1.1 200"), 10U);
}

// A caller that sends without end and reads nothing must not use up the memory
// of the host. Answers cannot be refused, so the sizes of earlier ones, also of
// other connections, have to limit how many requests are read.
Test(pipelinelimits, a_caller_that_never_reads_is_bounded)
{
  constexpr std::size_t kAnswerBytes = 20000;
  constexpr std::size_t kReadBytes = 65536; // Of one read.
  PipelineLimits limits;
  limits.connectionBytes = 200000;
  PipelineFixture fixture(limits);
  Socket earlier = fixture.Send(Get("/earlier"));
  fixture.ExpectRequests(1);
  fixture.Answer("/earlier", AnswerOf(kAnswerBytes));
  cr_assert(Eventually([&] { return fixture.server->InFlight() == 0; }));
  Socket socket = fixture.Send("");
  std::thread sender([&socket] {
    std::string bytes;
    for (int i = 0; i < 1000; ++i) {
      bytes += Get(fmt::format("/{}", i));
    }
    while (socket.Send(bytes)) {
    }
  });
  std::size_t answered = 1;
  std::size_t mostHeld = 0;
  Millis lastProgress = Now();
  while (Now() - lastProgress < 1000) {
    std::vector<RequestId> open;
    {
      const std::lock_guard lock(fixture.mutex);
      std::ranges::for_each(fixture.ids, [&](const auto& aPair) {
        if (aPair.second > answered) {
          open.push_back(aPair.second);
        }
      });
    }
    for (const RequestId id : open) {
      fixture.server->Answer(id, AnswerOf(kAnswerBytes));
      answered = std::max<std::size_t>(answered, id);
      lastProgress = Now();
    }
    mostHeld = std::max(mostHeld, fixture.server->Pipelining().heldBytes);
  }
  cr_expect_gt(answered, 32U);
  cr_expect_leq(mostHeld, limits.connectionBytes + kReadBytes + kAnswerBytes);
  socket.Shutdown();
  sender.join();
}

// When other connections have used up the common limit, each connection must
// still be served one request at a time.
Test(pipelinelimits, one_request_per_connection_always_runs)
{
  PipelineLimits limits;
  limits.totalBytes = 2000; // Less than one outstanding answer needs.
  PipelineFixture fixture(limits);
  Socket first = fixture.Send(Get("/a") + Get("/b"));
  fixture.ExpectRequests(2);
  Socket second = fixture.Send(Get("/c") + Get("/d"));
  fixture.ExpectRequests(3);
  fixture.Answer("/c");
  fixture.ExpectRequests(4);
  fixture.Answer("/d");
  cr_expect_eq(Count(second.ReceiveUntil("[/d]"), "HTTP/1.1 200"), 2U);
  fixture.Answer("/a");
  fixture.Answer("/b");
  cr_expect_eq(Count(first.ReceiveUntil("[/b]"), "HTTP/1.1 200"), 2U);
}

// A body above the limit of its connection must wait for the answers before it,
// and then run whole.
Test(pipelinelimits, a_large_body_behind_a_request_is_read_later)
{
  constexpr std::size_t kBodyBytes = 3000000;
  PipelineLimits limits;
  limits.connectionBytes = 100000;
  PipelineFixture fixture(limits);
  Socket socket = fixture.Send(Get("/1") + Put("/2", "", kBodyBytes));
  std::thread sender([&socket] {
    cr_expect(socket.Send(std::string(kBodyBytes, 'b') + Get("/3")));
  });
  fixture.ExpectRequests(1);
  cr_expect_lt(fixture.server->Pipelining().heldBytes, 200000U);
  fixture.Answer("/1");
  fixture.ExpectRequests(3);
  fixture.Answer("/2");
  fixture.Answer("/3");
  cr_expect_eq(Count(ReceiveAnswers(socket, 3), "HTTP/1.1 200"), 3U);
  sender.join();
}

// The first part of a request must not delay the answers before it, and its
// rest must not be lost.
Test(pipelinelimits, a_partial_request_waits_for_its_rest)
{
  PipelineFixture fixture;
  const std::string last = Get("/3");
  for (std::size_t cut = 1; cut < last.size(); cut += 7) {
    const std::size_t before = fixture.Requests();
    Socket socket = fixture.Send(Get("/1") + Get("/2") + last.substr(0, cut));
    fixture.ExpectRequests(before + 2);
    fixture.Answer("/2");
    fixture.Answer("/1");
    cr_assert_eq(Count(ReceiveAnswers(socket, 2), "HTTP/1.1 200"), 2U);
    cr_assert(socket.Send(last.substr(cut)));
    fixture.ExpectRequests(before + 3);
    fixture.Answer("/3");
    cr_assert_eq(Count(ReceiveAnswers(socket, 3), "HTTP/1.1 200"), 1U);
    const std::lock_guard lock(fixture.mutex);
    fixture.ids.clear();
  }
}

// An interim answer is taken for one to the oldest request that is outstanding.
Test(pipelinelimits, a_body_is_asked_for_after_the_answers_before_it)
{
  PipelineFixture fixture;
  Socket socket =
    fixture.Send(Get("/1") + Put("/2", "Expect: 100-continue\r\n", 4));
  fixture.ExpectRequests(1);
  fixture.Answer("/1");
  const std::string received = socket.ReceiveUntil("100 Continue\r\n\r\n");
  cr_expect_lt(received.find("[/1]"), received.find("100 Continue"));
  cr_assert(socket.Send("data"));
  fixture.ExpectRequests(2);
  fixture.Answer("/2");
  cr_expect(ReceiveAnswers(socket, 2).starts_with("HTTP/1.1 200"));
}

// A caller is idle only when it waits for no answer.
Test(pipelinelimits, a_connection_with_requests_is_not_idle)
{
  ConnectionLimits limits;
  limits.idleTimeout = 100;
  PipelineFixture fixture({}, limits);
  Socket socket = fixture.Send(Get("/1") + Get("/2"));
  fixture.ExpectRequests(2);
  fixture.Answer("/2");
  std::this_thread::sleep_for(std::chrono::milliseconds(4500));
  cr_assert(socket.Send(Get("/3")));
  fixture.ExpectRequests(3);
  fixture.Answer("/3");
  fixture.Answer("/1");
  cr_expect_eq(Count(socket.ReceiveAll(), "HTTP/1.1 200"), 3U);
  cr_expect_eq(fixture.server->AnswersLost(), 0U);
}

// A head or body that never ends must not hold its connection, nor cost the
// answers before it.
Test(pipelinelimits, a_request_that_never_ends_loses_no_answer)
{
  ConnectionLimits limits;
  limits.headTimeout = 100;
  limits.stallTimeout = 100;
  PipelineFixture fixture({}, limits);
  Socket head = fixture.Send(Get("/1") + Get("/2") + "GET /x HTTP/1.1\r\n");
  Socket body = fixture.Send(Get("/3") + Get("/4") + Put("/y", "", 100));
  fixture.ExpectRequests(4);
  std::this_thread::sleep_for(std::chrono::milliseconds(5000));
  for (const char* const path : { "/4", "/3", "/2", "/1" }) {
    fixture.Answer(path);
  }
  const std::string refused = head.ReceiveAll();
  cr_expect_eq(Count(refused, "HTTP/1.1 200"), 2U);
  cr_expect_lt(refused.find("[/2]"), refused.find("HTTP/1.1 408"));
  cr_expect_eq(Count(refused, "Connection: close"), 1U);
  const std::string ended = body.ReceiveAll();
  cr_expect_eq(Count(ended, "HTTP/1.1 200"), 2U);
  cr_expect_gt(ended.find("Connection: close"), ended.find("[/3]"));
  cr_expect(ended.ends_with("[/4]"));
  cr_expect_eq(fixture.server->AnswersLost(), 0U);
}

// The time of a head must not be that of all heads that follow one another, or
// a caller that always has one under way is refused.
Test(pipelinelimits, each_head_has_its_own_time)
{
  constexpr int kRequests = 18;
  ConnectionLimits limits;
  limits.headTimeout = 100;
  PipelineFixture fixture({}, limits);
  Socket socket = fixture.Send("");
  std::string rest;
  for (int i = 1; i <= kRequests; ++i) {
    const std::string head = Get(fmt::format("/{}", i));
    cr_assert(socket.Send(rest + head.substr(0, 10)));
    rest = head.substr(10);
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
  }
  cr_assert(socket.Send(rest));
  fixture.ExpectRequests(kRequests);
  for (int i = kRequests; i > 0; --i) {
    fixture.Answer(fmt::format("/{}", i));
  }
  cr_expect_eq(Count(ReceiveAnswers(socket, kRequests), "HTTP/1.1 200"),
               static_cast<std::size_t>(kRequests));
}

// A caller that reads no answer must lose its connection, and the requests that
// still run for it must end.
Test(pipelinelimits, a_caller_that_stops_reading_loses_its_requests)
{
  ConnectionLimits limits;
  limits.stallTimeout = 100;
  PipelineFixture fixture({}, limits);
  Socket socket = fixture.Send(Get("/1") + Get("/2") + Get("/3"));
  fixture.ExpectRequests(3);
  fixture.Answer("/2");
  fixture.Answer("/1", AnswerOf(kBlockingBytes));
  cr_expect(Eventually([&] { return fixture.server->InFlight() == 0; }));
  cr_expect_eq(fixture.server->AnswersLost(), 3U);
  cr_expect_eq(fixture.Disconnects(), 1U);
}
