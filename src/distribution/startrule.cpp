#include "distribution/startrule.h"

#include <utility>

namespace lacewingwharf {

namespace {

constexpr std::size_t kPeersToHear = 3;

// Some of the asked peers may be dead without the member list knowing it yet.
constexpr std::size_t kPeersToAsk = 5;

} // namespace

StartRule::StartRule(Clock aClock, Millis aStartWait)
  : clock(std::move(aClock))
  , deadline(this->clock.Now() + aStartWait)
{
}

bool
StartRule::Ask(const std::string& aHost)
{
  return !this->isOver && this->asked.size() < kPeersToAsk &&
         this->asked.insert(aHost).second;
}

void
StartRule::PeerAnswered(const std::string& aHost)
{
  if (this->asked.contains(aHost)) {
    this->answered.insert(aHost);
  }
}

void
StartRule::PlatformAnswered()
{
  this->isPlatformAnswered = true;
}

bool
StartRule::IsOver(bool aIsBehind)
{
  const bool isComplete = this->answered.size() >= kPeersToHear &&
                          this->isPlatformAnswered && !aIsBehind;
  if (isComplete || this->clock.Now() >= this->deadline) {
    this->isOver = true;
  }
  return this->isOver;
}

} // namespace lacewingwharf
