#pragma once

#include "common/clock.h"
#include "proxy/requestparser.h"

namespace lacewingwharf {

/** Limits on what a caller may send on a connection, and on its waits. */
struct ConnectionLimits
{
  RequestLimits request;

  /** From the first byte of a head to its last; 0 means no limit. */
  Millis headTimeout = 0;

  /** Between two requests. */
  Millis idleTimeout = 30000;

  /** Without any progress of a body or of an answer. */
  Millis stallTimeout = 30000;

  bool operator==(const ConnectionLimits&) const = default;
};

} // namespace lacewingwharf
