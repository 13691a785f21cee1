#include "rollout/rolloutdecider.h"

#include "common/log.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr Log kLog("rollout");

// A new decider hands out nothing until the shares of the one before it have
// ended and every daemon that it reaches has reported since.
constexpr Millis kTakeoverWait = 1600;

constexpr Millis kAnnounceInterval = 500;

// The order ends earlier by this for its deciders: the first one learns of it
// late, and the wall clocks of later ones may differ.
constexpr Millis kEndMargin = 500;

// Part of the budget for the time before the last stretch.
constexpr double kProbePart = 0.35;

// Part of that at the beginning; the rest follows evenly, because a version may
// turn bad later.
constexpr double kFirstProbePart = 0.4;

// Time at the rate of the service for which the stretch of a small service
// keeps requests.
constexpr double kReservedStretchTime = 1200;

// Shares that are handed out for each request that is wanted, at most.
constexpr double kMaxSpread = 10;

// Requests that a daemon may send between two reports, as time at its rate.
constexpr double kGrantTime = 400;
constexpr double kStretchGrantTime = 200;

// Parts of the duration: when the last stretch begins, if the budget is
// sufficient, and when it begins in any case. The rest is for the stretch and
// for the write of the status, which takes seconds on bad days.
constexpr double kStretchPart = 0.65;
constexpr double kLateStretchPart = 0.8;

// Requests of the stretch that the budget must have when it begins, as time at
// the rate of the service.
constexpr double kStretchBudgetTime = 900;

// Slots of the target version that the stretch needs, by those of the base.
constexpr double kSlotsPart = 0.75;

// Slices of evidence: short against the duration of a disturbance.
constexpr Millis kMinSliceTime = 1000;
constexpr Millis kMaxSlices = 30;

constexpr int kTermShift = 40;

} // namespace

RolloutDecider::RolloutDecider(RolloutPlan aPlan,
                               Clock aClock,
                               RolloutDeciderHooks aHooks)
  : plan(std::move(aPlan))
  , clock(std::move(aClock))
  , hooks(std::move(aHooks))
  , startedAt(this->clock.Now())
  , budget(this->plan.exposureShare, this->plan.exposureSlack)
  , sequence(this->plan.term << kTermShift)
  , sliceAt(this->startedAt)
{
}

std::int64_t
RolloutDecider::TermOf(std::int64_t aSequence)
{
  return aSequence >> kTermShift;
}

Millis
RolloutDecider::Elapsed() const
{
  return this->plan.elapsed + kEndMargin + this->clock.Now() - this->startedAt;
}

/** Requests in a millisecond, if there were aRequests since the order. */
double
RolloutDecider::RateOf(std::int64_t aRequests) const
{
  return static_cast<double>(aRequests) /
         static_cast<double>(std::max<Millis>(this->Elapsed(), 1));
}

bool
RolloutDecider::IsGranting() const
{
  return this->hasBegun && this->hasStore &&
         this->decision != RolloutDecision::RollBack &&
         this->Elapsed() < this->plan.duration;
}

/** Raises the reporter's limit to what it needs until its next report. */
void
RolloutDecider::Grant(RolloutReporter& aReporter)
{
  const double rate = this->RateOf(aReporter.requests);
  // In the stretch, a daemon that has used its share up reports at once.
  const auto need = static_cast<std::int64_t>(
    this->IsStretch() ? std::max(1.0, std::ceil(rate * kStretchGrantTime))
                      : 1 + std::ceil(rate * kGrantTime));
  this->budget.Grant(aReporter, need, this->OpenRequests());
}

/** The part of the budget that may be used by now, before the stretch. */
double
RolloutDecider::ProbePart() const
{
  const double passed =
    static_cast<double>(this->Elapsed()) /
    (kStretchPart * static_cast<double>(this->plan.duration));
  // A small service needs little of its budget for the stretch.
  const double stretch =
    this->RateOf(this->budget.Requests()) * kReservedStretchTime;
  const double part =
    std::max(kProbePart, 1 - stretch / std::max(this->budget.Budget(), 1.0));
  return part * std::min(1.0, kFirstProbePart + (1 - kFirstProbePart) * passed);
}

/** Requests that may still be sent by now, before the stretch. */
std::int64_t
RolloutDecider::ProbesLeft() const
{
  const double most = this->ProbePart() * this->budget.Budget();
  return std::max<std::int64_t>(
    static_cast<std::int64_t>(most) - this->budget.Reported(), 0);
}

/**
 * Requests that daemons may have been allowed and not have sent. If there are
 * more daemons than requests between two reports, few of them use their share
 * in that time, so more shares are handed out than requests are wanted.
 */
