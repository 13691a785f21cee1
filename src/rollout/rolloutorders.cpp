#include "rollout/rolloutorders.h"

#include "common/log.h"

#include <algorithm>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr Log kLog("rollout");

// A daemon that no message reaches uses its share to the end, so this is a
// small part of the time for a rollback.
constexpr Millis kShareDivisor = 5;

// The store charges for each call.
constexpr Millis kStoreLostRetryDelay = 700;

// The other deciders of an order claim it later in their order of hashing.
constexpr Millis kTakeoverDelay = 400;

// Two daemons that cannot reach each other, but both reach the store, would
// otherwise take an order from each other all the time.
constexpr Millis kTakeoverPause = 3000;

// Daemons that start are told of the version in use about as soon.
constexpr Millis kVersionsInterval = 500;

// RolloutPlan::shareTime and some time for messages on the way.
constexpr Millis kMaxShareTime = 1100;

// The decider may have lost its role together with the order.
constexpr Millis kLostStatusTime = 2000;

} // namespace

RolloutOrders::RolloutOrders(RolloutOrdersConfig aConfig,
                             Clock aClock,
                             Clock aWallClock,
                             RolloutOrdersHooks aHooks)
  : config(std::move(aConfig))
  , clock(aClock)
  , wallClock(std::move(aWallClock))
  , hooks(std::move(aHooks))
  , notices(std::move(aClock), this->hooks.send)
{
}

/** Ends the own role if the store says that it has ended. */
void
RolloutOrders::UpdateDecider(Order& aOrder)
{
  if (!aOrder.decider) {
    return;
  }
  const StoredRollout& stored = aOrder.stored;
  const RolloutPlan& plan = aOrder.decider->Plan();
  const bool isSameOrder = stored.target == plan.target;
  const bool isLost =
    stored.HasOwnStatus() && !stored.HasEnded() && !this->IsOwn(stored.status);
  if (isSameOrder && !stored.HasEnded() && !isLost) {
    if (stored.duration != plan.duration) {
      kLog.Decision("rollout-duration",
                    "service={} order={} revision={} before_ms={} now_ms={}",
                    stored.service,
                    plan.order,
                    stored.revision,
                    plan.duration,
                    stored.duration);
      aOrder.decider->SetDuration(stored.duration);
    }
    // If the store has lost the status, Tick() writes it again.
    if (!aOrder.isStatusLost && stored.HasOwnStatus()) {
      aOrder.decider->SetEra(aOrder.era);
    }
    return;
  }
  kLog.Decision("rollout-left",
                "service={} order={} term={} revision={} state={} decider={}",
                stored.service,
                plan.order,
                plan.term,
                stored.revision,
                kRolloutStateNames.NameOf(stored.status.state),
                stored.status.decider);
  if (stored.HasEnded()) {
    aOrder.decider->AnnounceEnd(stored.status.state);
  }
  aOrder.decider.reset();
  aOrder.takeoverDueAt = this->clock.Now() + kTakeoverPause;
}

bool
RolloutOrders::IsOwn(const RolloutStatus& aStatus) const
{
  return aStatus.decider == this->config.host &&
         aStatus.incarnation == this->config.incarnation;
}

void
RolloutOrders::HandleReport(const wire::RolloutReport& aReport)
{
  this->notices.HandleReport(aReport);
  const auto found = this->orders.find(aReport.serviceName);
  if (found != this->orders.end() && found->second.decider) {
    found->second.decider->HandleReport(aReport);
  }
}

void
RolloutOrders::HandleRestore()
{
  this->claimDueAt = this->clock.Now() + kLostStatusTime + kTakeoverDelay;
}

void
RolloutOrders::HandleShare(const wire::RolloutShare& aShare)
{
  this->memory.LearnShare(aShare);
}

void
RolloutOrders::Tick()
{
  for (auto& [service, order] : this->orders) {
    this->TickOrder(order);
  }
  if (this->hooks.hasStore()) {
    if (this->clock.Now() >= this->versionsDueAt) {
      this->versionsDueAt = this->clock.Now() + kVersionsInterval;
      this->notices.SetVersions(this->hooks.disputedVersions(),
                                this->config.host,
                                this->config.incarnation);
    }
    this->notices.Tick(this->hooks.neighbours());
  }
}

