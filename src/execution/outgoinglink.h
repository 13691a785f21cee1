#pragma once

#include "common/clock.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <optional>
#include <string>

namespace lacewingwharf {

/** A part of a large request that may be sent now. */
struct OutgoingPart
{
  std::string attemptId;
  std::size_t bytes = 0;
};

/**
 * Spreads the large requests that leave this host at the rate of its link.
 *
 * It answers the load of uploads that enter at a host with a slow link, whose
 * destinations grant more together than it can send. Without it, small requests
 * and answers of this host would wait behind all granted parts. Bodies take
 * turns of a few parts, so that a small one does not wait for a huge one, and
 * a call is refused before its body is sent if it would leave too late.
 */
class OutgoingLink
{
public:
  /** aBytesPerMilli is the rate of large requests; 0 means without limit. */
  explicit OutgoingLink(double aBytesPerMilli);

  /** See LatenessOnLink(). Only granted parts count as before the body. */
  std::optional<Millis> LatenessOf(std::size_t aBytes,
                                   std::optional<Millis> aTargetAt,
                                   Millis aDeadlineAt,
                                   double aNow) const;

  /**
   * Returns when a body that would be late by so much would no longer be, if
   * nothing more is granted.
   */
  Millis RetryAfter(std::size_t aBytes, Millis aLateness) const;

  /** Adds bytes of a body that its destination has granted. */
  void Add(const std::string& aAttemptId, std::size_t aBytes);

  /** Forgets the bodies for which the predicate holds. */
  void RemoveIf(const std::function<bool(const std::string&)>& aHasEnded);

  /** Returns the next part, or nothing while the link is busy. */
  std::optional<OutgoingPart> Next(double aNow) const;

  /** Records that the part from Next() was sent. */
  void RecordSent(const OutgoingPart& aPart, double aNow);

private:
  struct Body
  {
    std::string attemptId;
    std::size_t bytes = 0;
    std::size_t partsInTurn = 0; // Sent since its turn began.
  };

  std::size_t TurnBytes(std::size_t aBytes) const;
  std::size_t BytesBefore(std::size_t aBytes) const;

  double rate = 0;
  double freeAt = 0; // When the link will have sent what it was given.
  std::deque<Body> waiting;
};

} // namespace lacewingwharf