std::int64_t
RolloutDecider::OpenRequests() const
{
  if (this->IsStretch()) {
    return std::numeric_limits<std::int64_t>::max();
  }
  const double requests = this->RateOf(this->budget.Requests()) * kGrantTime;
  const auto daemons = static_cast<double>(this->budget.Reporters().size());
  const double spread =
    std::clamp(daemons / std::max(requests, 1.0), 1.0, kMaxSpread);
  return static_cast<std::int64_t>(static_cast<double>(this->ProbesLeft()) *
                                   spread);
}

/** Whether the budget suffices for that time at the rate of the service. */
bool
RolloutDecider::HasBudgetFor(double aMillis) const
{
  // What was handed out and not used yet is used first.
  const double available =
    this->budget.Budget() - static_cast<double>(this->budget.Reported());
  return available >= this->RateOf(this->budget.Requests()) * aMillis;
}

void
RolloutDecider::HandleReport(const wire::RolloutReport& aReport)
{
  if (aReport.order != this->plan.order) {
    return; // The sender does not know the order yet, and will get a share.
  }
  this->evidence.Merge(aReport);
  RolloutReporter* const reporter =
    this->budget.Merge(aReport, this->clock.Now());
  if (reporter == nullptr) {
    return;
  }
  const bool wasRolledBack = aReport.state == wire::RolloutState::ROLLED_BACK &&
                             this->decision == RolloutDecision::Undecided;
  if (wasRolledBack) {
    this->Decide(RolloutDecision::RollBack, "earlier-decider");
  }
  if (this->IsGranting()) {
    this->Grant(*reporter);
  }
  // A report of many routes has several datagrams with the same stamp.
  if (aReport.state == wire::RolloutState::RUNNING && !reporter->isAnswered) {
    reporter->isAnswered = true;
    this->SendShare(aReport.host, reporter);
  }
}

wire::RolloutShare
RolloutDecider::MakeShare(wire::RolloutState::type aState)
{
  wire::RolloutShare share;
  share.decider = this->hooks.self;
  share.serviceName = this->plan.service;
  share.order = this->plan.order;
  share.state = aState;
  share.targetVersion = this->plan.target;
  share.baseVersion = this->plan.base;
  share.sequence = ++this->sequence;
  share.storeEra = this->plan.era;
  share.deciderIncarnation = this->hooks.incarnation;
  share.isStretch = this->IsStretch();
  const VersionSlots slots = this->hooks.slots();
  const bool isEarly = this->Elapsed() * 3 < this->plan.duration;
  share.servers =
    this->IsStretch() ? 0 : std::max(1, isEarly ? 1 : slots.targetServers / 4);
  return share;
}

/** aReporter is null if the daemon has not reported. */
void
RolloutDecider::SendShare(const std::string& aHost, RolloutReporter* aReporter)
{
  const auto state = this->decision == RolloutDecision::RollBack
                       ? wire::RolloutState::ROLLED_BACK
                       : wire::RolloutState::RUNNING;
  wire::RolloutShare share = this->MakeShare(state);
  if (aReporter != nullptr) {
    // Before the stretch, open shares rest when enough requests were sent.
    const bool isResting = !this->IsStretch() && this->ProbesLeft() == 0;
    share.limit = isResting ? aReporter->exposed : aReporter->limit;
    share.incarnation = aReporter->incarnation;
    share.echo = aReporter->stamp;
  }
  if (aReporter != nullptr && this->IsGranting()) {
    const Millis left = this->plan.duration - this->Elapsed();
    share.validMillis =
      static_cast<std::int32_t>(std::min(this->plan.shareTime, left));
    // The echo is older than the report's arrival, so this is an upper bound.
    aReporter->validUntil = aReporter->reportedAt + this->plan.shareTime;
  }
  this->hooks.send(aHost, std::move(share));
}

/** Sends shares to the live members that have not reported lately, or to all.
 */
void
RolloutDecider::Announce(bool aToAll)
{
  const Millis now = this->clock.Now();
  for (const RolloutMember& member : this->hooks.members()) {
    RolloutReporter* const reporter = this->budget.Find(member.host);
    const bool isSilent =
      reporter == nullptr || now - reporter->reportedAt >= kAnnounceInterval;
    if (member.isAlive && (aToAll || isSilent)) {
      this->SendShare(member.host, reporter);
    }
  }
}

/**
 * What earlier deciders handed out to daemons that do not report, or that have
 * lost their counts in a restart, counts as sent.
 */
