#include "proxy/connectiontimer.h"

#include <criterion/criterion.h>

using namespace lacewingwharf;

namespace {

ConnectionLimits
Limits(Millis aHeadTimeout, Millis aIdleTimeout)
{
  ConnectionLimits limits;
  limits.headTimeout = aHeadTimeout;
  limits.idleTimeout = aIdleTimeout;
  limits.stallTimeout = 90000;
  return limits;
}

} // namespace

// A caller reuses an idle connection as long as any limit that it may know
// allows, so neither a raised nor a lowered limit may close it sooner.
Test(connectiontimer, an_idle_connection_keeps_the_longer_limit)
{
  ConnectionTimer timer;
  timer.Start(CallerWait::Request, Limits(0, 15000), 1000);
  cr_expect_not(timer.IsExpired(Limits(0, 15000), 16000));
  cr_expect(timer.IsExpired(Limits(0, 15000), 16001));
  cr_expect_not(timer.IsExpired(Limits(0, 120000), 121000));
  cr_expect(timer.IsExpired(Limits(0, 120000), 121001));
  cr_expect_not(timer.IsExpired(Limits(0, 1000), 16000));
}

// A caller that sends its head byte by byte must not hold a connection for
// ever, but one within the limit is not refused for a slow network.
Test(connectiontimer, a_head_has_its_limit_whatever_arrives)
{
  const ConnectionLimits limits = Limits(3000, 15000);
  ConnectionTimer timer;
  timer.Start(CallerWait::Head, limits, 0);
  for (Millis now = 0; now <= 5000; now += 500) {
    timer.RecordActivity(now);
    cr_expect_not(timer.IsExpired(limits, now));
  }
  timer.RecordActivity(5001);
  cr_expect(timer.IsExpired(limits, 5001));
  cr_expect_not(timer.IsExpired(Limits(6000, 15000), 5001));
  cr_expect_not(timer.IsExpired(Limits(0, 15000), 5001));
}

// The idle limit is no limit on a body or an answer that makes no progress: a
// link that was cut for some seconds delivers the rest later.
Test(connectiontimer, a_transfer_outlasts_the_idle_limit)
{
  const ConnectionLimits limits = Limits(3000, 15000);
  ConnectionTimer timer;
  timer.Start(CallerWait::Transfer, limits, 0);
  cr_expect_not(timer.IsExpired(limits, 90000));
  cr_expect(timer.IsExpired(limits, 90001));
  timer.RecordActivity(50000);
  cr_expect_not(timer.IsExpired(limits, 90001));
}

// A request that the daemon works on is not the caller's wait.
Test(connectiontimer, work_of_the_daemon_never_expires)
{
  ConnectionTimer timer;
  timer.Start(CallerWait::None, Limits(3000, 15000), 0);
  cr_expect_not(timer.IsExpired(Limits(3000, 15000), 1000000));
}
