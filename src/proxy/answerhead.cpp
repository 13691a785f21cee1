#include "proxy/answerhead.h"

#include "common/httpstatus.h"
#include "proxy/httpheaders.h"

#include <strings.h>

#include <algorithm>
#include <charconv>
#include <string>

namespace lacewingwharf {

namespace {

constexpr int kFirstFinalStatus = 200;
constexpr int kStatusNoContent = 204;
constexpr int kStatusNotModified = 304;

} // namespace

void
AnswerHead::AddLine(std::string_view aLine)
{
  if (this->isComplete || this->isInvalid) {
    return; // A trailer, or part of an answer that is not used.
  }
  if (IsStatusLine(aLine)) {
    this->headers.clear();
    this->ReadStatusLine(aLine);
    return;
  }
  if (aLine.empty()) {
    this->isWithinHead = false;
    this->isComplete = this->status >= kFirstFinalStatus;
    return;
  }
  const auto colon = aLine.find(':');
  if (colon == std::string_view::npos) {
    return;
  }
  std::string_view value = aLine.substr(colon + 1);
  value.remove_prefix(std::min(value.find_first_not_of(" \t"), value.size()));
  AddAnswerHeader(
    this->headers, std::string(aLine.substr(0, colon)), std::string(value));
}

void
AnswerHead::ReadStatusLine(std::string_view aLine)
{
  const int read = ParseStatusLine(aLine).value_or(0);
  this->isInvalid = this->isWithinHead || !IsAnswerStatus(read);
  this->status = this->isInvalid ? 0 : read;
  this->isWithinHead = true;
}

AnswerFraming
AnswerHead::FramingFor(const HttpRequest& aRequest) const
{
  if (aRequest.method == "HEAD" || this->status == kStatusNoContent ||
      this->status == kStatusNotModified) {
    return AnswerFraming::NoBody;
  }
  const auto encoding = this->headers.find("Transfer-Encoding");
  if (encoding != this->headers.end()) {
    return strcasecmp(encoding->second.c_str(), "chunked") == 0
             ? AnswerFraming::Chunked
             : AnswerFraming::Connection;
  }
  if (!this->headers.contains("Content-Length")) {
    return AnswerFraming::Connection;
  }
  return this->AnnouncedBytes() ? AnswerFraming::Length
                                : AnswerFraming::Invalid;
}

std::optional<std::int64_t>
AnswerHead::AnnouncedBytes() const
{
  // AddAnswerHeader() joins repeated headers with commas, so they do not parse.
  const auto length = this->headers.find("Content-Length");
  if (length == this->headers.end()) {
    return std::nullopt;
  }
  std::string_view text = length->second;
  while (text.ends_with(' ') || text.ends_with('\t')) {
    text.remove_suffix(1);
  }
  std::int64_t bytes = 0;
  const auto [end, error] =
    std::from_chars(text.data(), text.data() + text.size(), bytes);
  const bool isNumber =
    error == std::errc() && end == text.data() + text.size() && bytes >= 0;
  return isNumber ? std::optional(bytes) : std::nullopt;
}

} // namespace lacewingwharf
