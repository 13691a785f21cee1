#pragma once

#include "common/clock.h"

#include <optional>

namespace lacewingwharf {

/** Times until a body is sent or received over a link, in milliseconds. */
struct LinkTimes
{
  double backlog = 0; // Of the bodies before it.
  double own = 0;
};

/**
 * Returns by how much a body would be late, or nothing if the call can be
 * accepted. Half of the time until the target may pass until the body is
 * there; if the body alone takes longer, half of the time until the deadline,
 * and if that is too short as well, all of it. Without a backlog, every call is
 * accepted.
 */
std::optional<Millis>
LatenessOnLink(const LinkTimes& aTimes,
               std::optional<Millis> aTargetAt,
               Millis aDeadlineAt,
               double aNow);

} // namespace lacewingwharf
