#include "proxy/httpclient.h"

#include "common/ring.h"
#include "common/testsocket.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <ctime>

using namespace lacewingwharf;
using loopback::Socket;

namespace {

const std::string kAddress = "127.72.0.2";
const std::string kCompleteAnswer =
  "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: keep-alive, X-Hop\r\n"
  "X-Hop: 1\r\nX-End: 2\r\n\r\nwhole";
constexpr std::size_t kMaxAnswerBytes = 10000;
constexpr Millis kResultTimeout = 30000;

/** A client and a listening socket; the test itself acts as the server. */
struct Fixture
{
  Fixture()
    : client(
        [this](ExchangeResult aResult) { results.Push(std::move(aResult)); },
        kMaxAnswerBytes)
  {
    cr_assert(this->listener.Listen(kAddress));
    this->client.Start();
  }

  void Submit(const std::string& aMethod,
              const std::string& aBody = "",
              bool aNeedsNewConnection = false,
              Millis aTimeLimit = 20000)
  {
    HttpExchange exchange;
    exchange.id = "id" + std::to_string(++this->submitted);
    exchange.url =
      fmt::format("http://{}:{}/a?b", kAddress, this->listener.Port());
    exchange.request.method = aMethod;
    exchange.request.body = aBody;
    exchange.request.headers = { { "X-Own", "1" },
                                 { "X-Empty", "" },
                                 { "Connection", "X-Secret" },
                                 { "X-Secret", "s" },
                                 { "Transfer-Encoding", "chunked" } };
    exchange.timeout = aTimeLimit;
    exchange.needsNewConnection = aNeedsNewConnection;
    cr_assert(this->client.Submit(exchange));
  }

  ExchangeResult Result()
  {
    auto result = this->results.Pop(kResultTimeout);
    cr_assert(result.has_value());
    return *result;
  }

  /** Submits a request, answers it with aBytes and closes the connection. */
  ExchangeResult Exchange(const std::string& aBytes,
                          const std::string& aMethod = "GET")
  {
    this->Submit(aMethod);
    Socket socket = this->listener.Accept();
    this->request = socket.ReceiveUntil("\r\n\r\n");
    cr_assert(socket.Send(aBytes));
    socket.Close();
    return this->Result();
  }

  Socket listener;
  Ring<ExchangeResult> results{ 100 };
  HttpClient client;
  std::string request;
  int submitted = 0;
};

} // namespace

// Headers that apply to one connection only must not be forwarded, in either
// direction. The Connection header lists further such headers.
Test(httpclient, CompleteAnswerIsReturned)
{
  Fixture fixture;
  const ExchangeResult result = fixture.Exchange(kCompleteAnswer);
  cr_assert_eq(result.id, "id1");
  cr_assert_eq(result.end, ExchangeEnd::Answered);
  cr_assert_eq(result.answer.status, 200);
  cr_assert_eq(result.answer.body, "whole");
  cr_assert(result.answer.headers.contains("x-end"));
  cr_assert_not(result.answer.headers.contains("x-hop"));
  cr_assert_not(result.answer.headers.contains("connection"));
  cr_assert(fixture.request.starts_with("GET /a?b HTTP/1.1\r\n"));
  cr_assert_neq(fixture.request.find("X-Own: 1\r\n"), std::string::npos);
  cr_assert_neq(fixture.request.find("X-Empty:\r\n"), std::string::npos);
  for (const char* absent : { "X-Secret", "Transfer-Encoding", "User-Agent" }) {
    cr_assert_eq(fixture.request.find(absent), std::string::npos);
  }
}

// An answer to HEAD and an answer with status 204 have no body, so a missing
// body does not make them incomplete.
Test(httpclient, AnswersWithoutABodyAreComplete)
{
  Fixture fixture;
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
  cr_assert_eq(fixture.Exchange(head, "HEAD").end, ExchangeEnd::Answered);
  cr_assert_eq(fixture.Exchange("HTTP/1.1 204 No Content\r\n\r\n").end,
               ExchangeEnd::Answered);
}

