#include "proxy/httpserver.h"

#include "common/testsocket.h"

#include <criterion/criterion.h>

#include <future>
#include <map>
#include <mutex>
#include <vector>

using namespace lacewingwharf;
using loopback::Eventually;
using loopback::Socket;

namespace {

const std::string kAddress = "127.72.0.1";
const std::string kGet = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";

/** A server that stores its requests until the test answers them. */
struct Fixture
{
  explicit Fixture(std::size_t aMaxHeadBytes = 2048)
  {
    HttpServerConfig config;
    config.address = kAddress;
    config.port = loopback::FreePort(kAddress);
    config.limits.request.headBytes = aMaxHeadBytes;
    config.limits.request.bodyBytes = 4096;
    this->port = config.port;
    this->server = std::make_unique<HttpServer>(
      config,
      HttpServer::Handlers{ [this](RequestId aId, HttpRequest aRequest) {
                             const std::lock_guard lock(this->mutex);
                             this->requests.emplace(aId, std::move(aRequest));
                           },
                            [this](RequestId aId) {
                              const std::lock_guard lock(this->mutex);
                              this->disconnected.push_back(aId);
                            } });
    cr_assert(this->server->Start());
  }

  Socket SendRequest(const std::string& aBytes) const
  {
    Socket socket;
    cr_assert(socket.Connect(kAddress, this->port));
    cr_assert(socket.Send(aBytes));
    return socket;
  }

  std::size_t RequestCount()
  {
    const std::lock_guard lock(this->mutex);
    return this->requests.size();
  }

  /** Waits for aCount requests in all and returns the id of the last one. */
  RequestId WaitForRequests(std::size_t aCount = 1)
  {
    cr_assert(
      Eventually([this, aCount] { return this->RequestCount() == aCount; }));
    const std::lock_guard lock(this->mutex);
    return this->requests.rbegin()->first;
  }

  bool BecomesIdle() const
  {
    return Eventually([this] { return this->server->InFlight() == 0; });
  }

  /** Checks that aBytes are answered with aStatus and reach no handler. */
  void ExpectRefused(const std::string& aBytes, const std::string& aStatus)
  {
    Socket socket = this->SendRequest(aBytes);
    const std::string answer = socket.ReceiveAll();
    cr_assert(answer.starts_with("HTTP/1.1 " + aStatus) ||
                answer.starts_with("HTTP/1.0 " + aStatus),
              "%s was answered with %s",
              aBytes.c_str(),
              answer.c_str());
    cr_assert_eq(this->RequestCount(), 0U);
    cr_assert_eq(this->server->InFlight(), 0U);
  }

  int port = 0;
  std::mutex mutex;
  std::map<RequestId, HttpRequest> requests;
  std::vector<RequestId> disconnected;
  std::unique_ptr<HttpServer> server;
};

} // namespace

// Requests and answers must arrive unchanged. On a reused connection, a second
// answer to the first request must not become the answer to the next one.
Test(httpserver, RequestsAndAnswersAreUnchanged)
{
  Fixture fixture;
  Socket socket =
    fixture.SendRequest("POST /a%20b/c?d=%2f HTTP/1.1\r\nHost: x\r\n"
                        "X-One: 1\r\nX-One: 2\r\n"
                        "Content-Length: 5\r\n\r\nhello");
  const RequestId first = fixture.WaitForRequests();
  const HttpRequest request = fixture.requests[first];
  cr_assert_eq(request.method, "POST");
  cr_assert_eq(request.path, "/a%20b/c");
  cr_assert_eq(request.target, "/a%20b/c?d=%2f");
  cr_assert_eq(request.headers.at("x-one"), "1, 2");
  cr_assert_eq(request.body, "hello");
  cr_assert_eq(request.callerAddress, "127.0.0.1");
  cr_assert_eq(fixture.server->InFlight(), 1U);
  fixture.server->Answer(first,
                         { 201,
                           { { "Set-Cookie", "a=1\nb=2" },
                             { "Content-Length", "99" },
                             { "X-Bad", "a\r\nX-Worse: b" } },
                           "answer" });
  const std::string answer = socket.ReceiveUntil("\r\n\r\nanswer");
  cr_assert(answer.starts_with("HTTP/1.1 201"));
  cr_assert_neq(answer.find("Set-Cookie: a=1\r\n"), std::string::npos);
  cr_assert_neq(answer.find("Set-Cookie: b=2\r\n"), std::string::npos);
  cr_assert_neq(answer.find("Content-Length: 6\r\n"), std::string::npos);
  cr_assert_eq(answer.find("Worse"), std::string::npos);
  cr_assert(fixture.BecomesIdle());
  fixture.server->Answer(first, { 200, {}, "again" });
  cr_assert(socket.Send(kGet));
  fixture.server->Answer(fixture.WaitForRequests(2), { 200, {}, "second" });
  const std::string second = socket.ReceiveUntil("second");
  cr_assert_eq(second.find("again"), std::string::npos);
  cr_assert(second.ends_with("\r\n\r\nsecond"));
}

