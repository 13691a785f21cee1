#include "testkit/serverheartbeats.h"

#include "testkit/site.h"

namespace lacewingwharf {

namespace {

constexpr Millis kInterval = 500;

} // namespace

ServerHeartbeats::ServerHeartbeats(const Site& aSite)
  : thread([&aSite](const std::stop_token& aStop) {
    while (!aStop.stop_requested()) {
      aSite.Report(0, "ready", 1);
      aSite.Report(1, "ready", 1);
      PauseFor(kInterval);
    }
  })
{
}

} // namespace lacewingwharf
