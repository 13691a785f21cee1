#pragma once

#include "common/clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace lacewingwharf {

/** Orders header names without regard to case, as HTTP requires. */
struct HeaderLess
{
  bool operator()(const std::string& aLeft, const std::string& aRight) const;
};

using HttpHeaders = std::map<std::string, std::string, HeaderLess>;

/** Identifies a request within a server. Ids are never reused. */
using RequestId = std::uint64_t;

/** A complete request from a caller or an operator's tool. */
struct HttpRequest
{
  std::string method;
  std::string path;   // Without the query.
  std::string target; // Path and query, as sent.
  HttpHeaders headers;
  std::string body;
  std::string callerAddress;

  /** How long it waited behind other requests of its connection. */
  Millis waited = 0;
};

/** A complete HTTP answer. */
struct HttpAnswer
{
  int status = 200;
  HttpHeaders headers;
  std::string body;

  /**
   * The end of the connection ends the body, because its length was never
   * announced. It is forwarded in the same way: with a length that the daemon
   * adds, a truncated body would look complete.
   */
  bool endsWithConnection = false;
};

} // namespace lacewingwharf
