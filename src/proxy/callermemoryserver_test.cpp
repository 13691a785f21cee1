#include "proxy/pipelineharness.h"

#include <fmt/format.h>

// HttpServer with limits on what callers may make it hold, with real sockets.

using namespace lacewingwharf;
using namespace lacewingwharf::pipelineharness;
using loopback::Eventually;
using loopback::Socket;

namespace {

constexpr std::size_t kMegabyte = 1U << 20U;

HttpServerConfig
WithMemory(const CallerMemoryLimits& aMemory, std::size_t aMaxConnections = 100)
{
  HttpServerConfig config;
  config.memory = aMemory;
  config.maxConnections = aMaxConnections;
  config.makesRoom = true;
  config.limits.request.bodyBytes = 8 * kMegabyte;
  return config;
}

CallerMemoryLimits
Total(std::size_t aBytes)
{
  CallerMemoryLimits limits;
  limits.totalBytes = aBytes;
  return limits;
}

std::string
PutHead(std::size_t aBytes)
{
  return fmt::format(
    "PUT /large HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n", aBytes);
}

std::size_t
CountOf(const std::array<std::uint64_t, kCallerLimitCount>& aCounts,
        CallerLimit aLimit)
{
  return aCounts[static_cast<std::size_t>(aLimit)];
}

} // namespace

// A stalled body must get a refusal that guarantees that it did not run, and
// small requests must be served meanwhile.
Test(callermemoryserver, a_stalled_body_is_refused_when_memory_is_short)
{
  PipelineFixture fixture(WithMemory(Total(8 * kMegabyte)));
  const std::string body(3 * kMegabyte / 2, 'x');
  Socket stalled = fixture.Send(PutHead(body.size() + 1) + body);
  cr_assert(Eventually(
    [&] { return fixture.server->Memory().held.reading >= body.size(); }));
  Socket second = fixture.Send(PutHead(body.size() + 1) + body);
  cr_assert(Eventually(
    [&] { return fixture.server->Memory().held.reading >= body.size(); }));
  Socket third = fixture.Send(PutHead(body.size() + 1) + body);
  const std::string answer = stalled.ReceiveUntil("\r\n\r\n");
  cr_expect(answer.starts_with("HTTP/1.1 503 "), "%s", answer.c_str());
  cr_expect(answer.find("Retry-After: ") != std::string::npos);
  cr_expect_geq(
    CountOf(fixture.server->Memory().refused, CallerLimit::RequestBytes), 1U);
  Socket small = fixture.Send(Post("/small"));
  fixture.ExpectRequests(1);
  fixture.Answer("/small");
  cr_expect(!small.ReceiveUntil("[/small]").empty());
}

// A body that could never be passed on must not be sent again.
Test(callermemoryserver, a_single_body_above_the_limits_is_too_large)
{
  PipelineFixture fixture(WithMemory(Total(4 * kMegabyte)));
  Socket socket = fixture.Send(PutHead(2 * kMegabyte));
  const std::string answer = socket.ReceiveUntil("\r\n\r\n");
  cr_expect(answer.starts_with("HTTP/1.1 413 "), "%s", answer.c_str());
}

// The largest body that fits must be served when there is no other load.
Test(callermemoryserver, the_largest_body_that_fits_is_served)
{
  constexpr std::size_t kBytes = 8 * kMegabyte;
  PipelineFixture fixture(WithMemory(Total(64 * kMegabyte)));
  Socket socket = fixture.Send(PutHead(kBytes) + std::string(kBytes, 'x'));
  fixture.ExpectRequests(1);
  cr_expect_geq(fixture.server->Memory().held.requests, 2 * kBytes);
  cr_expect_leq(fixture.server->Memory().held.requests,
                2 * (kBytes + kMegabyte));
  fixture.Answer("/large");
  cr_expect(!socket.ReceiveUntil("[/large]").empty());
  cr_expect(
    Eventually([&] { return fixture.server->Memory().held.Sum() == 0; }));
}