// A connection that closes too early leaves a truncated answer, which must not
// be forwarded as complete (requirement R4).
Test(httpclient, TruncatedAnswersAreIncomplete)
{
  Fixture fixture;
  for (const std::string& bytes :
       { kCompleteAnswer.substr(0, kCompleteAnswer.size() - 1),
         std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                     "5\r\nwhole\r\n"),
         std::string("HTTP/1.1 200 OK\r\n\r\nwhole"),
         std::string("HTTP/1.1 200 OK\r\nContent-Le"),
         std::string("garbage\r\n\r\n"),
         std::string() }) {
    const ExchangeResult result = fixture.Exchange(bytes);
    cr_assert_eq(result.end, ExchangeEnd::Incomplete, "%s", bytes.c_str());
    cr_assert(result.answer.body.empty());
  }
}

// The size limit of answers bounds the memory that a backend server can make
// the daemon use.
Test(httpclient, TooLongAnswerIsIncomplete)
{
  Fixture fixture;
  const std::string body(kMaxAnswerBytes + 1, 'x');
  const ExchangeResult result = fixture.Exchange(
    fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.size()) +
    body);
  cr_assert_eq(result.end, ExchangeEnd::Incomplete);
  cr_assert_eq(result.detail, "the answer is too long");
}

// A request whose connection was refused did not run, so its outcome must not
// be reported as unknown.
Test(httpclient, RefusedConnectionIsNotConnected)
{
  Fixture fixture;
  const int port = loopback::FreePort(kAddress);
  HttpExchange exchange;
  exchange.id = "refused";
  exchange.url = fmt::format("http://{}:{}/", kAddress, port);
  exchange.request.method = "POST";
  exchange.timeout = 20000;
  cr_assert(fixture.client.Submit(exchange));
  cr_assert_eq(fixture.Result().end, ExchangeEnd::NotConnected);
}

// A request with many headers must not hold up the thread of all calls: the
// time for each header must not grow with their number.
Test(httpclient, ManyHeadersAreSentInTime)
{
  constexpr int kHeaders = 40000; // A head of 256 KB with short headers.
  constexpr double kMostSeconds = 0.5;
  Fixture fixture;
  HttpExchange exchange;
  exchange.url =
    fmt::format("http://{}:{}/", kAddress, fixture.listener.Port());
  exchange.timeout = 20000;
  exchange.id = "many";
  exchange.request.method = "GET";
  for (int i = 0; i < kHeaders; ++i) {
    exchange.request.headers.emplace(fmt::format("h{}", i), "");
  }
  const std::clock_t start = std::clock(); // Processor time.
  cr_assert(fixture.client.Submit(exchange));
  Socket socket = fixture.listener.Accept();
  const std::string head = socket.ReceiveUntil("\r\n\r\n");
  const double seconds =
    static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
  cr_expect_eq(std::ranges::count(head, 'h'), kHeaders);
  cr_expect_lt(seconds, kMostSeconds, "%.2f s", seconds);
}

// Methods and headers come from messages of peers. A line end in them would add
// lines to the request head, so such requests are not sent.
Test(httpclient, UnsafeRequestsAreNotSent)
{
  Fixture fixture;
  HttpExchange exchange;
  exchange.url =
    fmt::format("http://{}:{}/", kAddress, fixture.listener.Port());
  exchange.timeout = 300;
  exchange.id = "method";
  exchange.request.method = "GET /b HTTP/1.1\r\nX:";
  cr_assert(fixture.client.Submit(exchange));
  cr_assert_eq(fixture.Result().end, ExchangeEnd::NotConnected);
  exchange.id = "header";
  exchange.request.method = "GET";
  exchange.request.headers = { { "X-One", "1\r\nX-Two: 2" } };
  cr_assert(fixture.client.Submit(exchange));
  cr_assert_eq(fixture.Result().end, ExchangeEnd::NotConnected);
}

// A request that was sent may have run, so a timeout must not be reported as
// not run.
Test(httpclient, UnansweredRequestTimesOut)
{
  Fixture fixture;
  fixture.Submit("GET", "", false, 300);
  Socket socket = fixture.listener.Accept();
  cr_assert_eq(fixture.Result().end, ExchangeEnd::TimedOut);
  cr_assert(socket.IsClosedByPeer());
}

