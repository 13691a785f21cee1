#pragma once

#include "common/clock.h"
#include "proxy/connectionlimits.h"

namespace lacewingwharf {

/** What a connection waits for from its caller. */
enum class CallerWait
{
  None,     // The daemon has to act.
  Request,  // Idle between two requests.
  Head,     // Its first byte has arrived.
  Transfer, // The rest of a body, or room for an answer.
  Close
};

/**
 * Decides whether a caller has taken too long. Limits can change at any time,
 * and callers learn of it earlier or later than the daemon. So a wait ends by
 * the longer of the limits at its start and now.
 */
class ConnectionTimer
{
public:
  void Start(CallerWait aWait, const ConnectionLimits& aLimits, Millis aNow);

  /** Bytes were received or sent. */
  void RecordActivity(Millis aNow);

  CallerWait Wait() const;
  bool IsExpired(const ConnectionLimits& aLimits, Millis aNow) const;

private:
  bool IsHeadExpired(const ConnectionLimits& aLimits, Millis aNow) const;

  CallerWait wait = CallerWait::None;
  Millis startedAt = 0;
  Millis lastActivity = 0;
  Millis headTimeoutAtStart = 0;
  Millis idleTimeoutAtStart = 0;
};

inline CallerWait
ConnectionTimer::Wait() const
{
  return this->wait;
}

} // namespace lacewingwharf
