#include "daemon/callerlimits.h"

#include <algorithm>

namespace lacewingwharf {

ConnectionLimits
CallerLimits(const ConnectionLimits& aOwn, const ListenerLimits& aCatalogue)
{
  ConnectionLimits limits = aOwn;
  if (aCatalogue.headBytes > 0) {
    limits.request.headBytes = static_cast<std::size_t>(aCatalogue.headBytes);
  }
  if (aCatalogue.bodyBytes > 0) {
    limits.request.bodyBytes = std::min(
      aOwn.request.bodyBytes, static_cast<std::size_t>(aCatalogue.bodyBytes));
  }
  if (aCatalogue.headTime > 0) {
    limits.headTimeout = aCatalogue.headTime;
  }
  if (aCatalogue.idleTime > 0) {
    limits.idleTimeout = aCatalogue.idleTime;
  }
  return limits;
}

} // namespace lacewingwharf
