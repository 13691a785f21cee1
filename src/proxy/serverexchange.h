#pragma once

#include "proxy/httprequestreader.h"

#include <microhttpd.h>

#include <cstddef>
#include <utility>

namespace lacewingwharf {

/** State of one request, owned by libmicrohttpd's connection context. */
struct ServerExchange
{
  enum class State
  {
    Reading,
    Suspended, // Passed to the handler, not answered or aborted yet.
    Answered,
    Aborted
  };

  explicit ServerExchange(HttpRequestReader aReader)
    : reader(std::move(aReader))
  {
  }

  HttpRequestReader reader;
  State state = State::Reading;
  bool isHeadRead = false;
  bool wasDispatched = false;
  int refusalStatus = 0; // HTTP status; 0 if the request is not refused.
  std::size_t discardedBytes = 0;
  RequestId id = 0;
  int socket = -1;
  MHD_Connection* connection = nullptr;
  HttpAnswer answer;
};

} // namespace lacewingwharf
