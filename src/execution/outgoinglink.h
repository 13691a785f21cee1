#pragma once

#include <cstddef>

namespace lacewingwharf {

/**
 * Spreads the large requests that leave this host at the rate of its link.
 *
 * It answers the load of uploads that enter at a host with a slow link, whose
 * destinations grant more together than it can send. Without it, small requests
 * and answers of this host would wait behind all granted parts.
 */
class OutgoingLink
{
public:
  /** aBytesPerMilli is the rate of large requests; 0 means without limit. */
  explicit OutgoingLink(double aBytesPerMilli);

  /** Returns how much may be sent now: a part, or 0 while the link is busy. */
  std::size_t RoomFor(std::size_t aBytes, double aNow) const;

  void RecordSent(std::size_t aBytes, double aNow);

private:
  double rate = 0;
  double freeAt = 0; // When the link will have sent what it was given.
};

} // namespace lacewingwharf
