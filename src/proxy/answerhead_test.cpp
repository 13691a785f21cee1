#include "proxy/answerhead.h"

#include <criterion/criterion.h>

#include <initializer_list>

using namespace lacewingwharf;

namespace {

AnswerHead
HeadOf(std::initializer_list<const char*> aLines)
{
  AnswerHead head;
  for (const char* line : aLines) {
    head.AddLine(line);
  }
  return head;
}

HttpRequest
RequestWith(const char* aMethod)
{
  HttpRequest request;
  request.method = aMethod;
  return request;
}

AnswerFraming
FramingOf(std::initializer_list<const char*> aLines)
{
  return HeadOf(aLines).FramingFor(RequestWith("GET"));
}

} // namespace

// A server that closes within the head has not sent the headers that follow, so
// the head must not count as complete. An informational head is not the answer.
Test(answerhead, only_the_empty_line_of_a_final_head_completes_it)
{
  cr_expect_not(HeadOf({}).IsComplete());
  cr_expect_not(HeadOf({ "HTTP/1.1 200 OK", "A: 1" }).IsComplete());
  cr_expect_not(HeadOf({ "HTTP/1.1 100 Continue", "" }).IsComplete());
  cr_expect_not(
    HeadOf({ "HTTP/1.1 100 Continue", "", "HTTP/1.1 200 OK" }).IsComplete());
  const AnswerHead head =
    HeadOf({ "HTTP/1.1 100 Continue", "X: 1", "", "HTTP/1.1 201 Created", "" });
  cr_expect(head.IsComplete());
  cr_expect_eq(head.status, 201);
  cr_expect(head.headers.empty());
}

// A trailer is sent after the body. It must not add a header, such as one that
// says that the request did not run, to the head of the answer.
Test(answerhead, trailers_do_not_change_the_head)
{
  const AnswerHead head = HeadOf(
    { "HTTP/1.1 200 OK", "Transfer-Encoding: chunked", "", "X-Late: 1", "" });
  cr_expect(head.IsComplete());
  cr_expect_not(head.headers.contains("X-Late"));
}

// The framing decides whether a truncated body can be recognized.
Test(answerhead, the_framing_follows_from_the_headers)
{
  cr_expect_eq(FramingOf({ "HTTP/1.1 200 OK", "Content-Length: 5 ", "" }),
               AnswerFraming::Length);
  cr_expect_eq(FramingOf({ "HTTP/1.1 200 OK",
                           "Content-Length: 5",
                           "Transfer-Encoding: Chunked",
                           "" }),
               AnswerFraming::Chunked);
  cr_expect_eq(FramingOf({ "HTTP/1.1 200 OK", "" }), AnswerFraming::Connection);
  cr_expect_eq(FramingOf({ "HTTP/1.1 200 OK", "Transfer-Encoding: gzip", "" }),
               AnswerFraming::Connection);
  cr_expect_eq(FramingOf({ "HTTP/1.1 204 No Content", "" }),
               AnswerFraming::NoBody);
  cr_expect_eq(HeadOf({ "HTTP/1.1 200 OK", "Content-Length: 5", "" })
                 .FramingFor(RequestWith("HEAD")),
               AnswerFraming::NoBody);
}

// With two lengths, or one that is not a number, the end of the body is
// unknown: libcurl takes the last length and drops the rest of the body.
Test(answerhead, contradictory_lengths_are_invalid)
{
  for (const char* length :
       { "4, 10", "", "-1", "4x", "99999999999999999999" }) {
    AnswerHead head;
    head.AddLine("HTTP/1.1 200 OK");
    head.AddLine(std::string("Content-Length: ") + length);
    head.AddLine("");
    cr_expect_eq(head.FramingFor(RequestWith("GET")),
                 AnswerFraming::Invalid,
                 "length '%s'",
                 length);
  }
}

// Only 100 to 599 is a status, written with three digits. Anything else must
// not make a final head, and not an interim one that is skipped.
Test(answerhead, an_invalid_status_line_makes_no_head)
{
  for (const char* line : { "HTTP/1.1 600 X",
                            "HTTP/1.1 1000 X",
                            "HTTP/1.1 099 X",
                            "HTTP/1.1 000 X",
                            "HTTP/1.1 +200 OK",
                            "HTTP/1.1  200 OK",
                            "HTTP/1.1 200x OK",
                            "HTTP/1.1 20 OK",
                            "HTTP/1.1",
                            "HTTP/1.1 101 X" }) {
    const AnswerHead head = HeadOf({ line, "", "HTTP/1.1 200 OK", "" });
    cr_expect_not(head.IsComplete(), "%s", line);
    cr_expect(head.IsInvalid(), "%s", line);
  }
  cr_expect(
    HeadOf({ "HTTP/1.1 100 Continue", "", "HTTP/1.1 599", "" }).IsComplete());
}
