#include "execution/callanswer.h"

#include "execution/limitmemory.h"

#include <fmt/format.h>

#include <utility>

namespace lacewingwharf {

bool
IsFreeToRetry(RefusalReason aReason)
{
  return IsLimitRefusal(aReason) || aReason == RefusalReason::Draining ||
         aReason == RefusalReason::NotConnected ||
         aReason == RefusalReason::Fenced ||
         aReason == RefusalReason::OtherServer ||
         aReason == RefusalReason::ShuttingDown;
}

bool
ReachedServer(RefusalReason aReason)
{
  return aReason == RefusalReason::ServerRefused;
}

bool
IsRetryable(RefusalReason aReason)
{
  return aReason != RefusalReason::DeadlinePassed &&
         aReason != RefusalReason::Quarantined;
}

CallEnd
CallEndOf(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::NotConnected:
      return CallEnd::Lost;
    case RefusalReason::ServerRefused:
      return CallEnd::Failed; // The daemon had a slot; the server refused.
    default:
      return CallEnd::Refused;
  }
}

Refusal
RefusalOf(const wire::CallAnswer& aAnswer)
{
  Refusal refusal;
  refusal.reason = kRefusalReasonNames.ValueOf(aAnswer.reason)
                     .value_or(RefusalReason::Overload);
  refusal.owner = aAnswer.owner;
  refusal.bound = aAnswer.bound;
  refusal.seen = aAnswer.seen;
  refusal.retryAfter = aAnswer.retryAfterMillis;
  return refusal;
}

Ending
RefusalEnding(const EntryCall& aCall,
              const Refusal& aRefusal,
              const CallDialect& aDialect)
{
  Ending ending;
  ending.outcome = aCall.mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
  ending.status = StatusFor(aDialect, aRefusal.reason, aCall.mayHaveRun);
  ending.reason = kRefusalReasonNames.NameOf(aRefusal.reason);
  ending.isRefusal = true;
  ending.refusal = aRefusal;
  if (aCall.entry != nullptr) {
    ending.refusal.entry = aCall.entry->name;
    if (ending.refusal.owner.empty()) {
      ending.refusal.owner = aCall.entry->owner;
    }
  }
  return ending;
}

Ending
UnknownEnding(const std::string& aReason, bool aIsLate)
{
  constexpr int kGatewayTimeout = 504;
  constexpr int kBadGateway = 502;
  const int status = aIsLate ? kGatewayTimeout : kBadGateway;
  return { Outcome::Unknown, status, aReason, {}, false };
}

Ending
DuplicateEnding()
{
  constexpr int kConflict = 409;
  return { Outcome::Unknown, kConflict, "duplicate-key", {}, false };
}

HttpAnswer
DoneAnswer(wire::CallAnswer aAnswer, const CallDialect& aDialect)
{
  HttpAnswer answer;
  answer.status = aAnswer.status;
  const HttpHeaders headers(aAnswer.headers.begin(), aAnswer.headers.end());
  answer.headers = EndToEndHeaders(headers);
  if (aDialect.addsOwnHeaders) {
    answer.headers[kOutcomeHeader] = kOutcomeNames.NameOf(Outcome::Done);
  }
  answer.body = std::move(aAnswer.body);
  answer.endsWithConnection =
    aAnswer.__isset.endsWithConnection && aAnswer.endsWithConnection;
  return answer;
}

void
AddCallHeaders(const EntryCall& aCall, HttpAnswer& aAnswer)
{
  if (aCall.entry != nullptr) {
    aAnswer.headers[kEntryHeader] = aCall.entry->name;
    aAnswer.headers[kOwnerHeader] = aCall.entry->owner;
  }
  if (aCall.snapshot) {
    aAnswer.headers[kVersionHeader] =
      fmt::format("{}", aCall.snapshot->Version());
  }
  aAnswer.headers[kCallIdHeader] = aCall.id;
}

Observation
ObservationOf(const EntryCall& aCall,
              CallEnd aEnd,
              const wire::CallAnswer& aAnswer,
              double aNow)
{
  Observation observation;
  observation.end = aEnd;
  observation.latencyMillis = aNow - aCall.attempt.startedAt;
  if (aAnswer.slots > 0) {
    observation.running = aAnswer.running;
    observation.waiting = aAnswer.waiting;
    observation.slots = aAnswer.slots;
  }
  return observation;
}

} // namespace lacewingwharf
