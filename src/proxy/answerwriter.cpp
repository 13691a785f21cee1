#include "proxy/answerwriter.h"

#include "proxy/httpheaders.h"

#include <boost/beast/http/status.hpp>
#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <ctime>
#include <iterator>
#include <string_view>

#include <strings.h>

namespace lacewingwharf {

namespace {

constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

bool
HasBody(int aStatus)
{
  return aStatus != kNoContent && aStatus != kNotModified;
}

void
AppendLine(std::string& aHead, std::string_view aName, std::string_view aValue)
{
  if (IsSafeHeader(aName, aValue)) {
    fmt::format_to(std::back_inserter(aHead), "{}: {}\r\n", aName, aValue);
  }
}

void
AppendHeader(std::string& aHead,
             const std::string& aName,
             std::string_view aValue)
{
  // AddAnswerHeader() puts line feeds between Set-Cookie lines, and only there.
  if (strcasecmp(aName.c_str(), "Set-Cookie") != 0) {
    AppendLine(aHead, aName, aValue);
    return;
  }
  while (true) {
    const auto end = std::min(aValue.find('\n'), aValue.size());
    AppendLine(aHead, aName, aValue.substr(0, end));
    if (end == aValue.size()) {
      return;
    }
    aValue.remove_prefix(end + 1);
  }
}

} // namespace

std::string_view
ReasonOf(int aStatus)
{
  namespace http = boost::beast::http;
  const auto reason =
    http::obsolete_reason(http::int_to_status(static_cast<unsigned>(aStatus)));
  return { reason.data(), reason.size() };
}

std::string
FormatAnswerHead(const HttpAnswer& aAnswer, const AnswerFormat& aFormat)
{
  HttpHeaders headers = aAnswer.headers;
  RemoveHopByHop(headers);
  std::string head =
    fmt::format("HTTP/1.1 {} {}\r\n", aAnswer.status, ReasonOf(aAnswer.status));
  for (const auto& [name, value] : headers) {
    AppendHeader(head, name, value);
  }
  if (!headers.contains("Date")) {
    fmt::format_to(std::back_inserter(head),
                   "Date: {:%a, %d %b %Y %H:%M:%S} GMT\r\n",
                   fmt::gmtime(std::time(nullptr)));
  }
  if (SendsBody(aAnswer, aFormat) && !aAnswer.endsWithConnection) {
    fmt::format_to(
      std::back_inserter(head), "Content-Length: {}\r\n", aAnswer.body.size());
  }
  if (aFormat.announcesClose) {
    head += "Connection: close\r\n";
  }
  return head + "\r\n";
}

bool
SendsBody(const HttpAnswer& aAnswer, const AnswerFormat& aFormat)
{
  return HasBody(aAnswer.status) && !aFormat.isAnswerToHead;
}

} // namespace lacewingwharf
