#pragma once

#include "common/clock.h"

#include <cstddef>
#include <optional>
#include <string>

namespace lacewingwharf {

/** What tests change while the stand-in runs. */
struct Switches
{
  bool isDown = false;
  Millis slowMillis = 0;

  /** Calls are taken and never answered, waiting watches too. */
  bool isSilent = false;
  int dropAnswerAfterWrite = 0;
  double writesPerSecond = 400;
  double readsPerSecond = 2000;
  std::size_t maxValueBytes = 1U << 20U;
  std::size_t pageItems = 500; // Of a list in the objects form.
};

/** Actions that a switch request asks for once. */
struct SwitchActions
{
  bool mustCompact = false;
  std::string save;
  std::string restore;
};

/** Changes aSwitches by a JSON object; returns what is wrong with it, if any.
 */
std::optional<std::string>
ReadSwitches(const std::string& aJson,
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
