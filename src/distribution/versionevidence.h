#pragma once

#include "common/clock.h"

#include <cstdint>
#include <optional>

namespace lacewingwharf {

/**
 * Remembers until when this daemon knows that the version it holds is the
 * newest: the time of the last evidence that the store has no newer one.
 * Evidence of an older version counts for a newer one, too, because the newer
 * one was still missing at that time.
 */
class VersionEvidence
{
public:
  /** To be called with each version of the store, whether or not it is held. */
  void RecordVersion(std::int64_t aVersion);

  /** At this time, the store had no version above those recorded. */
  void Confirm(Millis aTime);

  /**
   * To be called several times a second. After a longer gap, in which this
   * process was paused, messages are read that arrived in the meantime, so the
   * time of their arrival is unknown.
   */
  void RecordTick(Millis aNow);

  /** Whether a message that is read now may have arrived long ago. */
  bool IsReadingBacklog(Millis aNow) const;

  /**
   * Returns the time of the last evidence; empty if there is none, or if the
   * store has a version above aHeld.
   */
  std::optional<Millis> ConfirmedAt(std::int64_t aHeld) const;

private:
  std::int64_t newest = 0;
  std::optional<Millis> confirmedAt;
  Millis tickedAt = 0;
  Millis backlogUntil = 0;
};

} // namespace lacewingwharf
