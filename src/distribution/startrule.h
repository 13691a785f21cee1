#pragma once

#include "common/clock.h"

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace lacewingwharf {

/**
 * Tells when a new process has asked enough others for their version, so that
 * it does not serve an older one than it could have.
 */
class StartRule
{
public:
  StartRule(Clock aClock, Millis aStartWait);

  /** True when aHost is to be asked; it counts as asked from then on. */
  bool Ask(const std::string& aHost);
  void PeerAnswered(const std::string& aHost);
  void PlatformAnswered();

  /** True once enough have answered, or startwait has passed. */
  bool IsOver(bool aIsBehind);

private:
  Clock clock;
  Millis deadline;
  std::set<std::string, std::less<>> asked;
  std::set<std::string, std::less<>> answered;
  bool isPlatformAnswered = false;
  bool isOver = false;
};

} // namespace lacewingwharf
