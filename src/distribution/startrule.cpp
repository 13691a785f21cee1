#include "distribution/startrule.h"

#include <algorithm>
#include <utility>

namespace lacewingwharf {

namespace {

// Some of the asked peers may be dead without the member list knowing it yet.
constexpr std::size_t kPeersToAsk = 5;

// Questions and answers get lost while the network comes up.
constexpr Millis kAskInterval = 500;

// An acceptor that cannot reach its peers publishes all the same after this,
// so that a partition does not hold up every change.
constexpr Millis kLongestSilence = 10000;

} // namespace

StartRule::StartRule(Clock aClock, Millis aStartWait, std::size_t aPeersToHear)
  : clock(std::move(aClock))
  , startedAt(this->clock.Now())
  , startWait(aStartWait)
  , peersToHear(aPeersToHear)
{
}

bool
StartRule::IsDue(const std::string& aPeer) const
{
  const auto found = this->asked.find(aPeer);
  if (found == this->asked.end()) {
    return this->asked.size() < kPeersToAsk;
  }
  return !this->answered.contains(aPeer) &&
         this->clock.Now() - found->second >= kAskInterval;
}

std::vector<std::string>
StartRule::TakeDue(const std::vector<std::string>& aPeers)
{
  this->knownPeers = std::max(this->knownPeers, aPeers.size());
  std::vector<std::string> due;
  for (const std::string& peer : aPeers) {
    if (this->IsDue(peer)) {
      this->asked[peer] = this->clock.Now();
      due.push_back(peer);
    }
  }
  return due;
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
  const bool isComplete = this->answered.size() >= this->peersToHear &&
                          this->isPlatformAnswered && !aIsBehind;
  const Millis age = this->clock.Now() - this->startedAt;
  if (isComplete || age >= this->startWait) {
    this->isOver = true;
  }
  return this->isOver;
}

bool
StartRule::MayPublish() const
{
  const std::size_t needed = std::min(this->peersToHear, this->knownPeers);
  return this->answered.size() >= needed ||
         this->clock.Now() - this->startedAt >= kLongestSilence;
}

} // namespace lacewingwharf
