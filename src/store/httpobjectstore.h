#pragma once

#include "store/objectstore.h"

#include <cstddef>
#include <functional>
#include <string>

namespace lacewingwharf {

struct HttpStoreConfig
{
  std::string baseUrl; // http://ADDRESS:PORT, without a trailing slash.
  Millis connectTimeout = 1000;
  Millis requestTimeout = 3000;

  /**
   * A watch request times out this long after the watch timeout that it sends
   * to the platform.
   */
  Millis watchGrace = 2000;
  std::size_t maxAnswerBytes = 256U << 20U;

  /**
   * Polled about once a second during a request. Returning true aborts the
   * request, so that a shutdown does not wait for a pending watch.
   */
  std::function<bool()> shouldStop;
};

/**
 * Returns a client of the HTTP object API that docs/platform-api.md describes.
 * Each calling thread keeps one connection. A connection is not reused after a
 * request on it has failed.
 */
ObjectStore
MakeHttpObjectStore(HttpStoreConfig aConfig);

} // namespace lacewingwharf
