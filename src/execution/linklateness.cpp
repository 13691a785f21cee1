#include "execution/linklateness.h"

#include <cmath>

namespace lacewingwharf {

namespace {

// Part of the time that the backlog and the body may take. The call still has
// to wait for a slot and to run.
constexpr double kUsableTime = 0.5;

} // namespace

std::optional<Millis>
LatenessOnLink(const LinkTimes& aTimes,
               std::optional<Millis> aTargetAt,
               Millis aDeadlineAt,
               double aNow)
{
  if (aTimes.backlog <= 0) {
    return std::nullopt; // No other host would deliver it sooner.
  }
  const auto timeUntil = [aNow](Millis aLimit) {
    return static_cast<double>(aLimit) - aNow;
  };
  double usable = timeUntil(aDeadlineAt);
  if (aTimes.own <= kUsableTime * usable) {
    usable *= kUsableTime;
  }
  if (aTargetAt && aTimes.own <= kUsableTime * timeUntil(*aTargetAt)) {
    usable = kUsableTime * timeUntil(*aTargetAt);
  }
  const double lateness = aTimes.backlog + aTimes.own - usable;
  if (lateness <= 0) {
    return std::nullopt;
  }
  return static_cast<Millis>(std::ceil(lateness));
}

} // namespace lacewingwharf
