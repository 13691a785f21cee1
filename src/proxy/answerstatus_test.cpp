// Tests answers of backend servers whose status line is not one of HTTP, and
// interim answers.

#include "proxy/httpclient.h"

#include "common/ring.h"
#include "common/testsocket.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <string>
#include <vector>

using namespace lacewingwharf;
using loopback::Socket;

namespace {

const std::string kAddress = "127.72.0.21";
const std::string kRest = "\r\nContent-Length: 5\r\n\r\nwhole";
const std::string kGoodAnswer = "HTTP/1.1 200 OK" + kRest;

/** A client and a listening socket; the test itself acts as the server. */
struct Fixture
{
  Fixture()
    : client(
        [this](ExchangeResult aResult) { results.Push(std::move(aResult)); },
        1U << 20U)
  {
    cr_assert(this->listener.Listen(kAddress));
    this->client.Start();
  }

  void Submit()
  {
    HttpExchange exchange;
    exchange.id = "id";
    exchange.url =
      fmt::format("http://{}:{}/a", kAddress, this->listener.Port());
    exchange.request.method = "GET";
    exchange.timeout = 5000;
    cr_assert(this->client.Submit(exchange));
  }

  ExchangeResult Result()
  {
    constexpr Millis kResultTimeout = 30000;
    auto result = this->results.Pop(kResultTimeout);
    cr_assert(result.has_value());
    return *result;
  }

  /** Answers a request on a new connection, which the server keeps open. */
  ExchangeResult Exchange(const std::string& aBytes)
  {
    this->Submit();
    this->socket = this->listener.Accept();
    this->socket.ReceiveUntil("\r\n\r\n");
    this->socket.Send(aBytes);
    return this->Result();
  }

  Socket listener;
  Socket socket;
  Ring<ExchangeResult> results{ 100 };
  HttpClient client;
};

/** Status lines without "HTTP/1.1 " that are not valid. */
const std::vector<std::string> kBadStatuses{
  "600 X",    "999 X",    "1000 X",  "2000 OK", "20000 OK", "0 X",
  "00 X",     "000 X",    "001 X",   "099 X",   "99 X",     "20 OK",
  "2 OK",     "+200 OK",  "-200 OK", "+20 OK",  "-1 X",     " 200 OK",
  "\t200 OK", "200x OK",  "20O OK",  "2e2 OK",  "0xc8 OK",  "200,OK",
  "200\tOK",  "200.0 OK", "OK",      "",        " ",        "0200 OK",
  "100x X",   "1 00 X",   "10 0 X",  "101 X",   "101",      "99999999999 X"
};

} // namespace

// A status that HTTP does not have says nothing about the request, and callers
// cannot handle it. Such an answer must fail, and its connection must not be
// used again: where the next answer begins is unknown.
Test(answerstatus, an_answer_with_an_invalid_status_fails)
{
  for (const std::string& status : kBadStatuses) {
    Fixture fixture;
    const ExchangeResult result =
      fixture.Exchange(fmt::format("HTTP/1.1 {}{}", status, kRest));
    cr_expect_eq(result.end, ExchangeEnd::Incomplete, "'%s'", status.c_str());
    cr_expect(result.answer.body.empty(), "'%s'", status.c_str());
    cr_expect(result.durationMillis < 4000, "'%s' timed out", status.c_str());
    cr_expect(fixture.socket.IsClosedByPeer(), "'%s'", status.c_str());
  }
}

// An invalid status must not be skipped like an interim answer: what follows
// may be the answer to another request.
Test(answerstatus, an_invalid_status_is_no_interim_answer)
{
  for (const std::string& status : kBadStatuses) {
    for (const std::string& interim :
         { std::string(), std::string("HTTP/1.1 100 Continue\r\n\r\n") }) {
      Fixture fixture;
      const ExchangeResult result = fixture.Exchange(
        fmt::format("{}HTTP/1.1 {}\r\n\r\n{}", interim, status, kGoodAnswer));
      cr_expect_eq(result.end, ExchangeEnd::Incomplete, "'%s'", status.c_str());
      cr_expect(fixture.socket.IsClosedByPeer(), "'%s'", status.c_str());
    }
  }
}

// Statuses without a registered meaning are valid, and so are a missing reason
// and interim answers.
Test(answerstatus, valid_answers_are_passed_on)
{
  for (const auto& [line, status] :
       std::vector<std::pair<std::string, int>>{ { "200", 200 },
                                                 { "200 ", 200 },
                                                 { "299 Odd", 299 },
                                                 { "304 Not Modified", 304 },
                                                 { "418 I am", 418 },
                                                 { "599 Last", 599 } }) {
    for (const char* interim :
         { "",
           "HTTP/1.1 100 Continue\r\n\r\n",
           "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\n"
           "Link: </a>\r\n\r\nHTTP/1.1 199 Odd\r\n\r\n" }) {
      Fixture fixture;
      const ExchangeResult result =
        fixture.Exchange(fmt::format("{}HTTP/1.1 {}{}", interim, line, kRest));
      cr_expect_eq(result.end, ExchangeEnd::Answered, "'%s'", line.c_str());
      cr_expect_eq(result.answer.status, status);
      cr_expect_not(result.answer.headers.contains("Link"));
    }
  }
}

// A second status line in a head leaves open which one holds.
Test(answerstatus, a_head_with_two_status_lines_fails)
{
  Fixture fixture;
  const ExchangeResult result =
    fixture.Exchange("HTTP/1.1 200 OK\r\nHTTP/1.1 404 Not Found" + kRest);
  cr_expect_eq(result.end, ExchangeEnd::Incomplete);
  cr_expect(fixture.socket.IsClosedByPeer());
}

// Interim heads must not keep a request and its memory for ever, neither one
// that never ends nor an endless sequence of them.
Test(answerstatus, interim_answers_are_bounded)
{
  const std::string endlessHead = "X-Header: 0123456789\r\n";
  const std::string endlessSequence = "HTTP/1.1 100 Continue\r\n\r\n";
  for (const std::string& part : { endlessHead, endlessSequence }) {
    Fixture fixture;
    fixture.Submit();
    Socket socket = fixture.listener.Accept();
    socket.ReceiveUntil("\r\n\r\n");
    constexpr std::size_t kMaxBytes = 1U << 20U;
    std::size_t sent = 0;
    bool isOpen = socket.Send("HTTP/1.1 100 Continue\r\n");
    while (isOpen && sent < kMaxBytes) {
      isOpen = socket.Send(part);
      sent += part.size();
    }
    const ExchangeResult result = fixture.Result();
    cr_expect_eq(result.end, ExchangeEnd::Incomplete);
    cr_expect(result.durationMillis < 4000);
    cr_expect(socket.IsClosedByPeer());
  }
}
