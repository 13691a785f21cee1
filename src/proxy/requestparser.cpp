#include "proxy/requestparser.h"

#include "proxy/httpheaders.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>

#include <algorithm>
#include <charconv>
#include <limits>
#include <string>
#include <utility>

#include <strings.h>

namespace lacewingwharf {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr int kBadRequest = 400;
constexpr int kContentTooLarge = 413;
constexpr int kHeadTooLarge = 431;

// A chunked body always has this many bytes left: those of its last chunk.
// Beast asserts that it gets them at once, and so would end a process that is
// built with assertions.
constexpr std::size_t kLastChunkBytes = 5;

// Memory of a header besides its texts: a node of the table and two strings. A
// head of 16 KiB of empty headers takes 300 KiB.
constexpr std::size_t kHeaderBytes = 128;

// A larger body is refused by its size. This only limits how much memory is
// reserved at once for an announced body.
constexpr std::size_t kMaxReservedBytes = 65536;

// A body without an announced length reserves up to twice its size. A complete
// one that has reserved more than this part of its size gives it back.
constexpr std::size_t kMaxReservePart = 8;

std::string
ToString(beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

} // namespace

/** Collects the parts that Boost.Beast finds into an HttpRequest. */
class RequestParser::Grammar : public http::basic_parser<true>
{
public:
  explicit Grammar(std::size_t aMaxBodyBytes)
    : maxBodyBytes(aMaxBodyBytes)
  {
    // RequestParser checks the sizes. Beast would not count the lines of a head
    // that arrives in pieces.
    this->header_limit(std::numeric_limits<std::uint32_t>::max());
    this->body_limit(std::numeric_limits<std::uint64_t>::max());
    this->eager(false);
  }

  HttpRequest request;
  bool isVersion11 = false;
  bool isBodyTooLong = false;
  std::size_t headerBytes = 0; // Of the table of headers.

private:
  void on_request_impl(http::verb /*aVerb*/,
                       beast::string_view aMethod,
                       beast::string_view aTarget,
                       int aVersion,
                       beast::error_code& /*aError*/) override
  {
    this->isVersion11 = aVersion == 11;
    this->request.method = ToString(aMethod);
    this->request.target = ToString(aTarget);
    this->request.path =
      this->request.target.substr(0, this->request.target.find('?'));
  }

  void on_response_impl(int /*aStatus*/,
                        beast::string_view /*aReason*/,
                        int /*aVersion*/,
                        beast::error_code& /*aError*/) override
  {
  }

  void on_field_impl(http::field /*aField*/,
                     beast::string_view aName,
                     beast::string_view aValue,
                     beast::error_code& /*aError*/) override
  {
    if (!this->isHeadComplete) { // Trailers are dropped.
      this->headerBytes += kHeaderBytes + aName.size() + aValue.size();
      AddRequestHeader(
        this->request.headers, ToString(aName), ToString(aValue));
    }
  }

  void on_header_impl(beast::error_code& /*aError*/) override
  {
    this->isHeadComplete = true;
  }

  void on_body_init_impl(const boost::optional<std::uint64_t>& aLength,
                         beast::error_code& /*aError*/) override
  {
    this->announcedBytes =
      std::min<std::uint64_t>(aLength.value_or(0), this->maxBodyBytes);
    this->request.body.reserve(
      std::min(this->announcedBytes, kMaxReservedBytes));
  }

  std::size_t on_body_impl(beast::string_view aBytes,
                           beast::error_code& aError) override
  {
    if (this->request.body.size() + aBytes.size() > this->maxBodyBytes) {
      this->isBodyTooLong = true;
      aError = http::make_error_code(http::error::body_limit);
      return 0;
    }
    this->ReserveFor(this->request.body.size() + aBytes.size());
    this->request.body.append(aBytes.data(), aBytes.size());
    return aBytes.size();
  }

  void on_chunk_header_impl(std::uint64_t aSize,
                            beast::string_view /*aExtensions*/,
                            beast::error_code& aError) override
  {
    if (aSize > this->maxBodyBytes) {
      this->isBodyTooLong = true;
      aError = http::make_error_code(http::error::body_limit);
    }
  }

  std::size_t on_chunk_body_impl(std::uint64_t /*aRemaining*/,
                                 beast::string_view aBytes,
                                 beast::error_code& aError) override
  {
    return this->on_body_impl(aBytes, aError);
  }

  void on_finish_impl(beast::error_code& /*aError*/) override
  {
    std::string& body = this->request.body;
    if (body.capacity() - body.size() > body.size() / kMaxReservePart) {
      body.shrink_to_fit();
    }
  }

  /** Doubles the memory of an announced body, but never above its length. */
  void ReserveFor(std::size_t aBytes)
  {
    std::string& body = this->request.body;
    if (aBytes <= body.capacity() || aBytes > this->announcedBytes) {
      return;
    }
    // A string that is not empty would reserve at least twice its capacity.
    std::string larger;
    larger.reserve(
      std::min(this->announcedBytes, std::max(aBytes, 2 * body.capacity())));
    larger.append(body);
    body.swap(larger);
  }