// Answers that are not read must not take the memory for those that are.
Test(callermemoryserver, answers_that_are_not_read_end_their_connections)
{
  constexpr std::size_t kAnswer = 10 * kMegabyte;
  PipelineFixture fixture(WithMemory(Total(24 * kMegabyte)));
  std::vector<Socket> sockets;
  for (int i = 1; i <= 8; ++i) {
    const std::string path = fmt::format("/{}", i);
    sockets.push_back(fixture.Send(Get(path)));
    fixture.ExpectRequests(static_cast<std::size_t>(i));
    fixture.Answer(path, { 200, {}, std::string(kAnswer, 'a') });
  }
  cr_expect(Eventually([&] {
    const auto counts = fixture.server->Memory();
    return CountOf(counts.closed, CallerLimit::TotalBytes) >= 6 &&
           counts.held.Sum() <= 24 * kMegabyte;
  }));
  Socket ordinary = fixture.Send(Get("/ordinary"));
  fixture.ExpectRequests(9);
  fixture.Answer("/ordinary");
  cr_expect(!ordinary.ReceiveUntil("[/ordinary]").empty());
}

// Callers that hold all connections without a request must not keep others
// away.
Test(callermemoryserver, silent_connections_make_room)
{
  constexpr std::size_t kConnections = 4;
  PipelineFixture fixture(WithMemory({}, kConnections));
  std::vector<Socket> silent;
  silent.reserve(kConnections);
  for (std::size_t i = 0; i < kConnections; ++i) {
    silent.push_back(fixture.Send(i % 2 == 0 ? "" : "GET / HT"));
  }
  Socket ordinary = fixture.Send(Get("/ordinary"));
  fixture.ExpectRequests(1);
  fixture.Answer("/ordinary");
  cr_expect(!ordinary.ReceiveUntil("[/ordinary]").empty());
  cr_expect_eq(
    CountOf(fixture.server->Memory().closed, CallerLimit::Connections), 1U);
}

// Connections whose requests run must not be closed for others.
Test(callermemoryserver, connections_with_requests_stay)
{
  PipelineFixture fixture(WithMemory({}, 2));
  Socket first = fixture.Send(Get("/1"));
  Socket second = fixture.Send(Get("/2"));
  fixture.ExpectRequests(2);
  Socket third = fixture.Send(Get("/3"));
  std::this_thread::sleep_for(std::chrono::milliseconds(3000));
  fixture.ExpectRequests(2);
  fixture.Answer("/1");
  cr_expect(!first.ReceiveUntil("[/1]").empty());
  fixture.ExpectRequests(3);
  fixture.Answer("/2");
  cr_expect(!second.ReceiveUntil("[/2]").empty());
}

// One address must not open all connections.
Test(callermemoryserver, an_address_has_a_limited_number_of_connections)
{
  CallerMemoryLimits limits;
  limits.addressConnections = 1;
  PipelineFixture fixture(WithMemory(limits));
  Socket first = fixture.Send(Get("/1"));
  fixture.ExpectRequests(1);
  Socket second = fixture.Send(Get("/2"));
  cr_expect(Eventually([&] {
    return CountOf(fixture.server->Memory().closed,
                   CallerLimit::AddressConnections) == 1;
  }));
  fixture.ExpectRequests(1);
  fixture.Answer("/1");
  cr_expect(!first.ReceiveUntil("[/1]").empty());
}

// A request that is being read must not take the answers of the requests ahead
// of it with it when it is refused.
Test(callermemoryserver, a_refused_body_leaves_the_requests_ahead_of_it)
{
  constexpr std::size_t kPart = 600UL * 1024;
  PipelineFixture fixture(WithMemory(Total(4 * kMegabyte)));
  Socket socket = fixture.Send(Get("/1") + Get("/2"));
  fixture.ExpectRequests(2);
  fixture.Answer("/2");
  cr_assert(
    Eventually([&] { return fixture.server->Memory().held.answers > 0; }));
  cr_assert(socket.Send(PutHead(kPart + 1) + std::string(kPart, 'x')));
  cr_assert(
    Eventually([&] { return fixture.server->Memory().held.reading >= kPart; }));
  std::vector<Socket> others;
  for (int i = 0; i < 4; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    others.push_back(
      fixture.Send(PutHead(kPart + 1) + std::string(kPart, 'x')));
  }
  cr_assert(Eventually([&] {
    const auto counts = fixture.server->Memory();
    return CountOf(counts.refused, CallerLimit::RequestBytes) +
             CountOf(counts.closed, CallerLimit::RequestBytes) >=
           2;
  }));
  cr_expect_eq(fixture.Disconnects(), 0U);
  fixture.Answer("/1");
  const std::string answers = socket.ReceiveUntil("Retry-After: ");
  cr_expect(answers.find("[/1]") < answers.find("[/2]"));
  cr_expect(answers.find("[/2]") < answers.find("HTTP/1.1 503 "));
  cr_expect(answers.find("HTTP/1.1 503 ") != std::string::npos);
  cr_expect_eq(
    CountOf(fixture.server->Memory().closed, CallerLimit::RequestBytes), 0U);
}

