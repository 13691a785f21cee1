#include "peer/dialbackoff.h"

#include <algorithm>

namespace lacewingwharf {

namespace {

constexpr Millis kInitialDelay = 100;
constexpr Millis kMaxDelay = 5000;
constexpr Millis kEntryLifetime = 60000;

} // namespace

DialBackoff::DialBackoff(Clock aClock, Random aRandom)
  : clock(std::move(aClock))
  , random(std::move(aRandom))
{
}

bool
DialBackoff::MayDial(const PeerAddress& aAddress) const
{
  const auto entry = this->entries.find(aAddress);
  return entry == this->entries.end() ||
         this->clock.Now() >= entry->second.notBefore;
}

void
DialBackoff::RecordFailure(const PeerAddress& aAddress)
{
  Entry& entry = this->entries[aAddress];
  entry.delay =
    entry.delay == 0 ? kInitialDelay : std::min(kMaxDelay, entry.delay * 2);
  const Millis half = entry.delay / 2;
  const auto jitter =
    RandomBelow(this->random, static_cast<std::uint64_t>(half));
  entry.notBefore = this->clock.Now() + half + static_cast<Millis>(jitter);
}

void
DialBackoff::RecordSuccess(const PeerAddress& aAddress)
{
  this->entries.erase(aAddress);
}

void
DialBackoff::Prune()
{
  const Millis expiry = this->clock.Now() - kEntryLifetime;
  std::erase_if(this->entries, [expiry](const auto& aEntry) {
    return aEntry.second.notBefore < expiry;
  });
}

} // namespace lacewingwharf
