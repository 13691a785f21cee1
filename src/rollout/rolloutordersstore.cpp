// The part of RolloutOrders that reads and writes the objects in the store.

#include "rollout/rolloutorders.h"

#include "common/log.h"

#include <algorithm>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr Log kLog("rollout");

// After a write without a result, the object is read again.
constexpr Millis kRetryDelay = 300;

} // namespace

void
RolloutOrders::HandleObjects(const ObjectList& aList,
                             bool aIsFullList,
                             std::int64_t aEra)
{
  for (const StoredObject& object : aList.objects) {
    this->HandleObject(object, aIsFullList, aEra);
  }
  if (!aIsFullList) {
    return;
  }
  std::erase_if(this->orders, [&aList](const auto& aPair) {
    return std::ranges::find(aList.objects,
                             kRolloutPrefix + aPair.first,
                             &StoredObject::name) == aList.objects.end();
  });
}

void
RolloutOrders::HandleObject(const StoredObject& aObject,
                            bool aIsFullList,
                            std::int64_t aEra)
{
  auto stored = ParseRollout(aObject);
  if (aObject.isDeleted || aObject.isDeletionRequested || !stored) {
    const std::string service = aObject.name.substr(
      std::min(std::string(kRolloutPrefix).size(), aObject.name.size()));
    this->orders.erase(service);
    return;
  }
  Order& order = this->orders[stored->service];
  // Revisions go back only when the store was restored, and a list follows.
  const bool isOlder =
    aEra == order.era && stored->revision < order.stored.revision;
  if (aEra < order.era || (isOlder && !aIsFullList)) {
    return;
  }
  if (aEra == order.era) {
    stored->earlierOrder = IsOrderedAgain(order, *stored)
                             ? stored->status.order
                             : order.stored.earlierOrder;
  }
  const bool isSameTarget = stored->target == order.stored.target;
  order.stored = std::move(*stored);
  order.era = aEra;
  this->CompareStatus(order);
  if (order.stored.HasOwnStatus()) {
    order.seenAt = 0;
  } else if (order.seenAt == 0 || !isSameTarget) {
    order.seenAt = this->wallClock.Now();
  }
  this->UpdateDecider(order);
  if (order.stored.HasEnded() && !order.isStatusLost) {
    this->NoteEnd(order);
  }
}

/**
 * Whether an operator has written the object since it got the status with the
 * end of the order. Another daemon that wrote the end again, on condition of a
 * revision that was issued again, would be named in the status. After a
 * restore, revisions say nothing.
 */
bool
RolloutOrders::IsOrderedAgain(const Order& aKnown, const StoredRollout& aStored)
{
  return aKnown.stored.HasEnded() && !aKnown.isStatusLost &&
         aStored.status.order != 0 && aStored.status == aKnown.stored.status &&
         aStored.revision > aKnown.stored.revision;
}

/** Continues with the status that the store lost when it was restored. */
void
RolloutOrders::CompareStatus(Order& aOrder)
{
  StoredRollout& stored = aOrder.stored;
  auto lost = this->memory.FindLost(stored, aOrder.era);
  const bool wasLost = std::exchange(aOrder.isStatusLost, lost.has_value());
  if (!lost) {
    this->memory.LearnStatus(stored.service, stored.status, aOrder.era);
    return;
  }
  if (!wasLost) {
    aOrder.lostAt = this->clock.Now();
    kLog.Decision("rollout-status-lost",
                  "service={} order={} target={} revision={} era={} "
                  "stored_order={} stored_state={} state={} term={}",
                  stored.service,
                  lost->order,
                  stored.target,
                  stored.revision,
                  aOrder.era,
                  stored.status.order,
                  kRolloutStateNames.NameOf(stored.status.state),
                  kRolloutStateNames.NameOf(lost->state),
                  lost->term);
  }
  const bool hasDecided =
    aOrder.decider && aOrder.decider->Plan().order == lost->order &&
    aOrder.decider->Decision() == RolloutDecision::RollBack &&
    lost->state == wire::RolloutState::ROLLED_BACK;
  if (hasDecided) {
    // Only announced so far; the decider writes it when shares have ended.
    lost = this->NextStatus(aOrder);
    lost->state = wire::RolloutState::RUNNING;
    lost->decider = this->config.host;
    lost->incarnation = this->config.incarnation;
  }
  stored.status = *lost;
}

