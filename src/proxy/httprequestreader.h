#pragma once

#include "proxy/httpserver.h"

#include <microhttpd.h>

#include <cstddef>
#include <string_view>

namespace lacewingwharf {

/** Builds a request from what libmicrohttpd hands over piece by piece. */
class HttpRequestReader
{
public:
  HttpRequestReader(const HttpServerConfig& aConfig, const char* aTarget);

  /** 0 when the head may be accepted, else the status to refuse it with. */
  int ReadHead(MHD_Connection* aConnection, const char* aMethod);

  /** 0, or the status to refuse the request with. */
  int ReadBody(std::string_view aBytes);

  HttpRequest Take();

private:
  int CheckFraming() const;

  const HttpServerConfig& config;
  HttpRequest request;
};

int
SocketOf(MHD_Connection* aConnection);

/** Takes the body; null when libmicrohttpd is out of memory. */
MHD_Response*
MakeResponse(HttpAnswer aAnswer, bool aCloses);

/** Answers a request that is refused, and closes its connection. */
MHD_Result
QueueRefusal(MHD_Connection* aConnection, int aStatus);

} // namespace lacewingwharf
