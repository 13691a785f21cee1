#include "store/storetransfer.h"

#include "common/httpstatus.h"

#include <curl/curl.h>
#include <fmt/format.h>
#include <strings.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <mutex>

namespace lacewingwharf {

namespace {

constexpr std::string_view kRevisionHeader = "Object-Revision";

struct TransferState
{
  const TransferRequest* request = nullptr;
  TransferAnswer answer;
  std::size_t sentBytes = 0;
  bool isTooLarge = false;
  bool hasInvalidStatus = false;
};

std::size_t
OnBody(char* aData, std::size_t aSize, std::size_t aCount, void* aState)
{
  auto& state = *static_cast<TransferState*>(aState);
  const std::size_t bytes = aSize * aCount;
  if (state.answer.body.size() + bytes > state.request->maxAnswerBytes) {
    state.isTooLarge = true;
    return 0;
  }
  state.answer.body.append(aData, bytes);
  return bytes;
}

/** The number in a header line, if the line is the named header. */
std::optional<std::int64_t>
NumberInHeader(std::string_view aLine, std::string_view aName)
{
  if (aName.empty() || aLine.size() <= aName.size() ||
      aLine[aName.size()] != ':' ||
      strncasecmp(aLine.data(), aName.data(), aName.size()) != 0) {
    return std::nullopt;
  }
  std::string_view text = aLine.substr(aName.size() + 1);
  text.remove_prefix(std::min(text.find_first_not_of(" \t"), text.size()));
  text = text.substr(0, text.find_last_not_of(" \t\r\n") + 1);
  std::int64_t number = 0;
  const auto [end, error] =
    std::from_chars(text.data(), text.data() + text.size(), number);
  const bool isNumber =
    error == std::errc() && end == text.data() + text.size() && number >= 0;
  return isNumber ? std::optional(number) : std::nullopt;
}

std::size_t
OnHeader(char* aData, std::size_t aSize, std::size_t aCount, void* aState)
{
  auto& state = *static_cast<TransferState*>(aState);
  const std::size_t bytes = aSize * aCount;
  std::string_view line(aData, bytes);
  line = line.substr(0, line.find_last_not_of("\r\n") + 1);
  if (IsStatusLine(line)) {
    // A head with an interim status may precede the answer.
    state.answer.era.reset();
    state.hasInvalidStatus = !IsAnswerStatus(ParseStatusLine(line).value_or(0));
    if (state.hasInvalidStatus) {
      return 0; // Ends the transfer and closes the connection.
    }
  }
  if (const auto revision = NumberInHeader(line, kRevisionHeader)) {
    state.answer.objectRevision = *revision;
  }
  if (const auto era = NumberInHeader(line, state.request->eraHeader)) {
    state.answer.era = *era;
  }
  return bytes;
}

std::size_t
OnUpload(char* aBuffer, std::size_t aSize, std::size_t aCount, void* aState)
{
  auto& state = *static_cast<TransferState*>(aState);
  const std::string& body = state.request->body;
  const std::size_t bytes =
    std::min(aSize * aCount, body.size() - state.sentBytes);
  std::copy_n(body.data() + state.sentBytes, bytes, aBuffer);
  state.sentBytes += bytes;
  return bytes;
}

int
OnProgress(void* aState, curl_off_t, curl_off_t, curl_off_t, curl_off_t)
{
  const auto& state = *static_cast<TransferState*>(aState);
  const auto& shouldStop = state.request->shouldStop;
  return shouldStop && shouldStop() ? 1 : 0;
}

/**
 * Keeps libcurl from sending a write twice. libcurl sends a request again if a
 * reused connection closes before the answer arrives. The second write would
 * conflict with the first and be reported as a conflict.
 */
void
DisableResend(CURL* aHandle, TransferState& aState)
{
  if (aState.request->kind == TransferRequest::Kind::Remove) {
    curl_easy_setopt(aHandle, CURLOPT_CUSTOMREQUEST, "DELETE");
    curl_easy_setopt(aHandle, CURLOPT_FRESH_CONNECT, 1L);
    return;
  }
  const auto size = static_cast<curl_off_t>(aState.request->body.size());
  curl_easy_setopt(aHandle, CURLOPT_UPLOAD, 1L);
  if (aState.request->kind == TransferRequest::Kind::Create) {
    curl_easy_setopt(aHandle, CURLOPT_CUSTOMREQUEST, "POST");
  }
  curl_easy_setopt(aHandle, CURLOPT_INFILESIZE_LARGE, size);
  // Without a seek function libcurl cannot rewind the body, so it fails instead
  // of sending the request again. An empty body needs no rewind, so it is
  // sent on a fresh connection instead.
  curl_easy_setopt(aHandle, CURLOPT_READFUNCTION, OnUpload);
  curl_easy_setopt(aHandle, CURLOPT_READDATA, &aState);
  curl_easy_setopt(aHandle, CURLOPT_FRESH_CONNECT, size == 0 ? 1L : 0L);
}

} // namespace

class StoreTransfer::Impl
{
public:
  Impl()
  {
    static std::once_flag sInitialised;
    std::call_once(sInitialised, [] { curl_global_init(CURL_GLOBAL_ALL); });
    this->handle = curl_easy_init();
  }

