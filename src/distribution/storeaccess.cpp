#include "distribution/storeaccess.h"

namespace lacewingwharf {

namespace {

// Longer than the time between two tries of a member while the store is down (8
// s, see RelayFailover) and the time until a try has failed. If all reports
// ended in between, the whole group would try the store again.
constexpr Millis kRefusedTime = 11000;

} // namespace

void
StoreAccess::RecordFailure(bool aIsRelay)
{
  if (aIsRelay || this->IsRefused()) {
    this->refusedUntil = this->clock.Now() + kRefusedTime;
  }
}

bool
StoreAccess::IsRefused() const
{
  return this->refusedUntil && this->clock.Now() < *this->refusedUntil;
}

} // namespace lacewingwharf
