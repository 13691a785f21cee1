#pragma once

#include "common/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>

namespace lacewingwharf {

enum class LinkDirection
{
  Forward, // From the listening side to the target.
  Backward
};

/** Settings and counts of the link, shared by the relay and its control. */
class LinkState
{
public:
  LinkState(Millis aDelay, double aBitsPerSecond);

  /**
   * When bytes that arrive at aNow leave the link: after those before them at
   * the link's bandwidth, and after its delay.
   */
  double DepartureOf(LinkDirection aDirection, std::size_t aBytes, double aNow);

  bool IsCut() const;

  /** Connections older than this number of silencings swallow their bytes. */
  std::uint64_t Silencings() const;
  void SetCut(bool aIsCut);
  void Silence();

  /** Changes settings by JSON; returns what is wrong with it, if anything. */
  std::optional<std::string> Change(const std::string& aJson);
  std::string AsJson() const;

private:
  struct Direction
  {
    double freeAt = 0;
    std::uint64_t bytes = 0;
  };

  mutable std::mutex mutex;
  double delay;
  double bitsPerSecond; // 0: no limit.
  bool isCut = false;
  std::uint64_t silencings = 0;
  std::array<Direction, 2> directions;
};

} // namespace lacewingwharf