  ~Impl() { curl_easy_cleanup(this->handle); }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  PlatformResult<TransferAnswer> Run(const TransferRequest& aRequest)
  {
    TransferState state;
    state.request = &aRequest;
    this->Configure(state);
    curl_slist* headers = this->SetHeaders(aRequest);
    const CURLcode code = curl_easy_perform(this->handle);
    curl_slist_free_all(headers);
    this->needsNewConnection = code != CURLE_OK;
    if (code != CURLE_OK) {
      return failure(this->MakeError(code, state));
    }
    curl_easy_getinfo(
      this->handle, CURLINFO_RESPONSE_CODE, &state.answer.status);
    return std::move(state.answer);
  }

private:
  void Configure(TransferState& aState)
  {
    const TransferRequest& request = *aState.request;
    curl_easy_reset(this->handle);
    curl_easy_setopt(this->handle, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(this->handle, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(this->handle, CURLOPT_PROXY, "");
    curl_easy_setopt(this->handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(this->handle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    // libcurl replaces a timeout of 0 with its default, so use at least 1 ms.
    curl_easy_setopt(
      this->handle,
      CURLOPT_CONNECTTIMEOUT_MS,
      static_cast<long>(std::max<Millis>(1, request.connectTimeout)));
    curl_easy_setopt(this->handle,
                     CURLOPT_TIMEOUT_MS,
                     static_cast<long>(std::max<Millis>(1, request.timeout)));
    curl_easy_setopt(this->handle, CURLOPT_WRITEFUNCTION, OnBody);
    curl_easy_setopt(this->handle, CURLOPT_WRITEDATA, &aState);
    curl_easy_setopt(this->handle, CURLOPT_HEADERFUNCTION, OnHeader);
    curl_easy_setopt(this->handle, CURLOPT_HEADERDATA, &aState);
    curl_easy_setopt(this->handle, CURLOPT_NOPROGRESS, 0L);
    curl_easy_setopt(this->handle, CURLOPT_XFERINFOFUNCTION, OnProgress);
    curl_easy_setopt(this->handle, CURLOPT_XFERINFODATA, &aState);
    if (request.kind != TransferRequest::Kind::Read) {
      DisableResend(this->handle, aState);
    }
    if (this->needsNewConnection) {
      curl_easy_setopt(this->handle, CURLOPT_FRESH_CONNECT, 1L);
    }
  }

  curl_slist* SetHeaders(const TransferRequest& aRequest)
  {
    // An empty Expect header disables the wait for "100 Continue".
    curl_slist* headers = curl_slist_append(nullptr, "Expect:");
    for (const std::string& header : aRequest.headers) {
      headers = curl_slist_append(headers, header.c_str());
    }
    curl_easy_setopt(this->handle, CURLOPT_HTTPHEADER, headers);
    return headers;
  }

  PlatformError MakeError(CURLcode aCode, const TransferState& aState) const
  {
    if (aState.isTooLarge) {
      return { PlatformErrorCode::TooLarge,
               "the answer exceeds the size limit" };
    }
    if (aState.hasInvalidStatus) {
      // A write may have taken effect.
      return { PlatformErrorCode::TimedOut,
               fmt::format("{}: the answer has no valid status",
                           aState.request->url) };
    }
    long sentBytes = 0;
    curl_easy_getinfo(this->handle, CURLINFO_REQUEST_SIZE, &sentBytes);
    const auto code = sentBytes == 0 ? PlatformErrorCode::Unreachable
                                     : PlatformErrorCode::TimedOut;
    return { code,
             fmt::format(
               "{}: {}", aState.request->url, curl_easy_strerror(aCode)) };
  }

  CURL* handle = nullptr;
  bool needsNewConnection = false;
};

StoreTransfer::StoreTransfer()
  : impl(std::make_unique<Impl>())
{
}

StoreTransfer::~StoreTransfer() = default;

PlatformResult<TransferAnswer>
StoreTransfer::Run(const TransferRequest& aRequest)
{
  return this->impl->Run(aRequest);
}

std::string
EscapeObjectName(std::string_view aName)
{
  constexpr std::string_view kUnescaped = "-._~/";
  std::string escaped;
  for (const char character : aName) {
    const auto byte = static_cast<unsigned char>(character);
    if (std::isalnum(byte) != 0 ||
        kUnescaped.find(character) != std::string_view::npos) {
      escaped += character;
    } else {
      escaped += fmt::format("%{:02X}", byte);
    }
  }
  return escaped;
}

} // namespace lacewingwharf
