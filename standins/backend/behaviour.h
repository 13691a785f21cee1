#pragma once

#include "common/clock.h"

#include <cstddef>
#include <optional>
#include <string>

namespace lacewingwharf {

/** The faults that a backend server simulates, set by POST /test/behaviour. */
struct Behaviour
{
  Millis serviceTime = 5;
  bool isStalled = false; // Accepts requests and never answers.
  std::string crashText;  // A request that contains it ends the process.
  int answersToCut = 0;   // This many answers end after half the body.
  int reusedConnectionsToClose = 0;  // Closed at their next request.
  std::size_t pieceBytes = 0;        // Answers are sent in pieces of this size.
  Millis pieceDelay = 0;             // The pause between two pieces.
  std::string announcedState;        // Replaces the real state if not empty.
  std::optional<int> announcedSlots; // Replaces the real number of slots.
  bool isSilent = false;             // Sends no announcements.
  bool mustDrain = false;
};

/**
 * Applies the fields of a JSON object to aBehaviour. Returns an error message
 * and changes nothing if a field is unknown or has the wrong type.
 */
std::optional<std::string>
ApplyBehaviourJson(const std::string& aJson, Behaviour& aBehaviour);

} // namespace lacewingwharf
