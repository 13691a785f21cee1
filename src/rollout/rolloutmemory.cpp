#include "rollout/rolloutmemory.h"

#include "rollout/rolloutdecider.h"

#include <algorithm>

namespace lacewingwharf {

namespace {

// A copy of the store is some seconds old, so it contains few earlier orders.
constexpr std::size_t kMaxTargets = 8;

/** Whether the status follows the other one in the course of an order. */
bool
IsLater(const RolloutStatus& aStatus, const RolloutStatus& aOther)
{
  if (aStatus.order != aOther.order) {
    return aStatus.order > aOther.order;
  }
  const bool hasEnded = aStatus.state != wire::RolloutState::RUNNING;
  const bool hadEnded = aOther.state != wire::RolloutState::RUNNING;
  if (hasEnded != hadEnded) {
    return hasEnded;
  }
  return !hasEnded && aStatus.term > aOther.term;
}

} // namespace

void
RolloutMemory::LearnStatus(const std::string& aService,
                           const RolloutStatus& aStatus,
                           std::int64_t aEra)
{
  if (aStatus.order == 0) {
    return; // Written by something else.
  }
  Targets& targets = this->services[aService];
  // A store that has this status also had all earlier ones.
  for (auto& [target, known] : targets) {
    if (known.status.order < aStatus.order) {
      known.era = std::max(known.era, aEra);
    }
  }
  Learn(targets, { aStatus, aEra, {} });
}

void
RolloutMemory::LearnShare(const wire::RolloutShare& aShare)
{
  if (aShare.order == 0) {
    return;
  }
  RolloutStatus status;
  status.state = aShare.state;
  status.target = aShare.targetVersion;
  status.base = aShare.baseVersion;
  status.order = aShare.order;
  status.term = RolloutDecider::TermOf(aShare.sequence);
  status.decider = aShare.decider;
  status.incarnation = aShare.deciderIncarnation;
  // The number of an order is its start, unless a clock was behind.
  status.startedAt = aShare.order;
  Learn(this->services[aShare.serviceName], { status, aShare.storeEra, {} });
}

void
RolloutMemory::Learn(Targets& aTargets, const Known& aNew)
{
  const auto [found, isFirst] = aTargets.try_emplace(aNew.status.target, aNew);
  Known& known = found->second;
  if (!isFirst && IsLater(aNew.status, known.status)) {
    const RolloutStatus before = known.status;
    known.status = aNew.status;
    known.era = aNew.era;
    if (before.order == aNew.status.order) {
      known.status.startedAt = before.startedAt;
    }
  } else if (!isFirst && !IsLater(known.status, aNew.status)) {
    known.era = std::max(known.era, aNew.era);
  }
  if (aNew.status.duration != 0) {
    known.durations.insert(aNew.status.duration);
  }
  if (aTargets.size() > kMaxTargets) {
    aTargets.erase(
      std::ranges::min_element(aTargets, {}, [](const auto& aPair) {
        return aPair.second.status.order;
      }));
  }
}

std::optional<RolloutStatus>
RolloutMemory::FindLost(const StoredRollout& aStored, std::int64_t aEra) const
{
  const auto service = this->services.find(aStored.service);
  if (service == this->services.end()) {
    return std::nullopt;
  }
  const auto found = service->second.find(aStored.target);
  if (found == service->second.end() || found->second.era >= aEra) {
    return std::nullopt;
  }
  const RolloutStatus& known = found->second.status;
  const RolloutStatus& present = aStored.status;
  const auto& durations = found->second.durations;
  const bool isOtherOrder =
    !aStored.HasOwnStatus() && known.state != wire::RolloutState::RUNNING &&
    !durations.empty() && !durations.contains(aStored.duration);
  const bool isBehind =
    present.state == wire::RolloutState::NONE || IsLater(known, present);
  if (isOtherOrder || !isBehind) {
    return std::nullopt;
  }
  RolloutStatus lost = known;
  lost.duration = aStored.duration;
  return lost;
}

std::int64_t
RolloutMemory::LatestOrder(const std::string& aService) const
{
  const auto service = this->services.find(aService);
  std::int64_t latest = 0;
  if (service != this->services.end()) {
    for (const auto& [target, known] : service->second) {
      latest = std::max(latest, known.status.order);
    }
  }
  return latest;
}

} // namespace lacewingwharf