// A backend server notices a cancellation only by its closed connection.
// Otherwise it goes on with the cancelled work.
Test(httpclient, CancellationClosesTheConnection)
{
  Fixture fixture;
  fixture.Submit("POST", "work");
  Socket socket = fixture.listener.Accept();
  socket.ReceiveUntil("work");
  fixture.client.Cancel("id1");
  cr_assert_eq(fixture.Result().end, ExchangeEnd::Cancelled);
  cr_assert(socket.IsClosedByPeer());
}

// Every exchange must get a result, also those that still run when the daemon
// stops.
Test(httpclient, StopCancelsRunningExchanges)
{
  Fixture fixture;
  fixture.Submit("GET");
  Socket socket = fixture.listener.Accept();
  socket.ReceiveUntil("\r\n\r\n");
  fixture.client.Stop();
  cr_assert_eq(fixture.Result().end, ExchangeEnd::Cancelled);
}

// A connection made for a single request must not stay open: such connections
// would pile up at the backend server.
Test(httpclient, NewConnectionIsClosedAfterItsAnswer)
{
  Fixture fixture;
  fixture.Submit("POST", "order", true);
  Socket socket = fixture.listener.Accept();
  socket.ReceiveUntil("order");
  cr_assert(socket.Send(kCompleteAnswer));
  cr_assert_eq(fixture.Result().end, ExchangeEnd::Answered);
  cr_assert(socket.IsClosedByPeer());
}

namespace {

/**
 * Counts how often a POST arrives at a server that closes every connection
 * after it has read the POST. The client has an idle connection from an earlier
 * GET.
 */
int
CountPostArrivals(bool aNeedsNewConnection, ExchangeEnd& aEnd)
{
  Fixture fixture;
  fixture.Submit("GET");
  Socket usedSocket = fixture.listener.Accept();
  usedSocket.ReceiveUntil("\r\n\r\n");
  usedSocket.Send(kCompleteAnswer);
  cr_assert_eq(fixture.Result().end, ExchangeEnd::Answered);
  fixture.Submit("POST", "order", aNeedsNewConnection);
  int arrivalCount = 0;
  if (!aNeedsNewConnection) {
    arrivalCount += usedSocket.ReceiveUntil("order").ends_with("order") ? 1 : 0;
    usedSocket.Close();
  }
  Socket newSocket = fixture.listener.Accept();
  arrivalCount += newSocket.ReceiveUntil("order").ends_with("order") ? 1 : 0;
  newSocket.Close();
  aEnd = fixture.Result().end;
  return arrivalCount;
}

} // namespace

// Shows why needsNewConnection exists: libcurl resends the request when a
// reused connection closes before the answer begins.
Test(httpclient, ReusedConnectionSendsAPostTwice)
{
  ExchangeEnd end = ExchangeEnd::Answered;
  cr_assert_eq(CountPostArrivals(false, end), 2);
  cr_assert_eq(end, ExchangeEnd::Incomplete);
}

// A non-idempotent call must not run twice (requirement R6). It would if
// libcurl resent it after a reused connection closed.
Test(httpclient, NewConnectionSendsAPostOnce)
{
  ExchangeEnd end = ExchangeEnd::Answered;
  cr_assert_eq(CountPostArrivals(true, end), 1);
  cr_assert_eq(end, ExchangeEnd::Incomplete);
}

namespace {

HttpExchange
MakeExchangeWithId(const Fixture& aFixture, const std::string& aId)
{
  HttpExchange exchange;
  exchange.id = aId;
  exchange.url =
    fmt::format("http://{}:{}/a", kAddress, aFixture.listener.Port());
  exchange.request.method = "GET";
  exchange.request.headers = { { "Request", aId } };
  exchange.timeout = 20000;
  exchange.echoedHeader = "Request";
  return exchange;
}

std::string
MakeAnswerWithId(const std::string& aId)
{
  return "HTTP/1.1 200 OK\r\nRequest: " + aId +
         "\r\nContent-Length: 5\r\n\r\nwhole";
}

} // namespace