  std::size_t maxBodyBytes;
  std::size_t announcedBytes = 0; // 0 without a length.
  bool isHeadComplete = false;
};

RequestParser::RequestParser(const RequestLimits& aLimits)
  : limits(aLimits)
  , grammar(std::make_unique<Grammar>(aLimits.bodyBytes))
{
}

RequestParser::~RequestParser() = default;

std::size_t
RequestParser::Feed(std::string_view aBytes)
{
  std::size_t consumed = 0;
  if (!this->grammar->got_some()) {
    // Some callers send an empty line after the body of the last request.
    while (aBytes.substr(consumed).starts_with("\r\n")) {
      consumed += 2;
    }
    if (aBytes.substr(consumed) == "\r") {
      return consumed;
    }
  }
  this->FeedGrammar(aBytes, consumed);
  return consumed;
}

void
RequestParser::FeedGrammar(std::string_view aBytes, std::size_t& aConsumed)
{
  while (aConsumed < aBytes.size() && this->state != RequestState::Complete &&
         this->state != RequestState::Refused) {
    const std::string_view rest = aBytes.substr(aConsumed);
    if (this->state == RequestState::ReadingBody && this->grammar->chunked() &&
        rest.size() < kLastChunkBytes) {
      return;
    }
    beast::error_code error;
    const std::size_t parsed = this->grammar->put(
      boost::asio::const_buffer(rest.data(), rest.size()), error);
    aConsumed += parsed;
    if (this->state == RequestState::ReadingHead) {
      this->headBytes += parsed;
    }
    if (error == http::error::need_more) {
      this->CheckPendingBytes(rest.size() - parsed);
      return;
    }
    if (error) {
      this->Refuse(
        { this->grammar->isBodyTooLong ? kContentTooLarge : kBadRequest,
          error.message() });
      return;
    }
    if (this->state == RequestState::ReadingHead &&
        this->grammar->is_header_done()) {
      this->FinishHead();
    }
    if (this->state != RequestState::Refused && this->grammar->is_done()) {
      this->state = RequestState::Complete;
    }
  }
}

void
RequestParser::FinishHead()
{
  this->state = RequestState::ReadingBody;
  if (RequestRefusal found = this->CheckHead(); found.status != 0) {
    this->Refuse(std::move(found));
  }
}

/** Limits the unparsed bytes: a head, or the head or trailers of a chunk. */
void
RequestParser::CheckPendingBytes(std::size_t aBytes)
{
  const std::size_t parsed =
    this->state == RequestState::ReadingHead ? this->headBytes : 0;
  if (parsed + aBytes > this->limits.headBytes) {
    this->Refuse({ kHeadTooLarge, "the head is too long" });
  }
}

/** Returns the status 0 if the head is acceptable. */
RequestRefusal
RequestParser::CheckHead() const
{
  if (this->headBytes > this->limits.headBytes) {
    return { kHeadTooLarge, "the head is too long" };
  }
  const HttpRequest& request = this->grammar->request;
  if (!request.path.starts_with('/') || !IsMethodName(request.method)) {
    return { kBadRequest, "bad method or target" };
  }
  if (this->grammar->isVersion11 && !request.headers.contains("Host")) {
    return { kBadRequest, "no Host header" };
  }
  return this->CheckFraming();
}

/**
 * Rejects requests with ambiguous framing. Servers differ in which of two
 * framings they use, so a second request could be hidden in the body (request
 * smuggling). Repeated headers were joined with a comma, so that neither a
 * repeated Content-Length nor a list of encodings passes.
 */
RequestRefusal
RequestParser::CheckFraming() const
{
  const HttpHeaders& headers = this->grammar->request.headers;
  const auto encoding = headers.find("Transfer-Encoding");
  const auto length = headers.find("Content-Length");
  if (encoding != headers.end()) {
    const bool isChunked = strcasecmp(encoding->second.c_str(), "chunked") == 0;
    if (isChunked && length == headers.end()) {
      return {};
    }
    return { kBadRequest, "ambiguous Transfer-Encoding" };
  }
  if (length == headers.end()) {
    return {};
  }
  std::size_t bytes = 0;
  const std::string& text = length->second;
  const auto [end, error] =
    std::from_chars(text.data(), text.data() + text.size(), bytes);
  if (error != std::errc() || end != text.data() + text.size()) {
    return { kBadRequest, "bad Content-Length" };
  }
  if (bytes > this->limits.bodyBytes) {
    return { kContentTooLarge, "the body is too long" };
  }
  return {};
}

void
RequestParser::Refuse(RequestRefusal aRefusal)
{
  this->state = RequestState::Refused;
  this->refusal = std::move(aRefusal);
}

RequestState
RequestParser::State() const
{
  return this->state;
}

bool
RequestParser::HasStarted() const
{
  return this->grammar->got_some();
}

const RequestRefusal&
RequestParser::Refusal() const
{
  return this->refusal;
}

bool
RequestParser::ExpectsContinue() const
{
  const HttpHeaders& headers = this->grammar->request.headers;
  const auto expectation = headers.find("Expect");
  return this->state == RequestState::ReadingBody &&
         expectation != headers.end() &&
         strcasecmp(expectation->second.c_str(), "100-continue") == 0;
}

bool
RequestParser::KeepsConnection() const
{
  return this->grammar->isVersion11 && this->grammar->keep_alive();
}

std::size_t
RequestParser::StoredBytes() const
{
  return this->headBytes + this->grammar->request.body.size();
}

std::size_t
RequestParser::HeldBytes() const
{
  const HttpRequest& request = this->grammar->request;
  return this->headBytes + this->grammar->headerBytes + request.body.capacity();
}

HttpRequest
RequestParser::TakeRequest()
{
  return std::move(this->grammar->request);
}

} // namespace lacewingwharf
