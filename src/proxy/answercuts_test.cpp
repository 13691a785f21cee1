// Cuts the answers of a backend server at every byte, for each framing.

#include "proxy/httpclient.h"

#include "common/ring.h"
#include "common/testsocket.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <string>

using namespace lacewingwharf;
using loopback::Socket;

namespace {

const std::string kAddress = "127.72.0.3";
constexpr std::size_t kMaxAnswerBytes = 10000;
constexpr Millis kTimeout = 20000;
constexpr std::size_t kStatusLineBytes = 17;

enum class Framing
{
  LengthFirst,
  LengthLast,
  Chunked,
  None
};

enum class Cut
{
  Close, // An orderly end of the connection.
  Reset
};

std::string
MakeAnswer(Framing aFraming, const std::string& aId)
{
  const std::string headers = "Request: " + aId + "\r\nSignature: s\r\n";
  const std::string start = "HTTP/1.1 200 OK\r\n";
  switch (aFraming) {
    case Framing::LengthFirst:
      return start + "Content-Length: 12\r\n" + headers + "\r\nwhole answer";
    case Framing::LengthLast:
      return start + headers + "Content-Length: 12\r\n\r\nwhole answer";
    case Framing::Chunked:
      return start + headers +
             "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n"
             "7\r\n answer\r\n0\r\n\r\n";
    default:
      return start + headers + "\r\nwhole answer";
  }
}

class CutServer
{
public:
  explicit CutServer(bool aIsIdempotent)
    : isIdempotent(aIsIdempotent)
    , client(
        [this](ExchangeResult aResult) { results.Push(std::move(aResult)); },
        kMaxAnswerBytes)
  {
    cr_assert(this->listener.Listen(kAddress));
    this->client.Start();
  }

  /** Answers with the first aBytes of the answer, on a new connection. */
  ExchangeResult ExchangeOnNew(Framing aFraming, std::size_t aBytes, Cut aCut)
  {
    const std::string id = this->Submit();
    Socket socket = this->listener.Accept();
    return this->Answer(socket, MakeAnswer(aFraming, id), aBytes, aCut);
  }

  /** The same, on a connection that has carried an exchange before. */
  ExchangeResult ExchangeOnKept(Framing aFraming, std::size_t aBytes, Cut aCut)
  {
    const std::string first = this->Submit();
    Socket socket = this->listener.Accept();
    socket.ReceiveUntil("\r\n\r\n");
    cr_assert(socket.Send(MakeAnswer(Framing::LengthFirst, first)));
    cr_assert_eq(this->Result().end, ExchangeEnd::Answered);
    const std::string id = this->Submit();
    return this->Answer(socket, MakeAnswer(aFraming, id), aBytes, aCut);
  }

private:
  std::string Submit()
  {
    HttpExchange exchange;
    exchange.id = fmt::format("id{}", ++this->submitted);
    exchange.url =
      fmt::format("http://{}:{}/a", kAddress, this->listener.Port());
    exchange.request.method = this->isIdempotent ? "GET" : "POST";
    exchange.request.headers = { { "Request", exchange.id } };
    exchange.echoedHeader = "Request";
    exchange.timeout = kTimeout;
    exchange.needsNewConnection = !this->isIdempotent;
    exchange.unframedBody = UnframedBody::Complete;
    cr_assert(this->client.Submit(exchange));
    return exchange.id;
  }

  ExchangeResult Answer(Socket& aSocket,
                        const std::string& aAnswer,
                        std::size_t aBytes,
                        Cut aCut)
  {
    aSocket.ReceiveUntil("\r\n\r\n");
    cr_assert(aSocket.Send(aAnswer.substr(0, aBytes)));
    if (aCut == Cut::Reset) {
      aSocket.Reset();
    }
    aSocket.Close();
    return this->Result();
  }

  ExchangeResult Result()
  {
    auto result = this->results.Pop(kTimeout);
    cr_assert(result.has_value());
    return *result;
  }

  bool isIdempotent;
  Socket listener;
  Ring<ExchangeResult> results{ 100 };
  HttpClient client;
  int submitted = 0;
};

void
ExpectIncomplete(const ExchangeResult& aResult,
                 Framing aFraming,
                 std::size_t aBytes,
                 Cut aCut)
{
  cr_expect_eq(aResult.end,
               ExchangeEnd::Incomplete,
               "framing %d, %zu bytes, cut %d: status %d, body '%s'",
               static_cast<int>(aFraming),
               aBytes,
               static_cast<int>(aCut),
               aResult.answer.status,
               aResult.answer.body.c_str());
}

/** Plays all cuts of the framings that announce the end of the body. */
void
PlayFramedCuts(bool aIsIdempotent)
{
  CutServer server(aIsIdempotent);
  for (const Framing framing :
       { Framing::LengthFirst, Framing::LengthLast, Framing::Chunked }) {
    const std::size_t size = MakeAnswer(framing, "id1").size();
    for (std::size_t bytes = 1; bytes < size; ++bytes) {
      for (const Cut cut : { Cut::Close, Cut::Reset }) {
        ExpectIncomplete(
          server.ExchangeOnNew(framing, bytes, cut), framing, bytes, cut);
      }
    }
  }
}

} // namespace

// An answer that is cut anywhere, also within its head, must not be returned as
// a whole one. libcurl reports success if the connection is closed within the
// head before a length was read.
Test(answercuts, no_cut_of_an_idempotent_answer_looks_complete)
{
  PlayFramedCuts(true);
}

Test(answercuts, no_cut_of_a_non_idempotent_answer_looks_complete)
{
  PlayFramedCuts(false);
}

// The same must hold on a connection that was used before. The cuts start after
// the status line, because libcurl sends the request again if a reused
// connection ends before it.
Test(answercuts, no_cut_on_a_kept_connection_looks_complete)
{
  CutServer server(true);
  for (const Framing framing :
       { Framing::LengthFirst, Framing::LengthLast, Framing::Chunked }) {
    const std::size_t size = MakeAnswer(framing, "id1").size();
    for (std::size_t bytes = kStatusLineBytes; bytes < size; ++bytes) {
      for (const Cut cut : { Cut::Close, Cut::Reset }) {
        ExpectIncomplete(
          server.ExchangeOnKept(framing, bytes, cut), framing, bytes, cut);
      }
    }
  }
}

// Without a length, only a reset shows that the body was cut. An orderly end
// within the head must be recognized all the same.
Test(answercuts, an_unframed_answer_is_cut_by_a_reset_or_within_its_head)
{
  CutServer server(true);
  const std::string answer = MakeAnswer(Framing::None, "id1");
  const std::size_t headBytes = answer.find("\r\n\r\n") + 4;
  for (std::size_t bytes = 1; bytes <= answer.size(); ++bytes) {
    ExpectIncomplete(server.ExchangeOnNew(Framing::None, bytes, Cut::Reset),
                     Framing::None,
                     bytes,
                     Cut::Reset);
  }
  for (std::size_t bytes = 1; bytes < headBytes; ++bytes) {
    ExpectIncomplete(server.ExchangeOnNew(Framing::None, bytes, Cut::Close),
                     Framing::None,
                     bytes,
                     Cut::Close);
  }
}
