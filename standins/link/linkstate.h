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

/**
 * The settings and byte counts of a link, shared by its relays, its control
 * port and its signal handler.
 */
class LinkState
{
public:
  LinkState(Millis aDelay, double aBitsPerSecond);

  /**
   * The time at which bytes that arrive at aNow leave the link. They wait until
   * earlier bytes are sent at the bandwidth of the link, and for its delay.
   */
  double ComputeDepartureTime(LinkDirection aDirection,
                              std::size_t aBytes,
                              double aNow);

  bool IsCut() const;

  /**
   * How often silent mode was requested. A connection that was opened at a
   * lower count drops its bytes.
   */
  std::uint64_t SilenceCount() const;
  void SetCut(bool aIsCut);
  void Silence();

  /** Applies settings from JSON; returns an error message if one is wrong. */
  std::optional<std::string> ApplyJson(const std::string& aJson);
  std::string AsJson() const;

private:
  struct Direction
  {
    double freeAt = 0; // When all earlier bytes are sent.
    std::uint64_t bytes = 0;
  };

  mutable std::mutex mutex;
  double delay;
  double bitsPerSecond; // 0 means no limit.
  bool isCut = false;
  std::uint64_t silenceCount = 0;
  std::array<Direction, 2> directions;
};

} // namespace lacewingwharf
