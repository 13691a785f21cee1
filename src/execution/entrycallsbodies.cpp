// The part of EntryCalls that sends the bodies of large requests.

#include "execution/callrequest.h"
#include "execution/entrycalls.h"
#include "execution/linkparts.h"

#include <algorithm>
#include <utility>

namespace lacewingwharf {

/** Whether the body is sent only when the destination's link has room. */
bool
EntryCalls::MustAnnounce(const EntryCall& aCall) const
{
  const std::size_t bytes = aCall.http.body.size();
  return aCall.entry->hasLargeRequests && bytes >= kMinLargeBytes &&
         bytes <= kMaxEntryBodyBytes &&
         aCall.attempt.endpoint.host != this->config.host;
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
  call->attempt.grantedBytes = std::max(call->attempt.grantedBytes, granted);
  this->SendGrantedParts(*call);
}

/**
 * Sends what the own link has room for. The rest, and what the ring buffer to
 * the peer thread refuses, is sent at a later tick.
 */
void
EntryCalls::SendGrantedParts(EntryCall& aCall)
{
  Attempt& attempt = aCall.attempt;
  const double now = this->clock.PreciseNow();
  const std::size_t bytes =
    this->outgoingLink.RoomFor(attempt.grantedBytes - attempt.sentBytes, now);
  if (bytes == 0) {
    return;
  }
  wire::BodyPart part;
  part.callId = attempt.id;
  part.offset = static_cast<std::int64_t>(attempt.sentBytes);
  part.data = aCall.http.body.substr(attempt.sentBytes, bytes);
  wire::Envelope envelope;
  // Assigns the field directly, because the generated setter copies the data.
  envelope.bodyPart = std::move(part);
  envelope.__isset.bodyPart = true;
  if (this->SendTo(attempt.endpoint, std::move(envelope))) {
    attempt.sentBytes += bytes;
    this->outgoingLink.RecordSent(bytes, now);
  }
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
