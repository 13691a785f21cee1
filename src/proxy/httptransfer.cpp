#include "proxy/httptransfer.h"

#include "proxy/httpheaders.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr std::size_t kMaxAnswerHeaderBytes = 65536;

// Before reuse, libcurl checks whether the backend server has closed an idle
// connection. After a longer idle time the check is not worthwhile, so the
// connection is closed.
constexpr long kMaxIdleSeconds = 30;

std::string_view
WithoutLineEnd(std::string_view aLine)
{
  while (aLine.ends_with('\n') || aLine.ends_with('\r')) {
    aLine.remove_suffix(1);
  }
  return aLine;
}

} // namespace

HttpTransfer::HttpTransfer(HttpExchange aExchange,
                           std::size_t aMaxAnswerBytes,
                           EasyHandle aHandle,
                           ClientSockets& aSockets)
  : exchange(std::move(aExchange))
  , maxAnswerBytes(aMaxAnswerBytes)
  , sockets(aSockets)
  , handle(std::move(aHandle))
  , startedAt(this->clock.PreciseNow())
{
}

HttpTransfer::~HttpTransfer() = default;

bool
HttpTransfer::Prepare()
{
  if (!this->handle || !IsMethodName(this->exchange.request.method) ||
      !this->SetHeaders()) {
    this->detail = "cannot set up the request in libcurl";
    return false;
  }
  this->SetConnection();
  this->SetMethod();
  this->SetCallbacks();
  return true;
}

void
HttpTransfer::SetConnection()
{
  CURL* curl = this->handle.get();
  const long timeoutMillis =
    std::max<long>(1, static_cast<long>(this->exchange.timeout));
  curl_easy_setopt(curl, CURLOPT_URL, this->exchange.url.c_str());
  curl_easy_setopt(curl, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(curl, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(curl, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  // Ignore proxy settings in the environment: they must not redirect calls.
  curl_easy_setopt(curl, CURLOPT_PROXY, "");
  curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, timeoutMillis);
  curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, timeoutMillis);
  curl_easy_setopt(curl, CURLOPT_MAXAGE_CONN, kMaxIdleSeconds);
  // Idle connections count towards a backend server's limit, so a connection
  // made for a single request is closed after it.
  const long isSingleUse = this->exchange.needsNewConnection ? 1L : 0L;
  curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, isSingleUse);
  curl_easy_setopt(curl, CURLOPT_FORBID_REUSE, isSingleUse);
}

void
HttpTransfer::SetMethod()
{
  CURL* curl = this->handle.get();
  const HttpRequest& request = this->exchange.request;
  const bool takesBody = request.method == "POST" || request.method == "PUT" ||
                         request.method == "PATCH" || !request.body.empty();
  if (request.method == "HEAD") {
    curl_easy_setopt(curl, CURLOPT_NOBODY, 1L);
    return;
  }
  if (takesBody) {
    curl_easy_setopt(curl, CURLOPT_POST, 1L);
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, request.body.data());
    curl_easy_setopt(curl,
                     CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request.body.size()));
  }
  curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, request.method.c_str());
}

void
HttpTransfer::SetCallbacks()
{
  CURL* curl = this->handle.get();
  curl_easy_setopt(curl, CURLOPT_PRIVATE, this);
  curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, &HttpTransfer::OnHeader);
  curl_easy_setopt(curl, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, &HttpTransfer::OnBody);
  curl_easy_setopt(curl, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(curl, CURLOPT_PREREQFUNCTION, &HttpTransfer::OnRequestStart);
  curl_easy_setopt(curl, CURLOPT_PREREQDATA, this);
  this->sockets.Track(curl);
}

bool
HttpTransfer::SetHeaders()
{
  HttpHeaders& headers = this->exchange.request.headers;
  RemoveHopByHop(headers);
  // A name without a value stops libcurl from adding its default header.
  for (const char* name :
       { "Accept", "Expect", "Content-Type", "User-Agent" }) {
    if (!headers.contains(name) &&
        !this->AppendHeaderLine(std::string(name) + ":")) {
      return false;
    }
  }
  for (const auto& [name, value] : headers) {
    if (!IsSafeHeader(name, value)) {
      return false;
    }
    // libcurl sends a header with an empty value only if a semicolon follows
    // the name.
    const std::string line =
      value.empty() ? name + ";" : fmt::format("{}: {}", name, value);
    if (!this->AppendHeaderLine(line)) {
      return false;
    }
  }
  curl_easy_setopt(
    this->handle.get(), CURLOPT_HTTPHEADER, this->headerList.get());
  return true;
}

bool
HttpTransfer::AppendHeaderLine(const std::string& aLine)
{
  // libcurl walks from the given line to the last one, so it gets the last one.
  curl_slist* const line = curl_slist_append(this->lastHeader, aLine.c_str());
  if (line == nullptr) {
    return false;
  }
  if (!this->headerList) {
    this->headerList.reset(line);
  }
  this->lastHeader = line->next == nullptr ? line : line->next;
  return true;
}