// Without this report, the daemon goes on working for callers that have
// disconnected.
Test(httpserver, DisconnectOfSuspendedCallerIsReported)
{
  Fixture fixture;
  Socket socket = fixture.SendRequest(kGet);
  const RequestId id = fixture.WaitForRequests();
  socket.Close();
  cr_assert(Eventually([&fixture] {
    const std::lock_guard lock(fixture.mutex);
    return !fixture.disconnected.empty();
  }));
  cr_assert_eq(fixture.disconnected.front(), id);
  cr_assert(fixture.BecomesIdle());
  fixture.server->Answer(id, { 200, {}, "late" });
}

// The caller of an aborted request must not receive an empty answer.
Test(httpserver, AbortBreaksTheConnection)
{
  Fixture fixture;
  Socket socket = fixture.SendRequest(kGet);
  fixture.server->Abort(fixture.WaitForRequests());
  cr_assert_eq(socket.ReceiveAll(), "");
  cr_assert(fixture.BecomesIdle());
}

// A shutdown must not interrupt requests in flight (requirement R8).
Test(httpserver, StopAcceptingLetsRequestsInFlightEnd)
{
  Fixture fixture;
  Socket socket = fixture.SendRequest(kGet);
  const RequestId id = fixture.WaitForRequests();
  fixture.server->StopAccepting();
  Socket lateSocket;
  cr_assert_not(lateSocket.Connect(kAddress, fixture.port));
  cr_assert_eq(fixture.server->InFlight(), 1U);
  fixture.server->Answer(id, { 200, {}, std::string(100000, 'x') });
  const std::string answer = socket.ReceiveAll();
  cr_assert_neq(answer.find("Connection: close"), std::string::npos);
  cr_assert(answer.ends_with("\r\n\r\n" + std::string(100000, 'x')));
  cr_assert(fixture.BecomesIdle());
}

// A later answer must not replace the first one (requirement R4). Both are
// given on the server thread, which cannot send the first before the second is
// given.
Test(httpserver, OnlyTheFirstAnswerIsSent)
{
  HttpServerConfig config;
  config.address = kAddress;
  config.port = loopback::FreePort(kAddress);
  std::unique_ptr<HttpServer> server;
  server = std::make_unique<HttpServer>(
    config,
    HttpServer::Handlers{ [&server](RequestId aId, const HttpRequest&) {
                           server->Answer(aId, { 200, {}, "first" });
                           server->Answer(aId, { 200, {}, "other" });
                           server->Abort(aId);
                         },
                          {} });
  cr_assert(server->Start());
  Socket socket;
  cr_assert(socket.Connect(kAddress, config.port));
  cr_assert(socket.Send(kGet));
  cr_assert(socket.ReceiveUntil("\r\n\r\nfirst").ends_with("first"));
}

// Connections that the kernel has accepted but the server has not must not be
// reset. The test blocks the server thread while another caller connects.
Test(httpserver, StopAcceptingServesPendingConnections)
{
  std::promise<void> release;
  auto released = release.get_future().share();
  std::atomic<int> requestCount{ 0 };
  HttpServerConfig config;
  config.address = kAddress;
  config.port = loopback::FreePort(kAddress);
  std::unique_ptr<HttpServer> server;
  server = std::make_unique<HttpServer>(
    config,
    HttpServer::Handlers{ [&](RequestId aId, const HttpRequest&) {
                           ++requestCount;
                           released.wait();
                           server->Answer(aId, { 200, {}, "served" });
                         },
                          {} });
  cr_assert(server->Start());
  Socket first;
  cr_assert(first.Connect(kAddress, config.port));
  cr_assert(first.Send(kGet));
  cr_assert(Eventually([&requestCount] { return requestCount == 1; }));
  Socket second;
  cr_assert(second.Connect(kAddress, config.port));
  cr_assert(second.Send(kGet));
  server->StopAccepting();
  release.set_value();
  cr_assert(first.ReceiveUntil("served").ends_with("served"));
  cr_assert(second.ReceiveUntil("served").ends_with("served"));
  server->Stop();
}