// Bytes behind the last request of a connection, which are never parsed, must
// not take the answer of that request with them.
Test(callermemoryserver, bytes_behind_the_last_request_leave_its_answer)
{
  CallerMemoryLimits limits;
  limits.connectionBytes = 16384;
  PipelineFixture fixture(WithMemory(limits));
  Socket socket =
    fixture.Send("GET /1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" +
                 std::string(40000, 'x'));
  fixture.ExpectRequests(1);
  cr_expect_eq(fixture.Disconnects(), 0U);
  cr_expect_eq(fixture.server->Memory().held.reading, 0U);
  fixture.Answer("/1");
  cr_expect(!socket.ReceiveUntil("[/1]").empty());
}

// Where the requests that run are above the limit of their connection, the next
// one must be refused behind their answers. Its refusal, an answer, must not
// end them either.
Test(callermemoryserver, requests_above_the_limit_of_a_connection_are_answered)
{
  constexpr std::size_t kBody = 131000;
  CallerMemoryLimits limits;
  limits.connectionBytes = 262144;
  PipelineFixture fixture(WithMemory(limits));
  Socket socket =
    fixture.Send(PutHead(kBody) + std::string(kBody, 'x') + Get("/2"));
  fixture.ExpectRequests(2);
  cr_assert_gt(fixture.server->Memory().held.Sum(), limits.connectionBytes);
  cr_assert(socket.Send("GET /3 HT"));
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  cr_expect_eq(fixture.Disconnects(), 0U);
  fixture.Answer("/large");
  fixture.Answer("/2");
  const std::string answers = socket.ReceiveUntil("HTTP/1.1 503 ");
  cr_expect(answers.find("[/large]") < answers.find("[/2]"));
  cr_expect(answers.find("[/2]") < answers.find("HTTP/1.1 503 "));
  cr_expect(answers.find("HTTP/1.1 503 ") != std::string::npos);
}

// Answers that wait for an earlier request must not take that request and all
// others with them. The last ones are replaced by a status that says that their
// requests may have run.
Test(callermemoryserver, waiting_answers_above_a_limit_leave_earlier_requests)
{
  CallerMemoryLimits limits;
  limits.connectionBytes = 4 * kMegabyte;
  PipelineFixture fixture(WithMemory(limits));
  Socket socket = fixture.Send(Get("/1") + Get("/2") + Get("/3") + Get("/4"));
  fixture.ExpectRequests(4);
  fixture.Answer("/2", { 200, {}, std::string(2 * kMegabyte, 'b') });
  fixture.Answer("/3", { 200, {}, std::string(3 * kMegabyte, 'c') });
  cr_assert(Eventually([&] {
    const auto counts = fixture.server->Memory();
    return CountOf(counts.dropped, CallerLimit::ConnectionBytes) +
             CountOf(counts.closed, CallerLimit::ConnectionBytes) >=
           1;
  }));
  cr_expect_eq(fixture.Disconnects(), 0U);
  cr_expect_leq(fixture.server->Memory().held.Sum(), limits.connectionBytes);
  fixture.Answer("/4");
  fixture.Answer("/1");
  const std::string answers = socket.ReceiveUntil("[/4]");
  cr_expect_eq(Count(answers, "HTTP/1.1 200 "), 3U);
  cr_expect_eq(Count(answers, "HTTP/1.1 502 "), 1U);
  cr_expect(answers.find("[/1]") < answers.find("bbb"));
  cr_expect(answers.find("bbb") < answers.find("HTTP/1.1 502 "));
  cr_expect(answers.find("HTTP/1.1 502 ") < answers.find("[/4]"));
}