void
RolloutDecider::BeginGrants()
{
  const bool isTakeover = this->plan.term > 1;
  if (this->hasBegun ||
      (isTakeover && this->clock.Now() - this->startedAt < kTakeoverWait)) {
    return;
  }
  this->hasBegun = true;
  if (!isTakeover) {
    return;
  }
  const auto members = this->hooks.members();
  const bool isComplete =
    std::ranges::all_of(members, [this](const RolloutMember& aMember) {
      const RolloutReporter* const reporter = this->budget.Find(aMember.host);
      return reporter != nullptr &&
             reporter->incarnation == aMember.incarnation &&
             this->clock.Now() - reporter->reportedAt < kTakeoverWait;
    });
  const bool mayHaveRestarted =
    std::ranges::any_of(members, [this](const RolloutMember& aMember) {
      return aMember.incarnation >= this->plan.wallStart;
    });
  if (!isComplete || mayHaveRestarted) {
    this->budget.CountAllAsSent();
  }
  kLog.Decision("rollout-taken-over",
                "service={} order={} term={} complete={} requests={} "
                "exposure={} budget={:.0f}",
                this->plan.service,
                this->plan.order,
                this->plan.term,
                isComplete && !mayHaveRestarted,
                this->budget.Requests(),
                this->budget.Exposure(),
                this->budget.Budget());
}

bool
RolloutDecider::MayBeginStretch() const
{
  const auto part = [this](double aPart) {
    return static_cast<Millis>(aPart *
                               static_cast<double>(this->plan.duration));
  };
  if (this->IsStretch() || !this->IsGranting() ||
      this->Elapsed() < part(kStretchPart)) {
    return false;
  }
  const VersionSlots slots = this->hooks.slots();
  if (slots.targetServers == 0) {
    return false;
  }
  if (this->Elapsed() >= part(kLateStretchPart)) {
    return true;
  }
  return slots.target >= kSlotsPart * slots.base &&
         this->HasBudgetFor(kStretchBudgetTime);
}

void
RolloutDecider::BeginStretch()
{
  this->stretchAt = this->clock.Now();
  this->stretchSequence = this->sequence + 1;
  this->evidence.StartStretch();
  this->answersBeforeStretch = this->evidence.TargetAnswers();
  kLog.Decision("rollout-stretch",
                "service={} order={} elapsed_ms={} requests={} exposure={} "
                "budget={:.0f} target_answers={} target_failures={}",
                this->plan.service,
                this->plan.order,
                this->Elapsed(),
                this->budget.Requests(),
                this->budget.Exposure(),
                this->budget.Budget(),
                this->evidence.TargetAnswers(),
                this->evidence.TargetFailures());
  // The daemons with the most requests come first, if the budget is short.
  std::ranges::for_each(
    this->budget.ByRequests(),
    [this](RolloutReporter* aReporter) { this->Grant(*aReporter); });
  this->Announce(true);
}

RolloutDecision
RolloutDecider::Tick(bool aHasStore)
{
  if (this->hasStore != aHasStore) {
    kLog.Decision("rollout-store",
                  "service={} order={} answers={} exposure={}",
                  this->plan.service,
                  this->plan.order,
                  aHasStore,
                  this->budget.Exposure());
  }
  this->hasStore = aHasStore;
  const Millis now = this->clock.Now();
  const Millis slice =
    std::max(kMinSliceTime, this->plan.duration / kMaxSlices);
  if (now - this->sliceAt >= slice) {
    this->sliceAt = now;
    this->evidence.StartSlice();
  }
  if (this->decision == RolloutDecision::Undecided && aHasStore) {
    this->BeginGrants();
    if (this->MayBeginStretch()) {
      this->BeginStretch();
    }
    this->Judge();
  }
  if (now >= this->announceAt) {
    this->announceAt = now + kAnnounceInterval;
    this->Announce(false);
  }
  return this->decision;
}

bool
RolloutDecider::IsEndSafe() const
{
  if (this->decision != RolloutDecision::RollBack) {
    return true;
  }
  if (this->plan.term > 1 &&
      this->clock.Now() - this->startedAt < kTakeoverWait) {
    return false; // Shares of the decider before may be valid.
  }
  return std::ranges::all_of(
    this->budget.Reporters(), [this](const auto& aPair) {
      const RolloutReporter& reporter = aPair.second;
      return reporter.state == wire::RolloutState::ROLLED_BACK ||
             this->clock.Now() > reporter.validUntil;
    });
}

void
RolloutDecider::AnnounceEnd(wire::RolloutState::type aState)
{
  for (const RolloutMember& member : this->hooks.members()) {
    if (member.isAlive) {
      this->hooks.send(member.host, this->MakeShare(aState));
    }
  }
}

} // namespace lacewingwharf
