#pragma once

#include "store/objectstore.h"

#include <cstddef>
#include <functional>
#include <string>

namespace lacewingwharf {

struct HttpStoreConfig
{
  std::string baseUrl; // http://ADDRESS:PORT, without a final slash.
  Millis connectTimeout = 1000;
  Millis requestTimeout = 3000;

  /** A watch ends at the latest this long after the time it asked for. */
  Millis watchGrace = 2000;
  std::size_t maxAnswerBytes = 256U << 20U;

  /**
   * Polled about once a second while a request waits. When true the request is
   * given up, so that a shutdown does not wait for a pending watch.
   */
  std::function<bool()> shouldStop;
};

/**
 * The object API over HTTP as in docs/platform-api.md. Each calling thread
 * keeps one connection. A connection on which a request failed is not reused.
 */
ObjectStore
MakeHttpObjectStore(HttpStoreConfig aConfig);

} // namespace lacewingwharf