// A kept connection whose next request has arrived, but was not read yet, must
// not be closed for another one.
Test(callermemoryserver, a_connection_with_unread_bytes_stays)
{
  PipelineFixture fixture(WithMemory({}, 2));
  Socket kept = fixture.Send(Get("/1"));
  fixture.ExpectRequests(1);
  fixture.Answer("/1");
  cr_assert(!kept.ReceiveUntil("[/1]").empty());
  Socket busy = fixture.Send(Get("/2"));
  fixture.ExpectRequests(2);
  std::this_thread::sleep_for(std::chrono::milliseconds(1100));
  Socket waiting;
  {
    // The handler waits for the mutex, and with it the thread of the server.
    const std::lock_guard lock(fixture.mutex);
    cr_assert(busy.Send(Get("/3")));
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    cr_assert(waiting.Connect(kAddress, fixture.port));
    cr_assert(kept.Send(Get("/4")));
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  fixture.ExpectRequests(4);
  fixture.Answer("/4");
  cr_expect(!kept.ReceiveUntil("[/4]").empty());
}

// A connection is idle from the last byte of its answer on. The caller of a
// large one must have time to send its next request.
Test(callermemoryserver, a_connection_is_idle_after_its_whole_answer)
{
  PipelineFixture fixture(WithMemory({}, 2));
  Socket slow = fixture.Send(Get("/1"));
  Socket busy = fixture.Send(Get("/2"));
  fixture.ExpectRequests(2);
  fixture.Answer("/1", { 200, {}, std::string(32 * kMegabyte, 'a') + "[/1]" });
  Socket waiting;
  cr_assert(waiting.Connect(kAddress, fixture.port));
  std::this_thread::sleep_for(std::chrono::milliseconds(1200));
  cr_assert_gt(fixture.server->Memory().held.answers, 0U, "it is still sent");
  cr_assert(!slow.ReceiveUntil("[/1]").empty());
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  cr_assert(slow.Send(Get("/3")));
  fixture.ExpectRequests(3);
  fixture.Answer("/3");
  cr_expect(!slow.ReceiveUntil("[/3]").empty());
}

// A call keeps the body of its request after its caller has disconnected, so
// callers that disconnect must not get around the limit.
Test(callermemoryserver, requests_of_callers_that_left_count_until_they_end)
{
  PipelineFixture fixture(WithMemory(Total(8 * kMegabyte)));
  const std::string request = PutHead(kMegabyte) + std::string(kMegabyte, 'x');
  {
    Socket left = fixture.Send(request);
    fixture.ExpectRequests(1);
  }
  cr_assert(Eventually([&] { return fixture.Disconnects() == 1; }));
  cr_expect_geq(fixture.server->Memory().held.requests, 2 * kMegabyte);
  Socket second = fixture.Send(request);
  const std::string answer = second.ReceiveUntil("\r\n\r\n");
  cr_expect(answer.starts_with("HTTP/1.1 503 "), "%s", answer.c_str());
  fixture.Answer("/large");
  cr_assert(
    Eventually([&] { return fixture.server->Memory().held.Sum() == 0; }));
  Socket third = fixture.Send(request);
  fixture.ExpectRequests(2);
}

// The handler has answered, so nothing is left to wait for.
Test(callermemoryserver, an_answered_request_does_not_count_after_a_disconnect)
{
  PipelineFixture fixture(WithMemory(Total(64 * kMegabyte)));
  {
    Socket left = fixture.Send(Get("/1"));
    fixture.ExpectRequests(1);
    fixture.Answer("/1", { 200, {}, std::string(32 * kMegabyte, 'a') });
    cr_assert(
      Eventually([&] { return fixture.server->Memory().held.requests == 0; }));
    cr_assert_gt(fixture.server->Memory().held.answers, 0U);
  }
  cr_expect(
    Eventually([&] { return fixture.server->Memory().held.Sum() == 0; }));
}

// Servers that are not for callers must not close the idle connections of
// operators and servers for others.
Test(callermemoryserver, servers_that_make_no_room_keep_idle_connections)
{
  HttpServerConfig config;
  config.maxConnections = 2;
  PipelineFixture fixture(config);
  Socket first = fixture.Send("");
  Socket second = fixture.Send("");
  Socket third = fixture.Send(Get("/3"));
  std::this_thread::sleep_for(std::chrono::milliseconds(4500));
  fixture.ExpectRequests(0);
  cr_expect_eq(
    CountOf(fixture.server->Memory().closed, CallerLimit::Connections), 0U);
  second.Close();
  fixture.ExpectRequests(1);
}
