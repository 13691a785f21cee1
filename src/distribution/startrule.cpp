#include "distribution/startrule.h"

#include <algorithm>
#include <utility>

namespace lacewingwharf {

namespace {

// More than the answers required, since some peers may be dead while the member
// list still shows them as alive.
constexpr std::size_t kMaxQueriedPeers = 5;

// Queries are repeated, since they and their answers get lost while the network
// comes up.
constexpr Millis kQueryInterval = 500;

// Where the version is confirmed by peers, those that did not know it yet are
// replaced by others after this time. A host reads the version from the store
// in about as long.
constexpr Millis kNextPeerInterval = 250;

// After this time an acceptor publishes even if it cannot reach its peers, so
// that a partition does not block all changes.
constexpr Millis kMaxPublishDelay = 10000;

} // namespace

StartRule::StartRule(Clock aClock,
                     Millis aStartWait,
                     std::size_t aRequiredAnswers)
  : clock(std::move(aClock))
  , startedAt(this->clock.Now())
  , startWait(aStartWait)
  , requiredAnswers(aRequiredAnswers)
{
}

bool
StartRule::IsDue(const std::string& aPeer) const
{
  const auto found = this->lastQueryAt.find(aPeer);
  if (found == this->lastQueryAt.end()) {
    return this->lastQueryAt.size() < kMaxQueriedPeers;
  }
  return !this->answered.contains(aPeer) &&
         this->clock.Now() - found->second >= kQueryInterval;
}

std::vector<std::string>
StartRule::TakeDue(const std::vector<std::string>& aPeers)
{
  this->knownPeers = std::max(this->knownPeers, aPeers.size());
  this->ForgetAnswered();
  std::vector<std::string> due;
  for (const std::string& peer : aPeers) {
    if (this->IsDue(peer)) {
      this->lastQueryAt[peer] = this->clock.Now();
      due.push_back(peer);
    }
  }
  return due;
}

/** Lets other peers be queried if no number of answers is required. */
void
StartRule::ForgetAnswered()
{
  if (this->requiredAnswers > 0) {
    return;
  }
  const Millis now = this->clock.Now();
  std::erase_if(this->lastQueryAt, [this, now](const auto& aQuery) {
    return now - aQuery.second >= kNextPeerInterval &&
           this->answered.erase(aQuery.first) > 0;
  });
}

void
StartRule::RecordPeerAnswer(const std::string& aHost)
{
  if (this->lastQueryAt.contains(aHost)) {
    this->answered.insert(aHost);
  }
}

void
StartRule::RecordPlatformAnswer()
{
  this->hasPlatformAnswered = true;
}

bool
StartRule::IsComplete(bool aIsBehind, bool aIsConfirmed)
{
  const bool isUpToDate = this->answered.size() >= this->requiredAnswers &&
                          (this->hasPlatformAnswered || aIsConfirmed) &&
                          !aIsBehind;
  const Millis age = this->clock.Now() - this->startedAt;
  if (isUpToDate || age >= this->startWait) {
    this->isComplete = true;
  }
  return this->isComplete;
}

bool
StartRule::MayPublish() const
{
  const std::size_t needed = std::min(this->requiredAnswers, this->knownPeers);
  return this->answered.size() >= needed ||
         this->clock.Now() - this->startedAt >= kMaxPublishDelay;
}

} // namespace lacewingwharf
