#pragma once

#include "common/clock.h"

#include <cstddef>
#include <optional>
#include <string>

namespace lacewingwharf {

/** How the backend server misbehaves; changed by POST /test/behaviour. */
struct Behaviour
{
  Millis serviceTime = 5;
  bool isStalled = false;     // Takes requests and never answers.
  std::string crashText;      // Exits on a request that contains it.
  int cutAnswers = 0;         // So many answers end after half the body.
  int closeReused = 0;        // So many reused connections are closed.
  std::size_t pieceBytes = 0; // Answers go out in pieces of this size.
  Millis pieceDelay = 0;      // The pause between two pieces.
  std::string claimedState;   // Announced in place of the true state.
  std::optional<int> claimedSlots;
  bool isSilent = false; // Sends no announcements.
  bool mustDrain = false;
};

/** Changes aBehaviour by a JSON object; returns what is wrong, if anything. */
std::optional<std::string>
ReadBehaviour(const std::string& aJson, Behaviour& aBehaviour);

} // namespace lacewingwharf