// An answer to an earlier request must not be used for a later one. The
// connection must be closed, or else every later answer on it would belong to
// the request before.
Test(httpclient, AnswerToAnotherRequestIsRejected)
{
  Fixture fixture;
  cr_assert(fixture.client.Submit(MakeExchangeWithId(fixture, "one")));
  Socket socket = fixture.listener.Accept();
  socket.ReceiveUntil("\r\n\r\n");
  cr_assert(socket.Send(MakeAnswerWithId("zero")));
  cr_expect_eq(fixture.Result().end, ExchangeEnd::Incomplete);
  cr_assert(fixture.client.Submit(MakeExchangeWithId(fixture, "two")));
  Socket second = fixture.listener.Accept();
  second.ReceiveUntil("\r\n\r\n");
  cr_assert(second.Send(MakeAnswerWithId("two")));
  const ExchangeResult result = fixture.Result();
  cr_expect_eq(result.end, ExchangeEnd::Answered);
  cr_expect_eq(result.answer.body, "whole");
}

// Servers copy the id of the request. Without it, nothing shows that the answer
// belongs to the request. An informational head has no id.
Test(httpclient, AnswerWithoutAnIdIsRejected)
{
  const std::string answer =
    "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
  const std::string early = "HTTP/1.1 103 Early Hints\r\nA: 1\r\n\r\n";
  for (const bool hasId : { false, true }) {
    Fixture fixture;
    cr_assert(fixture.client.Submit(MakeExchangeWithId(fixture, "one")));
    Socket socket = fixture.listener.Accept();
    socket.ReceiveUntil("\r\n\r\n");
    cr_assert(socket.Send(early + (hasId ? MakeAnswerWithId("one") : answer)));
    cr_expect_eq(fixture.Result().end,
                 hasId ? ExchangeEnd::Answered : ExchangeEnd::Incomplete);
  }
}

// Some servers are known to send answers without a length. With
// UnframedBody::Complete such an answer must be accepted, unless a reset of the
// connection may have truncated it.
Test(httpclient, UnframedBodyIsCompleteUnlessConnectionIsReset)
{
  for (const bool isReset : { false, true }) {
    Fixture fixture;
    HttpExchange exchange = MakeExchangeWithId(fixture, "one");
    exchange.unframedBody = UnframedBody::Complete;
    cr_assert(fixture.client.Submit(exchange));
    Socket socket = fixture.listener.Accept();
    socket.ReceiveUntil("\r\n\r\n");
    cr_assert(socket.Send("HTTP/1.1 200 OK\r\nRequest: one\r\n\r\nwhole"));
    if (isReset) {
      socket.Reset();
    }
    socket.Close();
    const ExchangeResult result = fixture.Result();
    cr_expect_eq(result.end,
                 isReset ? ExchangeEnd::Incomplete : ExchangeEnd::Answered);
  }
}

// A server may send an answer a second time on the idle connection. The copy
// must not become the answer to the next request, not even to another try of
// the same request, whose id it has.
Test(httpclient, BytesThatPrecedeARequestAreNotItsAnswer)
{
  Fixture fixture;
  const std::string refusal =
    "HTTP/1.1 503 Busy\r\nRequest: one\r\nContent-Length: 0\r\n\r\n";
  cr_assert(fixture.client.Submit(MakeExchangeWithId(fixture, "one")));
  Socket socket = fixture.listener.Accept();
  socket.ReceiveUntil("\r\n\r\n");
  cr_assert(socket.Send(refusal));
  cr_expect_eq(fixture.Result().answer.status, 503);
  cr_assert(socket.Send(refusal));
  cr_assert(fixture.client.Submit(MakeExchangeWithId(fixture, "one")));
  Socket second = fixture.listener.Accept();
  second.ReceiveUntil("\r\n\r\n");
  cr_assert(second.Send(MakeAnswerWithId("one")));
  const ExchangeResult result = fixture.Result();
  cr_expect_eq(result.end, ExchangeEnd::Answered);
  cr_expect_eq(result.answer.status, 200);
  cr_expect(socket.IsClosedByPeer());
}
