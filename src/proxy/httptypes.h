#pragma once

#include "common/clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace lacewingwharf {

/** Header names compare without case, as HTTP asks. */
struct HeaderLess
{
  bool operator()(const std::string& aLeft, const std::string& aRight) const;
};

using HttpHeaders = std::map<std::string, std::string, HeaderLess>;

/** A whole request of a caller or of an operator's tool. */
struct HttpRequest
{
  std::string method;
  std::string path;   // Without the query.
  std::string target; // Path and query, as sent.
  HttpHeaders headers;
  std::string body;
  std::string callerAddress;
};

/** A whole answer. */
struct HttpAnswer
{
  int status = 200;
  HttpHeaders headers;
  std::string body;
};

} // namespace lacewingwharf
