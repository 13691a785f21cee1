#include "distribution/versionevidence.h"

#include <algorithm>

namespace lacewingwharf {

namespace {

// Several ticks of the control thread, also on a busy host.
constexpr Millis kMaxTickGap = 500;

// Within this time after a pause, a process has read the messages that arrived
// during the pause.
constexpr Millis kBacklogTime = 300;

} // namespace

void
VersionEvidence::RecordVersion(std::int64_t aVersion)
{
  this->newest = std::max(this->newest, aVersion);
}

void
VersionEvidence::Confirm(Millis aTime)
{
  this->confirmedAt = std::max(this->confirmedAt.value_or(aTime), aTime);
}

void
VersionEvidence::RecordTick(Millis aNow)
{
  if (aNow - this->tickedAt > kMaxTickGap) {
    this->backlogUntil = aNow + kBacklogTime;
  }
  this->tickedAt = aNow;
}

bool
VersionEvidence::IsReadingBacklog(Millis aNow) const
{
  return aNow < this->backlogUntil || aNow - this->tickedAt > kMaxTickGap;
}

std::optional<Millis>
VersionEvidence::ConfirmedAt(std::int64_t aHeld) const
{
  return this->newest > aHeld ? std::nullopt : this->confirmedAt;
}

} // namespace lacewingwharf
