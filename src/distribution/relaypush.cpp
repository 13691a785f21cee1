#include "distribution/relaypush.h"

#include <algorithm>
#include <utility>

namespace lacewingwharf {

namespace {

// Longer than a push takes through a failure domain, shorter than gossip.
constexpr Millis kRankDelay = 300;

// Feeders change rarely; beyond this the map only holds former ones.
constexpr std::size_t kMaxRoots = 64;

} // namespace

FeederPush::FeederPush(Clock aClock)
  : clock(std::move(aClock))
{
}

void
FeederPush::Add(const wire::ConfigBody& aBody, int aRank)
{
  if (aBody.version <= this->newestAdded) {
    return;
  }
  this->newestAdded = aBody.version;
  this->pending.push_back({ aBody, this->clock.Now() + aRank * kRankDelay });
}

void
FeederPush::Arrived(std::int64_t aVersion)
{
  this->newestAdded = std::max(this->newestAdded, aVersion);
  std::erase_if(this->pending, [aVersion](const Pending& aPending) {
    return aPending.body.version <= aVersion;
  });
}

std::vector<wire::ConfigBody>
FeederPush::TakeDue()
{
  const Millis now = this->clock.Now();
  std::vector<wire::ConfigBody> due;
  while (!this->pending.empty() && this->pending.front().dueAt <= now) {
    due.push_back(std::move(this->pending.front().body));
    this->pending.pop_front();
  }
  return due;
}

bool
FeederPush::ShouldPassOn(const std::string& aRoot, std::int64_t aVersion)
{
  if (this->passedOn.size() >= kMaxRoots && !this->passedOn.contains(aRoot)) {
    this->passedOn.clear();
  }
  std::int64_t& newest = this->passedOn[aRoot];
  if (aVersion <= newest) {
    return false;
  }
  newest = aVersion;
  return true;
}

} // namespace lacewingwharf
