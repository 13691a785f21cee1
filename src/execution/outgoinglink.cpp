#include "execution/outgoinglink.h"

#include "execution/linkparts.h"

#include <algorithm>

namespace lacewingwharf {

OutgoingLink::OutgoingLink(double aBytesPerMilli)
  : rate(aBytesPerMilli)
{
}

std::size_t
OutgoingLink::RoomFor(std::size_t aBytes, double aNow) const
{
  if (this->rate <= 0) {
    return aBytes;
  }
  return this->freeAt > aNow + kLinkLeadMillis
           ? 0
           : std::min(aBytes, PartBytesAt(this->rate));
}

void
OutgoingLink::RecordSent(std::size_t aBytes, double aNow)
{
  if (this->rate > 0) {
    this->freeAt =
      std::max(this->freeAt, aNow) + static_cast<double>(aBytes) / this->rate;
  }
}

} // namespace lacewingwharf