// Stop() must not wait for answers that are never given.
Test(httpserver, StopEndsSuspendedRequests)
{
  Fixture fixture;
  Socket socket = fixture.SendRequest(kGet);
  fixture.WaitForRequests();
  fixture.server->Stop();
  cr_assert_eq(socket.ReceiveAll(), "");
  cr_assert_eq(fixture.server->InFlight(), 0U);
}

// A refused caller that goes on sending, however slowly, must not keep its
// connection: it counts towards the limit of the server.
Test(httpserver, ARefusedCallerCannotKeepItsConnection)
{
  constexpr int kMostBytes = 150; // One each 100 ms.
  Fixture fixture;
  Socket socket = fixture.SendRequest(
    "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5000\r\n\r\n");
  int sent = 0;
  while (sent < kMostBytes && socket.Send("x")) {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    ++sent;
  }
  cr_expect_lt(sent, kMostBytes);
}

// Limits that change while connections are open hold from the next request on.
Test(httpserver, ChangedLimitsHoldForOpenConnections)
{
  Fixture fixture;
  const std::string head =
    "GET /a HTTP/1.1\r\nHost: x\r\nX-Long: " + std::string(4000, 'a') +
    "\r\n\r\n";
  Socket socket = fixture.SendRequest(kGet);
  fixture.server->Answer(fixture.WaitForRequests(), { 200, {}, "first" });
  cr_assert(socket.ReceiveUntil("first").ends_with("first"));
  ConnectionLimits limits;
  limits.request.headBytes = 8192;
  fixture.server->SetLimits(limits);
  cr_assert(socket.Send(head));
  fixture.server->Answer(fixture.WaitForRequests(2), { 200, {}, "second" });
  cr_assert(socket.ReceiveUntil("second").ends_with("second"));
  limits.request.headBytes = 2048;
  fixture.server->SetLimits(limits);
  cr_assert(socket.Send(head));
  cr_expect(socket.ReceiveAll().starts_with("HTTP/1.1 431"));
}

// A head that never ends must not hold its connection. The answer says that
// nothing ran, so that a caller on a slow link can send the request again.
Test(httpserver, ASlowHeadIsRefusedAsNotRun)
{
  Fixture fixture;
  ConnectionLimits limits;
  limits.headTimeout = 100;
  fixture.server->SetLimits(limits);
  Socket idle;
  cr_assert(idle.Connect(kAddress, fixture.port));
  Socket slow = fixture.SendRequest("GET /a HTTP/1.1\r\nHost:");
  cr_expect(slow.ReceiveAll().starts_with("HTTP/1.1 408 Request Timeout"));
  cr_assert(idle.Send(kGet));
  fixture.server->Answer(fixture.WaitForRequests(), { 200, {}, "served" });
  cr_expect(idle.ReceiveUntil("served").ends_with("served"));
}

// A caller that stays idle beyond the limit must not hold its connection.
Test(httpserver, AnIdleConnectionIsClosed)
{
  Fixture fixture;
  ConnectionLimits limits;
  limits.idleTimeout = 100;
  fixture.server->SetLimits(limits);
  Socket socket = fixture.SendRequest(kGet);
  fixture.server->Answer(fixture.WaitForRequests(), { 200, {}, "served" });
  cr_assert(socket.ReceiveUntil("served").ends_with("served"));
  cr_expect_eq(socket.ReceiveAll(), "");
  cr_expect_eq(fixture.server->AnswersLost(), 0U);
}

// Requests that this server cut must be counted, so that operators learn of
// them; callers that leave on their own must not be.
Test(httpserver, OnlyAnswersThatTheServerLostAreCounted)
{
  Fixture fixture;
  Socket leaving = fixture.SendRequest(kGet);
  fixture.WaitForRequests();
  leaving.Close();
  cr_assert(fixture.BecomesIdle());
  Socket served = fixture.SendRequest(kGet);
  fixture.server->Answer(fixture.WaitForRequests(2), { 200, {}, "served" });
  cr_assert(served.ReceiveUntil("served").ends_with("served"));
  cr_expect_eq(fixture.server->AnswersLost(), 0U);
  Socket cut = fixture.SendRequest(kGet);
  fixture.WaitForRequests(3);
  fixture.server->Stop();
  cr_expect_eq(cut.ReceiveAll(), "");
  cr_expect_eq(fixture.server->AnswersLost(), 1U);
}

