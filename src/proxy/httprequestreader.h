#pragma once

#include "proxy/httpserver.h"

#include <microhttpd.h>

#include <cstddef>
#include <string_view>

namespace lacewingwharf {

/** Builds a request from the parts that libmicrohttpd delivers. */
class HttpRequestReader
{
public:
  HttpRequestReader(const HttpServerConfig& aConfig, const char* aTarget);

  /** Returns 0 if the head is acceptable, otherwise the refusal's status. */
  int ReadHead(MHD_Connection* aConnection, const char* aMethod);

  /** Returns 0 if aBytes fit the limit, otherwise the refusal's status. */
  int ReadBody(std::string_view aBytes);

  HttpRequest TakeRequest();

private:
  int CheckFraming() const;

  const HttpServerConfig& config;
  HttpRequest request;
};

int
SocketOf(MHD_Connection* aConnection);

/** Returns null if libmicrohttpd is out of memory. */
MHD_Response*
MakeResponse(HttpAnswer aAnswer, bool aCloses);

/** Answers a request with an error status and closes its connection. */
MHD_Result
QueueRefusal(MHD_Connection* aConnection, int aStatus);

} // namespace lacewingwharf
