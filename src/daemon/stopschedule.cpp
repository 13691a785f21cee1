#include "daemon/stopschedule.h"

#include <algorithm>

namespace lacewingwharf {

namespace {

// On a site the platform checks the readiness of a daemon once a second. It
// sends callers to the daemon until two checks in a row have failed.
constexpr Millis kReadinessNoticeTime = 2500;

// Stopping the threads and sending queued answers takes this long on a slow
// host. Nothing may be left when the process is killed.
constexpr Millis kStopReserve = 700;

// Time for answers to the calls that are still open. It includes the wait of
// EntryCalls for an answer that arrives just after the end of a call.
constexpr Millis kLastAnswersTime = 300;

} // namespace

StopSchedule
MakeStopSchedule(Millis aStart, Millis aStopTimeout)
{
  StopSchedule schedule;
  schedule.end = aStart + std::max(aStopTimeout - kStopReserve, Millis{ 0 });
  schedule.callsEnd = std::max(aStart, schedule.end - kLastAnswersTime);
  schedule.intakeEnd =
    std::min(aStart + kReadinessNoticeTime, schedule.callsEnd);
  return schedule;
}

} // namespace lacewingwharf
