#include "distribution/storetries.h"

#include "distribution/relayfailover.h"

#include <algorithm>

namespace lacewingwharf {

namespace {

// The first candidates fail within a second when the store is down. They then
// try again in turn, so that several of them can be refused within the rollout
// time and one still sees the store return. The store charges for each call, so
// a group makes at most 10 in 8 s.
constexpr Millis kTriesPerRollout = 8;
constexpr Millis kMinTryInterval = 800;

// For ticks and the start of a watch before a try, and until its failure is
// reported.
constexpr Millis kReportMargin = 1000;

} // namespace

Millis
StoreTryInterval(Millis aRolloutTime)
{
  return std::max(aRolloutTime / kTriesPerRollout, kMinTryInterval);
}

Millis
RefusedTime(Millis aRolloutTime, Millis aStoreTimeout)
{
  const Millis round = kFirstCandidates * StoreTryInterval(aRolloutTime);
  return std::max(round, kStoreRetryDelay) + aStoreTimeout + kReportMargin;
}

} // namespace lacewingwharf
