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
