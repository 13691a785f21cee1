#pragma once

#include "common/clock.h"
#include "common/random.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lacewingwharf {

/** A fetch to be sent to a peer. */
struct FetchRequest
{
  std::string host;

  /**
   * The version that the deltas start from; 0 requests the newest version as a
   * whole.
   */
  std::int64_t held = 0;
};

/**
 * Decides when to fetch a newer version and from which peer. At most one fetch
 * is outstanding. A random delay lets the push arrive first.
 */
class FetchPlan
{
public:
  FetchPlan(Clock aClock, Random aRandom);

  /**
   * Records that aHost has aVersion, which is newer than the held version, and
   * schedules a fetch after a random delay of at most aJitter, unless one is
   * scheduled already.
   */
  void RecordPeerVersion(const std::string& aHost,
                         std::int64_t aVersion,
                         Millis aJitter);

  /**
   * Makes fetches request a whole version, because the peers' deltas cannot be
   * applied to the held version.
   */
  void RequestWhole();

  /** Makes fetches request deltas again, after a version was applied. */
  void RequestDeltas();

  /**
   * Returns the request that is due now, if there is one. It then counts as
   * outstanding.
   */
  std::optional<FetchRequest> TakeDue(std::int64_t aHeld);

  /** Ends the outstanding fetch if it was sent to aHost. */
  void RecordAnswer(const std::string& aHost);
  void Postpone(Millis aDelay);

  /**
   * Returns the newest version that a peer reported recently; 0 if there is
   * none.
   */
  std::int64_t NewestPeerVersion() const;

private:
  Clock clock;
  Random random;
  std::string host; // The last peer that reported the newest version.
  std::int64_t newestVersion = 0;
  Millis newestReportedAt = 0;
  bool isWholeRequested = false;
  std::optional<Millis> dueAt;
  std::optional<Millis> sentAt;
  std::string sentTo;
};

} // namespace lacewingwharf