void
RolloutOrders::TickOrder(Order& aOrder)
{
  const bool hasStore = this->hooks.hasStore();
  if (aOrder.decider) {
    aOrder.decider->Tick(hasStore);
    const bool isStatusMissing =
      aOrder.isStatusLost || !aOrder.stored.HasOwnStatus();
    const bool hasEnded =
      aOrder.decider->Decision() != RolloutDecision::Undecided &&
      aOrder.decider->IsEndSafe();
    const bool isWriteDue = isStatusMissing || hasEnded;
    const Millis dueAt =
      aOrder.writeDueAt + (hasStore ? 0 : kStoreLostRetryDelay);
    if (isWriteDue && !aOrder.isWriting && this->clock.Now() >= dueAt) {
      this->Write(aOrder, this->NextStatus(aOrder));
    }
    return;
  }
  const bool hasEnded = aOrder.stored.HasEnded();
  if ((hasEnded && !aOrder.isStatusLost) || aOrder.isWriting || !hasStore ||
      this->clock.Now() < aOrder.writeDueAt) {
    return;
  }
  if (hasEnded) {
    // A rollback is announced before the last shares have ended.
    if (this->clock.Now() >= aOrder.lostAt + kMaxShareTime) {
      this->Write(aOrder, aOrder.stored.status);
    }
    return;
  }
  if (!aOrder.stored.HasOwnStatus()) {
    this->Claim(aOrder);
    return;
  }
  if (this->IsOwn(aOrder.stored.status)) {
    this->BecomeDecider(aOrder);
    return;
  }
  this->TakeOverWhenLost(aOrder);
}

void
RolloutOrders::Claim(Order& aOrder)
{
  if (this->clock.Now() < this->claimDueAt) {
    return; // Another daemon may know a status that the store has lost.
  }
  const StoredRollout& stored = aOrder.stored;
  RolloutStatus status;
  status.state = wire::RolloutState::RUNNING;
  status.target = stored.target;
  status.base = this->hooks.baseVersion(stored.service, stored.target);
  if (status.base.empty()) {
    return;
  }
  // The store may have refused the claim for a time.
  status.startedAt = aOrder.seenAt;
  // Later than any earlier order, also if this host's clock is behind.
  status.order = std::max({ this->wallClock.Now(),
                            stored.status.order + 1,
                            this->memory.LatestOrder(stored.service) + 1 });
  status.term = 1;
  status.duration = stored.duration;
  if (status.base == status.target) {
    status.state = wire::RolloutState::SUCCEEDED; // Nothing to replace.
  }
  this->Write(aOrder, status);
}

/** Handles a status that names this daemon although it does not decide. */
void
RolloutOrders::BecomeDecider(Order& aOrder)
{
  if (!aOrder.isStatusLost) {
    this->StartDecider(aOrder); // The response to the write was lost.
    return;
  }
  // The order itself was lost for a time, and the decider with it.
  RolloutStatus status = aOrder.stored.status;
  ++status.term;
  this->Write(aOrder, status);
}

void
RolloutOrders::TakeOverWhenLost(Order& aOrder)
{
  const RolloutStatus& present = aOrder.stored.status;
  const Millis now = this->clock.Now();
  // A decider that still watches writes a status that the store has lost.
  const bool isSilent =
    aOrder.isStatusLost && now >= aOrder.lostAt + kLostStatusTime;
  if (!isSilent &&
      this->hooks.canDecide(present.decider, present.incarnation)) {
    aOrder.isDeciderLost = false;
    return;
  }
  if (!std::exchange(aOrder.isDeciderLost, true)) {
    aOrder.takeoverDueAt = std::max(aOrder.takeoverDueAt, now + kTakeoverDelay);
  }
  if (now < aOrder.takeoverDueAt) {
    return;
  }
  RolloutStatus status = present;
  ++status.term;
  this->Write(aOrder, status);
}

