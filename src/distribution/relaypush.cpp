#include "distribution/relaypush.h"

#include <algorithm>
#include <utility>

namespace lacewingwharf {

namespace {

// Longer than a push takes to reach a whole failure domain, but shorter than
// gossip takes.
constexpr Millis kDelayPerRank = 300;

// Relays change rarely. If the map reaches this size, it mostly holds former
// relays and is cleared.
constexpr std::size_t kMaxRoots = 64;

} // namespace

RelayPush::RelayPush(Clock aClock)
  : clock(std::move(aClock))
{
}

void
RelayPush::SchedulePush(const wire::ConfigBody& aBody, int aRank)
{
  if (aBody.version <= this->newestKnown) {
    return;
  }
  this->newestKnown = aBody.version;
  this->pending.push_back({ aBody, this->clock.Now() + aRank * kDelayPerRank });
}

void
RelayPush::RecordArrival(std::int64_t aVersion)
{
  this->newestKnown = std::max(this->newestKnown, aVersion);
  std::erase_if(this->pending, [aVersion](const Pending& aPending) {
    return aPending.body.version <= aVersion;
  });
}

std::vector<wire::ConfigBody>
RelayPush::TakeDue()
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
RelayPush::RecordForward(const std::string& aRoot, std::int64_t aVersion)
{
  if (this->forwarded.size() >= kMaxRoots && !this->forwarded.contains(aRoot)) {
    this->forwarded.clear();
  }
  std::int64_t& newest = this->forwarded[aRoot];
  if (aVersion <= newest) {
    return false;
  }
  newest = aVersion;
  return true;
}

} // namespace lacewingwharf
