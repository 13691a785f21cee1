#include "proxy/httpserver.h"

#include "common/testsocket.h"
#include "proxy/headshapes.h"

#include <criterion/criterion.h>

#include <memory>
#include <string>

using namespace lacewingwharf;
using namespace lacewingwharf::headshapes;
using loopback::Socket;

namespace {

const std::string kAddress = "127.72.0.4";

// The default of the server, with the request line and all line ends.
constexpr std::size_t kMaxHeadBytes = 16384;

/** A server that answers every request with a head of a given length. */
struct Fixture
{
  Fixture()
  {
    HttpServerConfig config;
    config.address = kAddress;
    config.port = loopback::FreePort(kAddress);
    this->port = config.port;
    this->server = std::make_unique<HttpServer>(
      config,
      HttpServer::Handlers{ [this](RequestId aId, const HttpRequest&) {
                             HttpAnswer answer;
                             answer.headers["X-Long"] =
                               std::string(this->answerHeadBytes, 'h');
                             answer.body = "whole";
                             this->server->Answer(aId, answer);
                           },
                            {} });
    cr_assert(this->server->Start());
  }

  /** Sends two requests on one connection and returns the second answer. */
  std::string AnswerToSecond(const std::string& aHead, std::size_t aPieceBytes)
  {
    Socket socket;
    cr_assert(socket.Connect(kAddress, this->port));
    cr_assert(socket.Send("GET /first HTTP/1.1\r\nHost: x\r\n\r\n"));
    cr_assert(socket.ReceiveUntil("\r\n\r\nwhole").ends_with("whole"));
    for (std::size_t at = 0; at < aHead.size(); at += aPieceBytes) {
      if (!socket.Send(aHead.substr(at, aPieceBytes))) {
        return "the connection was closed while the head was sent";
      }
    }
    return socket.ReceiveUntil("\r\n\r\nwhole");
  }

  int port = 0;
  std::size_t answerHeadBytes = 100;
  std::unique_ptr<HttpServer> server;
};

} // namespace

// A request whose head is within the limit must be answered, whatever the head
// consists of: once it has run, its caller cannot send it again. A server that
// keeps a record for each cookie, argument and header in the same memory as the
// head of the answer runs out of it when these are short.
Test(longheads, EveryShapeOfHeadIsAnswered)
{
  Fixture fixture;
  for (const HeadShape& shape : kShapes) {
    for (std::size_t bytes = 1024; bytes <= kMaxHeadBytes; bytes += 1024) {
      const std::string head = HeadOf(shape, bytes);
      const std::string answer = fixture.AnswerToSecond(head, bytes);
      cr_expect(answer.starts_with("HTTP/1.1 200") && answer.ends_with("whole"),
                "%s, %zu bytes: %s",
                shape.name,
                head.size(),
                answer.substr(0, 40).c_str());
    }
  }
}

// The head of an answer must not depend on the memory that the request left.
Test(longheads, LongHeadsGetAnswersWithLongHeads)
{
  Fixture fixture;
  for (const std::size_t bytes : { 6000UL, 15000UL, 60000UL }) {
    fixture.answerHeadBytes = bytes;
    for (const HeadShape& shape : kShapes) {
      const std::string answer =
        fixture.AnswerToSecond(HeadOf(shape, kMaxHeadBytes), kMaxHeadBytes);
      cr_expect(answer.starts_with("HTTP/1.1 200") && answer.size() > bytes &&
                  answer.ends_with("whole"),
                "%s, answer with a head of %zu bytes: %s",
                shape.name,
                bytes,
                answer.substr(0, 40).c_str());
    }
  }
}

// A head that arrives in pieces is parsed again and again from its start of
// line, and must not be counted or stored twice.
Test(longheads, HeadsInSmallPiecesAreAnswered)
{
  Fixture fixture;
  for (const HeadShape& shape : kShapes) {
    const std::string answer =
      fixture.AnswerToSecond(HeadOf(shape, kMaxHeadBytes), 37);
    cr_expect(answer.starts_with("HTTP/1.1 200") && answer.ends_with("whole"),
              "%s: %s",
              shape.name,
              answer.substr(0, 40).c_str());
  }
}

// A pipelined request must not be lost with the bytes of the head before it.
Test(longheads, PipelinedRequestsWithLongHeadsAreAnswered)
{
  Fixture fixture;
  for (const HeadShape& shape : kShapes) {
    const std::string head = HeadOf(shape, kMaxHeadBytes);
    Socket socket;
    cr_assert(socket.Connect(kAddress, fixture.port));
    std::string requests = head;
    requests.append(head).append(head);
    cr_assert(socket.Send(requests));
    std::size_t answers = 0;
    std::string received;
    while (answers < 3) {
      const std::string more = socket.ReceiveUntil("\r\n\r\nwhole");
      if (more.empty()) {
        break;
      }
      received += more;
      answers = 0;
      for (auto at = received.find("\r\n\r\nwhole"); at != std::string::npos;
           at = received.find("\r\n\r\nwhole", at + 1)) {
        ++answers;
      }
    }
    cr_expect_eq(answers, 3U, "%s: %zu answers", shape.name, answers);
  }
}

// A longer head is refused with a status, so that its caller knows why.
Test(longheads, HeadsAboveTheLimitAreRefused)
{
  Fixture fixture;
  for (const HeadShape& shape : kShapes) {
    Socket socket;
    cr_assert(socket.Connect(kAddress, fixture.port));
    cr_assert(socket.Send(HeadOf(shape, kMaxHeadBytes + 512)));
    const std::string answer = socket.ReceiveAll();
    cr_expect(answer.starts_with("HTTP/1.1 431"),
              "%s: %s",
              shape.name,
              answer.substr(0, 40).c_str());
  }
}