// The tests from here on check that oversized and malformed requests reach no
// handler, so that callers cannot exhaust the daemon's memory or corrupt its
// state.
Test(httpserver, OversizedHeadersAreRefused)
{
  Fixture fixture;
  fixture.ExpectRefused(
    "GET / HTTP/1.1\r\nHost: x\r\nX: " + std::string(3000, 'x') + "\r\n\r\n",
    "431");
  fixture.ExpectRefused(
    "GET / HTTP/1.1\r\nHost: x\r\nX: " + std::string(60000, 'x') + "\r\n\r\n",
    "431");
}

Test(httpserver, OversizedBodiesAreRefused)
{
  Fixture fixture;
  fixture.ExpectRefused(
    "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5000\r\n\r\n", "413");
  fixture.ExpectRefused("POST / HTTP/1.1\r\nHost: x\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n1388\r\n" +
                          std::string(5000, 'x') + "\r\n0\r\n\r\n",
                        "413");
}

Test(httpserver, MalformedRequestsAreRefused)
{
  Fixture fixture;
  const std::string post = "POST / HTTP/1.1\r\nHost: x\r\n";
  for (const std::string& bytes :
       { std::string("GET / HTTP/1.1\r\n\r\n"),
         std::string("GET a HTTP/1.1\r\nHost: x\r\n\r\n"),
         std::string("GET / HTTP/1.1\r\nHost: x\r\nno colon\r\n\r\n"),
         post + "Content-Length: -1\r\n\r\n",
         post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
         post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
                "0\r\n\r\n" }) {
    fixture.ExpectRefused(bytes, "400");
  }
}

// No later bytes of such a connection may be taken for a request.
Test(httpserver, RequestLineWithoutATargetClosesTheConnection)
{
  Fixture fixture;
  Socket socket = fixture.SendRequest("GARBAGE\r\n\r\n");
  cr_assert(socket.IsClosedByPeer());
  cr_assert_eq(fixture.RequestCount(), 0U);
}

// An answer whose length was never announced must not get a Content-Length or
// chunks from the daemon, or a body that the backend server has truncated would
// look complete to the caller.
Test(httpserver, AnAnswerThatEndsWithItsConnectionGetsNoLength)
{
  Fixture fixture;
  Socket socket = fixture.SendRequest(kGet);
  const RequestId id = fixture.WaitForRequests();
  HttpAnswer answer;
  answer.body = std::string(100000, 'x'); // Several blocks.
  answer.endsWithConnection = true;
  fixture.server->Answer(id, answer);
  const std::string received = socket.ReceiveAll(); // Up to the close.
  const std::string head = received.substr(0, received.find("\r\n\r\n") + 4);
  cr_expect(head.starts_with("HTTP/1.1 200 OK"));
  cr_expect_eq(head.find("Content-Length"), std::string::npos);
  cr_expect_eq(head.find("Transfer-Encoding"), std::string::npos);
  cr_expect_neq(head.find("Connection: close"), std::string::npos);
  cr_expect_eq(received.substr(head.size()), answer.body);
  cr_expect(fixture.BecomesIdle());
}

// A request whose head is within the limit must be answered, however many
// cookies it has: once it has run, its caller cannot send it again.
Test(httpserver, LongHeadsWithCookiesAreAnswered)
{
  constexpr std::size_t kMaxHeaderBytes = 16384;
  for (const std::size_t cookies : { 1UL, 40UL, 200UL }) {
    for (std::size_t bytes = 10000; bytes <= 16000; bytes += 500) {
      Fixture fixture(kMaxHeaderBytes);
      std::string head = "POST /a HTTP/1.1\r\nHost: x\r\nCookie: ";
      for (std::size_t i = 0; i < cookies; ++i) {
        const std::size_t left = (bytes - head.size()) / (cookies - i);
        head += (i == 0 ? "c" : "; c") + std::to_string(i) + "=" +
                std::string(left > 10 ? left - 10 : 1, 'v');
      }
      Socket socket = fixture.SendRequest(
        head + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
      const RequestId id = fixture.WaitForRequests();
      HttpAnswer answer;
      answer.headers["Set-Cookie"] = std::string(1200, 's');
      answer.body = "whole";
      fixture.server->Answer(id, answer);
      cr_expect(socket.ReceiveAll().ends_with("whole"),
                "%zu cookies, %zu bytes",
                cookies,
                bytes);
    }
  }
}
