#pragma once

#include "proxy/httprequestreader.h"

#include <microhttpd.h>

#include <cstddef>
#include <utility>

namespace lacewingwharf {

/** The life of one request; owned by libmicrohttpd's connection context. */
struct ServerExchange
{
  enum class State
  {
    Reading,
    Suspended, // Handed over; an answer or an end is awaited.
    Answered,
    Aborted
  };

  explicit ServerExchange(HttpRequestReader aReader)
    : reader(std::move(aReader))
  {
  }

  HttpRequestReader reader;
  State state = State::Reading;
  bool hasHead = false;
  bool wasTaken = false;
  int refusal = 0; // Status; the rest of the body is read and discarded.
  std::size_t discarded = 0;
  RequestId id = 0;
  int socket = -1;
  MHD_Connection* connection = nullptr;
  HttpAnswer answer;
};

} // namespace lacewingwharf
