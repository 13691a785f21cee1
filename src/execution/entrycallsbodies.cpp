// The part of EntryCalls that sends the bodies of large requests.

#include "execution/callrequest.h"
#include "execution/entrycalls.h"
#include "execution/linkparts.h"

#include <algorithm>
#include <utility>

namespace lacewingwharf {

/** Whether the body is sent only when the destination's link has room. */
bool
EntryCalls::MustAnnounce(const EntryCall& aCall,
                         const EndpointInfo& aEndpoint) const
{
  const std::size_t bytes = aCall.http.body.size();
  return aCall.entry->hasLargeRequests && bytes >= kMinLargeBytes &&
         bytes <= kMaxEntryBodyBytes && aEndpoint.host != this->config.host;
}

/** Refuses a call whose body would leave this host too late. */
std::optional<Refusal>
EntryCalls::CheckOwnLink(const EntryCall& aCall, const EndpointInfo& aEndpoint)
{
  if (!this->MustAnnounce(aCall, aEndpoint)) {
    return std::nullopt;
  }
  // What an earlier attempt has left unsent must not count.
  this->ForgetEndedBodies();
  std::optional<Millis> targetAt;
  if (aCall.entry->limits.target > 0) {
    targetAt = aCall.targetAt;
  }
  const Millis deadlineAt = this->EndOf(aCall);
  const std::size_t bytes = aCall.http.body.size();
  const auto lateness = this->outgoingLink.LatenessOf(
    bytes, targetAt, deadlineAt, this->clock.PreciseNow());
  if (!lateness) {
    return std::nullopt;
  }
  Refusal refusal;
  refusal.reason = RefusalReason::LinkFull;
  refusal.entry = aCall.entry->name;
  refusal.owner = aCall.entry->owner;
  refusal.bound = targetAt.value_or(deadlineAt) - this->clock.Now();
  refusal.seen = refusal.bound + *lateness;
  refusal.retryAfter = this->outgoingLink.RetryAfter(bytes, *lateness);
  return refusal;
}

void
EntryCalls::HandleGrant(const wire::BodyGrant& aGrant)
{
  const EntryCallPtr call = this->openCalls.FindAttempt(aGrant.callId);
  if (!call || call->attempt.id != aGrant.callId ||
      !call->attempt.isAnnounced || aGrant.bytes < 0) {
    return; // Ended in the meantime.
  }
  const auto granted =
    std::min(static_cast<std::size_t>(aGrant.bytes), call->http.body.size());
  std::size_t& known = call->attempt.grantedBytes;
  if (granted > known) {
    this->outgoingLink.Add(aGrant.callId, granted - known);
    known = granted;
  }
  this->SendParts();
}

/**
 * Sends what the own link has room for. The rest, and what the ring buffer to
 * the peer thread refuses, is sent at a later tick. After the deadline, the
 * call can only end as not run while a part is missing.
 */
void
EntryCalls::SendParts()
{
  this->ForgetEndedBodies();
  const double preciseNow = this->clock.PreciseNow();
  while (const auto part = this->outgoingLink.Next(preciseNow)) {
    if (!this->SendPart(*this->openCalls.FindAttempt(part->attemptId), *part)) {
      return;
    }
    this->outgoingLink.RecordSent(*part, preciseNow);
  }
}

/** Drops what the own link will not send: its calls ended, or soon will. */
void
EntryCalls::ForgetEndedBodies()
{
  const Millis now = this->clock.Now();
  this->outgoingLink.RemoveIf([this, now](const std::string& aAttemptId) {
    const EntryCallPtr call = this->openCalls.FindAttempt(aAttemptId);
    return !call || call->attempt.id != aAttemptId || call->hasCallerLeft ||
           now >= this->EndOf(*call);
  });
}

bool
EntryCalls::SendPart(EntryCall& aCall, const OutgoingPart& aPart)
{
  Attempt& attempt = aCall.attempt;
  wire::BodyPart part;
  part.callId = attempt.id;
  part.offset = static_cast<std::int64_t>(attempt.sentBytes);
  part.data = aCall.http.body.substr(attempt.sentBytes, aPart.bytes);
  wire::Envelope envelope;
  // Assigns the field directly, because the generated setter copies the data.
  envelope.bodyPart = std::move(part);
  envelope.__isset.bodyPart = true;
  if (!this->SendTo(attempt.endpoint, std::move(envelope))) {
    return false;
  }
  attempt.sentBytes += aPart.bytes;
  return true;
}

/**
 * Sends a call elsewhere whose body was not sent whole, so that it has not run.
 * The cancel frees the turn and the memory that its destination keeps for it.
 */
void
EntryCalls::GiveUpAnnounced(const EntryCall& aCall)
{
  const Attempt attempt = aCall.attempt;
  this->queries.Cancel(attempt);
  this->HandleUnsent(attempt.id);
}

/** Ends such a call at its deadline. The destination counts as silent. */
void
EntryCalls::EndAnnounced(const EntryCallPtr& aCall)
{
  this->queries.Cancel(aCall->attempt);
  this->openCalls.CloseAttempt(aCall->attempt);
  --aCall->deliveries;
  this->RecordObservation(*aCall, CallEnd::Lost, {});
  this->RefuseWithReason(aCall, RefusalReason::DeadlinePassed);
}

} // namespace lacewingwharf