int
HttpTransfer::OnRequestStart(void* aTransfer,
                             char* /*aRemoteAddress*/,
                             char* /*aLocalAddress*/,
                             int aRemotePort,
                             int aLocalPort)
{
  auto* transfer = static_cast<HttpTransfer*>(aTransfer);
  // libcurl would read these bytes as the answer to the request.
  transfer->hasUnreadBytes =
    transfer->sockets.HasUnreadBytes(aLocalPort, aRemotePort);
  if (transfer->hasUnreadBytes) {
    return CURL_PREREQFUNC_ABORT;
  }
  transfer->wasRequestStarted = true;
  return CURL_PREREQFUNC_OK;
}

std::size_t
HttpTransfer::OnHeader(char* aBytes,
                       std::size_t aSize,
                       std::size_t aCount,
                       void* aTransfer)
{
  auto* transfer = static_cast<HttpTransfer*>(aTransfer);
  const std::size_t bytes = aSize * aCount;
  transfer->headerBytes += bytes;
  if (transfer->headerBytes > kMaxAnswerHeaderBytes) {
    transfer->isAnswerTooLong = true;
    return 0;
  }
  const std::string_view line = WithoutLineEnd({ aBytes, bytes });
  transfer->head.AddLine(line);
  if (transfer->head.IsInvalid()) {
    return 0; // Ends the transfer and closes the connection.
  }
  if (transfer->head.IsComplete() && transfer->IsAnswerToOtherRequest()) {
    transfer->isForOtherRequest = true;
    return 0; // Ends the transfer and closes the connection.
  }
  return bytes;
}

bool
HttpTransfer::IsAnswerToOtherRequest() const
{
  const std::string& name = this->exchange.echoedHeader;
  const auto answered = this->head.headers.find(name);
  const auto sent = this->exchange.request.headers.find(name);
  return !name.empty() && sent != this->exchange.request.headers.end() &&
         (answered == this->head.headers.end() ||
          answered->second != sent->second);
}

std::size_t
HttpTransfer::OnBody(char* aBytes,
                     std::size_t aSize,
                     std::size_t aCount,
                     void* aTransfer)
{
  auto* transfer = static_cast<HttpTransfer*>(aTransfer);
  const std::size_t bytes = aSize * aCount;
  if (transfer->body.size() + bytes > transfer->maxAnswerBytes) {
    transfer->isAnswerTooLong = true;
    return 0;
  }
  transfer->body.append(aBytes, bytes);
  return bytes;
}

ExchangeResult
HttpTransfer::Finish(CURLcode aCode)
{
  const ExchangeEnd end = this->ClassifyEnd(aCode);
  if (this->detail.empty() && aCode != CURLE_OK) {
    this->detail = curl_easy_strerror(aCode);
  }
  return this->MakeResult(end);
}

ExchangeResult
HttpTransfer::Cancel()
{
  return this->MakeResult(ExchangeEnd::Cancelled);
}

EasyHandle
HttpTransfer::TakeHandle()
{
  // The options of the handle point to this transfer.
  curl_easy_reset(this->handle.get());
  return std::move(this->handle);
}

ExchangeEnd
HttpTransfer::ClassifyEnd(CURLcode aCode)
{
  if (!this->wasRequestStarted) {
    return ExchangeEnd::NotConnected;
  }
  if (aCode == CURLE_OPERATION_TIMEDOUT) {
    return ExchangeEnd::TimedOut;
  }
  if (this->isAnswerTooLong) {
    this->detail = "the answer is too long";
    return ExchangeEnd::Incomplete;
  }
  if (this->head.IsInvalid()) {
    this->detail = "the answer has no valid status";
    return ExchangeEnd::Incomplete;
  }
  if (this->isForOtherRequest) {
    this->detail = "the answer belongs to another request";
    return ExchangeEnd::Incomplete;
  }
  if (aCode != CURLE_OK) {
    return ExchangeEnd::Incomplete;
  }
  this->detail = this->FindBrokenFraming();
  return this->detail.empty() ? ExchangeEnd::Answered : ExchangeEnd::Incomplete;
}

/**
 * Finds answers that libcurl takes for complete although they may be truncated.
 * Returns an empty text if there is no such fault.
 */
std::string
HttpTransfer::FindBrokenFraming() const
{
  if (!this->head.IsComplete()) {
    return "the connection was closed within the head of the answer";
  }
  switch (this->head.FramingFor(this->exchange.request)) {
    case AnswerFraming::Invalid:
      return "the answer has no valid Content-Length";
    case AnswerFraming::Connection:
      return this->exchange.unframedBody == UnframedBody::Incomplete
               ? "the answer has neither a Content-Length nor chunks"
               : "";
    default:
      return "";
  }
}

ExchangeResult
HttpTransfer::MakeResult(ExchangeEnd aEnd)
{
  ExchangeResult result;
  result.id = this->exchange.id;
  result.end = aEnd;
  result.durationMillis = this->clock.PreciseNow() - this->startedAt;
  result.detail = std::move(this->detail);
  result.framing = this->head.FramingFor(this->exchange.request);
  result.announcedBytes = this->head.AnnouncedBytes().value_or(-1);
  result.receivedBytes = static_cast<std::int64_t>(this->body.size());
  if (aEnd == ExchangeEnd::Answered) {
    result.answer.status = this->head.status;
    result.answer.headers = std::move(this->head.headers);
    result.answer.body = std::move(this->body);
    result.answer.endsWithConnection =
      result.framing == AnswerFraming::Connection;
    RemoveHopByHop(result.answer.headers);
  }
  return result;
}

} // namespace lacewingwharf
