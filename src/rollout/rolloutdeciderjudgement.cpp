// The part of RolloutDecider that judges the target version.

#include "rollout/rolloutdecider.h"

#include "common/log.h"

#include <algorithm>

namespace lacewingwharf {

namespace {

constexpr Log kLog("rollout");

// Requests of the budget with which the last stretch ends, as time at the rate
// of the service. A daemon without a share would use the old servers again.
constexpr double kLastBudgetTime = 300;
constexpr double kLastOpenTime = 60; // Of what is not handed out.

// The old servers stop when the rollout has succeeded, so the decider waits
// until they are idle. The new ones show meanwhile how they bear the full load.
constexpr Millis kMinStretchTime = 500;
constexpr Millis kFastStretchTime = 250; // With so many answers:
constexpr std::int64_t kEnoughStretchAnswers = 40;
constexpr Millis kUsualStretchTime = 1000;
constexpr Millis kMaxStretchTime = 1500;
constexpr Millis kStretchDivisor = 8; // Of the duration, for short orders.

// Time before the end of the order for the write of the status, at least, and
// the answers without which the order is rolled back.
constexpr Millis kLastWriteTime = 600;
constexpr std::int64_t kLeastAnswers = 20;

// Probabilities of a false alarm: at each look, where about fifty looks at
// growing counts are made, and at the last one. They are divided by the number
// of comparisons.
constexpr double kAlarmChance = 0.0005;
constexpr double kFinalAlarmChance = 0.01;

// With a sign as strong as this, the stretch uses all its time for more
// answers.
constexpr double kSuspectChance = 0.2;

// Fewer bad answers than this may have any cause.
constexpr std::int64_t kMinBadAnswers = 3;

// With fewer requests, a version without answers may just have got none.
constexpr std::int64_t kMinExposure = 5;

// The comparison of 100 routes takes some milliseconds of a whole core.
constexpr Millis kEvidenceInterval = 200;

} // namespace

/** Whether every daemon sends to the target and has nothing at the base. */
bool
RolloutDecider::AreOthersIdle() const
{
  constexpr Millis kRecent = 1000;
  return std::ranges::all_of(
    this->budget.Reporters(), [this](const auto& aPair) {
      const RolloutReporter& reporter = aPair.second;
      return this->clock.Now() - reporter.reportedAt > kRecent ||
             (reporter.sequence >= this->stretchSequence &&
              reporter.othersRunning == 0);
    });
}

/**
 * Whether the stretch has shown enough, or cannot show more, and the others are
 * idle; or whether it has lasted too long.
 */
bool
RolloutDecider::IsStretchOver() const
{
  const Millis longest =
    std::min(kMaxStretchTime, this->plan.duration / kStretchDivisor);
  const Millis stretch = this->clock.Now() - this->stretchAt;
  // After a late takeover, what is known has to suffice.
  const bool isLastChance =
    this->Elapsed() >= this->plan.duration - kLastWriteTime &&
    this->evidence.TargetAnswers() >= kLeastAnswers;
  if (stretch >= longest || isLastChance) {
    return true;
  }
  if (this->IsBad(kSuspectChance)) {
    return false;
  }
  const double left =
    this->budget.Budget() - static_cast<double>(this->budget.Exposure());
  const bool isBudgetLow =
    !this->HasBudgetFor(kLastBudgetTime) ||
    left < this->RateOf(this->budget.Requests()) * kLastOpenTime;
  const std::int64_t answers =
    this->evidence.TargetAnswers() - this->answersBeforeStretch;
  const Millis least =
    answers >= kEnoughStretchAnswers ? kFastStretchTime : kMinStretchTime;
  const bool isLongEnough =
    stretch >= std::min(isBudgetLow ? least : kUsualStretchTime, longest);
  return isLongEnough && this->AreOthersIdle();
}

void
RolloutDecider::UpdateEvidence()
{
  this->evidenceAt = this->clock.Now() + kEvidenceInterval;
  this->finding = this->evidence.Strongest();
}

bool
RolloutDecider::IsBad(double aChance) const
{
  return this->finding.targetBad >= kMinBadAnswers &&
         this->finding.chance * static_cast<double>(this->finding.comparisons) <
           aChance;
}

RolloutDecision
RolloutDecider::Judge()
{
  if (this->clock.Now() >= this->evidenceAt) {
    this->UpdateEvidence();
  }
  if (this->IsBad(kAlarmChance)) {
    this->Decide(RolloutDecision::RollBack, "evidence");
    return this->decision;
  }
  if (this->Elapsed() >= this->plan.duration) {
    this->Decide(RolloutDecision::RollBack, "out-of-time");
    return this->decision;
  }
  if (!this->IsStretch() || !this->IsStretchOver()) {
    return this->decision;
  }
  if (this->evidence.TargetAnswers() == 0 &&
      this->budget.Exposure() >= kMinExposure) {
    this->Decide(RolloutDecision::RollBack, "no-answers");
    return this->decision;
  }
  this->UpdateEvidence();
  const bool isBad = this->IsBad(kFinalAlarmChance);
  this->Decide(isBad ? RolloutDecision::RollBack : RolloutDecision::Succeed,
               isBad ? "final-evidence" : "no-evidence-against");
  return this->decision;
}

void
RolloutDecider::Decide(RolloutDecision aDecision, const char* aReason)
{
  this->decision = aDecision;
  kLog.Decision(
    "rollout-decided",
    "service={} order={} target={} decision={} reason={} elapsed_ms={} "
    "requests={} exposure={} budget={:.0f} target_answers={} kind={} route={} "
    "bad={} of={} base_share={:.4f} chance={:.2g} comparisons={}",
    this->plan.service,
    this->plan.order,
    this->plan.target,
    kRolloutDecisionNames.NameOf(aDecision),
    aReason,
    this->Elapsed(),
    this->budget.Requests(),
    this->budget.Exposure(),
    this->budget.Budget(),
    this->evidence.TargetAnswers(),
    kEvidenceKindNames.NameOf(this->finding.kind),
    this->finding.route.empty() ? "-" : this->finding.route,
    this->finding.targetBad,
    this->finding.targetAnswers,
    this->finding.baseShare,
    this->finding.chance,
    this->finding.comparisons);
  if (aDecision == RolloutDecision::RollBack) {
    this->Announce(true);
  }
}

} // namespace lacewingwharf
