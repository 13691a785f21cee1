#pragma once

#include "common/clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace lacewingwharf {

/** Settings that tests change while the stand-in runs. */
struct Switches
{
  bool isDown = false;
  Millis callDelay = 0;

  /** New calls and waiting watches are never answered. */
  bool isSilent = false;
  int answersToDropAfterWrite = 0;
  double writesPerSecond = 400;
  double readsPerSecond = 2000;
  std::size_t maxValueBytes = 1U << 20U;
  std::size_t pageItems = 500; // Per page of a list under /api/objects/.

  /** Sent with answers under /api/objects/ if positive; restores add 1. */
  std::int64_t era = 0;
};

/** One-time actions of a switch request. */
struct SwitchActions
{
  bool mustCompact = false;
  std::string saveAs;
  std::string restoreFrom;
};

/**
 * Applies the fields of a JSON object to aSwitches and aActions. Returns an
 * error message and leaves aSwitches unchanged if a field is unknown or has the
 * wrong type.
 */
std::optional<std::string>
ApplySwitchesJson(const std::string& aJson,
                  Switches& aSwitches,
                  SwitchActions& aActions);

/** Limits calls per second; a rate of 0 means no limit. */
class TokenBucket
{
public:
  explicit TokenBucket(double aPerSecond);

  void SetRate(double aPerSecond);
  bool Take();

private:
  Clock clock;
  double perSecond;
  double tokens;
  double refilledAt;
};

} // namespace lacewingwharf
