#include "daemon/stopschedule.h"

#include <criterion/criterion.h>

using namespace lacewingwharf;

// The process is killed when the time of the stop is over. A stop that waits
// for its intake to end, whatever that time is, loses every call in flight.
Test(stopschedule, EveryStepComesBeforeTheKill)
{
  constexpr Millis kStart = 50000;
  for (const Millis timeout : { 0, 500, 1000, 2000, 3000, 6000, 10000 }) {
    const StopSchedule schedule = MakeStopSchedule(kStart, timeout);
    cr_expect_geq(schedule.intakeEnd, kStart, "%ld", timeout);
    cr_expect_leq(schedule.intakeEnd, schedule.callsEnd, "%ld", timeout);
    cr_expect_leq(schedule.callsEnd, schedule.end, "%ld", timeout);
    cr_expect_leq(schedule.end, kStart + timeout, "%ld", timeout);
  }
}

// Callers come until two readiness checks, one a second, have failed. Earlier
// refusals would turn away callers that the platform still sends.
Test(stopschedule, TheIntakeLastsUntilThePlatformHasNoticed)
{
  constexpr Millis kTwoChecks = 2000;
  for (const Millis timeout : { 6000, 10000 }) {
    cr_expect_geq(MakeStopSchedule(0, timeout).intakeEnd, kTwoChecks);
  }
}
