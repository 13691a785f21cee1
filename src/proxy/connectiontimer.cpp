#include "proxy/connectiontimer.h"

#include <algorithm>

namespace lacewingwharf {

namespace {

// Closing a socket that has unread bytes resets the connection, and the reset
// can destroy an answer that the caller has not read yet. So the rest is read
// for this long.
constexpr Millis kLingerTime = 2000;

// The end of a head that was sent in time can arrive later than its limit, when
// the network has to send a packet again.
constexpr Millis kHeadTransitTime = 2000;

} // namespace

void
ConnectionTimer::Start(CallerWait aWait,
                       const ConnectionLimits& aLimits,
                       Millis aNow)
{
  this->wait = aWait;
  this->startedAt = aNow;
  this->lastActivity = aNow;
  this->headTimeoutAtStart = aLimits.headTimeout;
  this->idleTimeoutAtStart = aLimits.idleTimeout;
}

void
ConnectionTimer::RecordActivity(Millis aNow)
{
  this->lastActivity = aNow;
}

bool
ConnectionTimer::IsExpired(const ConnectionLimits& aLimits, Millis aNow) const
{
  const Millis silence = aNow - this->lastActivity;
  switch (this->wait) {
    case CallerWait::None:
      return false;
    case CallerWait::Request:
      return silence > std::max(this->idleTimeoutAtStart, aLimits.idleTimeout);
    case CallerWait::Head:
      return silence > aLimits.stallTimeout ||
             this->IsHeadExpired(aLimits, aNow);
    case CallerWait::Transfer:
      return silence > aLimits.stallTimeout;
    case CallerWait::Close:
      return silence > kLingerTime;
  }
  return false;
}

bool
ConnectionTimer::IsHeadExpired(const ConnectionLimits& aLimits,
                               Millis aNow) const
{
  const bool isLimited =
    this->headTimeoutAtStart > 0 && aLimits.headTimeout > 0;
  return isLimited &&
         aNow - this->startedAt >
           std::max(this->headTimeoutAtStart, aLimits.headTimeout) +
             kHeadTransitTime;
}

} // namespace lacewingwharf
