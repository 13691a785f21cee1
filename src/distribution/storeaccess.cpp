#include "distribution/storeaccess.h"

namespace lacewingwharf {

void
StoreAccess::RecordFailure(bool aIsRelay)
{
  if (aIsRelay || this->IsRefused()) {
    this->refusedUntil = this->clock.Now() + this->refusedTime;
  }
}

bool
StoreAccess::IsRefused() const
{
  return this->refusedUntil && this->clock.Now() < *this->refusedUntil;
}

} // namespace lacewingwharf
