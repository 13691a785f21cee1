#pragma once

#include "common/clock.h"
#include "common/random.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lacewingwharf {

/** Whom to ask for what. */
struct FetchRequest
{
  std::string host;

  /** The version to start from; 0 asks for the newest one as a whole. */
  std::int64_t held = 0;
};

/**
 * Decides when to fetch a newer version from which peer. At most one fetch is
 * outstanding, and a delay chosen at random lets the push arrive first.
 */
class FetchPlan
{
public:
  FetchPlan(Clock aClock, Random aRandom);

  /** aHost has aVersion, which is newer than what this daemon holds. */
  void RecordPeerVersion(const std::string& aHost,
                         std::int64_t aVersion,
                         Millis aJitter);

  /** The held version cannot be the base of what the peers have. */
  void RequestWhole();

  /** Something was taken; deltas are enough again. */
  void RequestDeltas();

  /** A request that is due now; it then counts as outstanding. */
  std::optional<FetchRequest> TakeDue(std::int64_t aHeld);

  /** aHost answered; ends the outstanding fetch if it was sent there. */
  void RecordAnswer(const std::string& aHost);
  void Postpone(Millis aDelay);

  /** The newest version any peer reported lately; 0 when there is none. */
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
