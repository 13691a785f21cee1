// The part of UsageGate that refuses calls.

#include "usage/usagegate.h"

#include "common/log.h"

#include <algorithm>

namespace lacewingwharf {

namespace {

constexpr Log kLog("usage");

// While an accountant moves. A daemon that starts names the time at which it
// lends its own share if that is later, because there may be no tokens before.
constexpr Millis kRetryAfterUnavailable = 500;

} // namespace

void
UsageGate::Refuse(Team& aTeam, const UsageWaiter& aWaiter, Millis aNow)
{
  this->hooks.decided(aWaiter.callId,
                      this->RefusalOf(aTeam, aWaiter.callId, aNow));
}

/**
 * The cap is the reason if the accountants that reply have no token left. Each
 * of them was told of all refused calls, so the pools together have room
 * earlier than either of them.
 */
UsageDecision
UsageGate::RefusalOf(Team& aTeam, const std::string& aCallId, Millis aNow)
{
  double perMilli = 0;
  int empty = 0;
  int unanswered = 0;
  int left = 0;
  Millis age = -1;
  std::string accountants;
  for (const Source& source : aTeam.sources) {
    if (source.host.empty()) {
      continue;
    }
    accountants += (accountants.empty() ? "" : ",") + source.host;
    age = std::max(age, this->links.AgeOf(source.host, aNow));
    if (source.noneUntil > aNow) {
      ++empty;
      left += source.left;
      perMilli +=
        1.0 / static_cast<double>(std::max<Millis>(1, source.retryAt - aNow));
    } else if (source.unavailableUntil <= aNow &&
               !this->links.IsSilent(source.host, aNow)) {
      ++unanswered;
    }
  }
  const bool isCap = empty > 0 && unanswered == 0;
  UsageDecision decision;
  decision.verdict = UsageVerdict::Refused;
  Refusal& refusal = decision.refusal;
  refusal.reason =
    isCap ? RefusalReason::TeamRate : RefusalReason::TeamUnavailable;
  refusal.owner = aTeam.name;
  refusal.bound = aTeam.rate;
  refusal.seen = static_cast<std::int64_t>(left);
  refusal.retryAfter = isCap
                         ? static_cast<Millis>(1 / perMilli) + 1
                         : std::max(kRetryAfterUnavailable,
                                    this->loans.FirstLoanIn(aTeam.group, aNow));
  ++aTeam.counts.refused;
  kLog.Decision("usage-refused",
                "call={} team={} reason={} rate={} burst={} version={} "
                "waiting={} left={} accountants={} reply_age_ms={} members={} "
                "retry_after_ms={}",
                aCallId,
                aTeam.name,
                kRefusalReasonNames.NameOf(refusal.reason),
                aTeam.rate,
                aTeam.burst,
                this->snapshot->Version(),
                aTeam.tokens.Waiting(),
                left,
                accountants,
                age,
                this->loans.Members(),
                refusal.retryAfter);
  return decision;
}

} // namespace lacewingwharf