void
RolloutOrders::NoteEnd(const Order& aOrder)
{
  if (aOrder.stored.status.order == 0) {
    return; // Written by something else; it does not say what is in use.
  }
  const RolloutStatus& status = aOrder.stored.status;
  wire::RolloutShare share;
  share.decider = this->config.host;
  share.serviceName = aOrder.stored.service;
  share.order = status.order;
  share.state = status.state;
  share.targetVersion = status.target;
  share.baseVersion = status.base;
  share.storeEra = aOrder.era;
  this->notices.SetEnd(share);
}

void
RolloutOrders::Write(Order& aOrder, const RolloutStatus& aStatus)
{
  RolloutStatus status = aStatus;
  status.decider = this->config.host;
  status.incarnation = this->config.incarnation;
  aOrder.isWriting = true;
  aOrder.writeDueAt = this->clock.Now() + kRetryDelay;
  const std::string service = aOrder.stored.service;
  const std::weak_ptr<bool> guard = this->lifetime;
  const bool isSubmitted = this->hooks.submit(
    [this, guard, service, status, revision = aOrder.stored.revision](
      const ObjectStore& aStore) {
      auto written = aStore.putStatus(
        kRolloutPrefix + service, EncodeStatus(status), revision);
      return Completion(
        [this, guard, service, status, result = std::move(written)] {
          if (!guard.expired()) {
            this->HandleWritten(service, status, result);
          }
        });
    });
  aOrder.isWriting = isSubmitted;
}

void
RolloutOrders::HandleWritten(const std::string& aService,
                             const RolloutStatus& aStatus,
                             const PlatformResult<std::int64_t>& aResult)
{
  const auto found = this->orders.find(aService);
  if (found == this->orders.end()) {
    return;
  }
  Order& order = found->second;
  order.isWriting = false;
  order.writeDueAt = this->clock.Now() + kRetryDelay;
  kLog.Decision("rollout-written",
                "service={} order={} term={} state={} target={} base={} "
                "revision={} result={}",
                aService,
                aStatus.order,
                aStatus.term,
                kRolloutStateNames.NameOf(aStatus.state),
                aStatus.target,
                aStatus.base,
                aResult ? aResult.value() : order.stored.revision,
                aResult ? "stored"
                        : kPlatformErrorNames.NameOf(aResult.error().code));
  if (!aResult) {
    // The write may have taken effect, or another daemon wrote.
    this->ReadAgain(aService);
    return;
  }
  const std::int64_t era = aResult.era.value_or(0);
  if (era < order.era ||
      (era == order.era && aResult.value() < order.stored.revision)) {
    return; // The watch has reported this write and a later one, or its loss.
  }
  order.writeDueAt = 0;
  order.stored.revision = aResult.value();
  order.stored.status = aStatus;
  order.era = era;
  order.isStatusLost = false;
  this->memory.LearnStatus(aService, aStatus, order.era);
  this->UpdateDecider(order);
  if (order.stored.HasEnded()) {
    this->NoteEnd(order);
  } else if (!order.decider) {
    this->StartDecider(order);
  }
}

void
RolloutOrders::ReadAgain(const std::string& aService)
{
  const std::weak_ptr<bool> guard = this->lifetime;
  this->hooks.submit([this, guard, aService](const ObjectStore& aStore) {
    auto read = aStore.get(kRolloutPrefix + aService);
    return Completion([this, guard, result = std::move(read)] {
      if (!guard.expired() && result) {
        this->HandleObject(result.value(), false, result.era.value_or(0));
      }
    });
  });
}

} // namespace lacewingwharf