/** The status that the own decider has reached. */
RolloutStatus
RolloutOrders::NextStatus(const Order& aOrder)
{
  const RolloutPlan& plan = aOrder.decider->Plan();
  RolloutStatus status;
  status.target = plan.target;
  status.base = plan.base;
  status.order = plan.order;
  status.term = plan.term;
  status.duration = plan.duration;
  status.startedAt = this->wallClock.Now() - plan.elapsed;
  if (aOrder.stored.HasOwnStatus()) {
    status.startedAt = aOrder.stored.status.startedAt;
  }
  status.state = wire::RolloutState::RUNNING;
  if (!aOrder.decider->IsEndSafe()) {
    return status;
  }
  switch (aOrder.decider->Decision()) {
    case RolloutDecision::Succeed:
      status.state = wire::RolloutState::SUCCEEDED;
      break;
    case RolloutDecision::RollBack:
      status.state = wire::RolloutState::ROLLED_BACK;
      break;
    default:
      break;
  }
  return status;
}

void
RolloutOrders::StartDecider(Order& aOrder)
{
  const StoredRollout& stored = aOrder.stored;
  RolloutPlan plan;
  plan.service = stored.service;
  plan.order = stored.status.order;
  plan.target = stored.target;
  plan.base = stored.status.base;
  plan.duration = stored.duration;
  plan.elapsed =
    std::max<Millis>(this->wallClock.Now() - stored.status.startedAt, 0);
  plan.wallStart = stored.status.startedAt;
  plan.term = stored.status.term;
  plan.era = aOrder.era;
  plan.exposureShare = this->config.exposureShare;
  plan.exposureSlack = this->config.exposureSlack;
  plan.shareTime =
    std::min(plan.shareTime, this->config.rollbackTime / kShareDivisor);
  RolloutDeciderHooks deciderHooks;
  deciderHooks.self = this->config.host;
  deciderHooks.incarnation = this->config.incarnation;
  deciderHooks.send = this->hooks.send;
  deciderHooks.members = this->hooks.members;
  deciderHooks.slots =
    [this, service = plan.service, base = plan.base, target = plan.target] {
      return this->hooks.slots(service, base, target);
    };
  kLog.Decision("rollout-deciding",
                "service={} order={} term={} target={} base={} duration_ms={} "
                "elapsed_ms={} revision={}",
                plan.service,
                plan.order,
                plan.term,
                plan.target,
                plan.base,
                plan.duration,
                plan.elapsed,
                stored.revision);
  this->notices.Remove(plan.service);
  aOrder.decider = std::make_unique<RolloutDecider>(
    std::move(plan), this->clock, std::move(deciderHooks));
}

bool
RolloutOrders::IsDeciding() const
{
  return std::ranges::any_of(this->orders, [](const auto& aPair) {
    return aPair.second.decider != nullptr;
  });
}

RolloutOrders::Json
RolloutOrders::State() const
{
  Json rows = Json::array();
  for (const auto& [service, order] : this->orders) {
    const RolloutStatus& status = order.stored.status;
    Json row = { { "service", service },
                 { "target", order.stored.target },
                 { "state", kRolloutStateNames.NameOf(status.state) },
                 { "base", status.base },
                 { "decider", status.decider },
                 { "term", status.term } };
    if (order.decider) {
      const EvidenceFinding& finding = order.decider->Evidence();
      row["evidence"] = {
        { "requests", order.decider->Budget().Requests() },
        { "exposure", order.decider->Budget().Exposure() },
        { "budget",
          static_cast<std::int64_t>(order.decider->Budget().Budget()) },
        { "stretch", order.decider->IsStretch() },
        { "decision", kRolloutDecisionNames.NameOf(order.decider->Decision()) },
        { "kind", kEvidenceKindNames.NameOf(finding.kind) },
        { "route", finding.route },
        { "bad", finding.targetBad },
        { "of", finding.targetAnswers },
        { "chance", finding.chance }
      };
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

} // namespace lacewingwharf
