#include "peer/dialbackoff.h"

#include <algorithm>

namespace lacewingwharf {

namespace {

constexpr Millis kFirstWait = 100;
constexpr Millis kLongestWait = 5000;
constexpr Millis kForgetAfter = 60000;

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
DialBackoff::Failed(const PeerAddress& aAddress)
{
  Entry& entry = this->entries[aAddress];
  entry.wait =
    entry.wait == 0 ? kFirstWait : std::min(kLongestWait, entry.wait * 2);
  const Millis half = entry.wait / 2;
  const auto jitter =
    RandomBelow(this->random, static_cast<std::uint64_t>(half));
  entry.notBefore = this->clock.Now() + half + static_cast<Millis>(jitter);
}

void
DialBackoff::Succeeded(const PeerAddress& aAddress)
{
  this->entries.erase(aAddress);
}

void
DialBackoff::Prune()
{
  const Millis limit = this->clock.Now() - kForgetAfter;
  std::erase_if(this->entries, [limit](const auto& aEntry) {
    return aEntry.second.notBefore < limit;
  });
}

} // namespace lacewingwharf
