// The part of DestinationCalls that receives the bodies of large requests.

#include "common/log.h"
#include "execution/destinationcalls.h"
#include "execution/serveranswer.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace lacewingwharf {

namespace {

constexpr Log kLog("slots");

} // namespace

/** Refuses a call whose body would reach this host too late. */
std::optional<Refusal>
DestinationCalls::CheckLinkForRequest(const Call& aCall) const
{
  const auto lateness = this->requestPacer.LatenessOf(aCall.bodyBytes,
                                                      aCall.targetAt,
                                                      aCall.deadlineAt,
                                                      this->clock.PreciseNow());
  if (!lateness) {
    return std::nullopt;
  }
  return this->LinkRefusal(aCall, *lateness);
}

void
DestinationCalls::ReceiveBody(const std::string& aCallId, Call& aCall)
{
  this->receiving.push_back(aCallId);
  this->requestPacer.Add(aCallId, aCall.bodyBytes);
  this->SendGrants();
}

/** A grant that the ring buffer to the peer thread refuses is sent later. */
void
DestinationCalls::SendGrants()
{
  while (true) {
    const auto part = this->unsentGrant
                        ? std::exchange(this->unsentGrant, std::nullopt)
                        : this->requestPacer.TakeNext(this->clock.PreciseNow());
    if (!part) {
      return;
    }
    const auto call = this->calls.find(part->callId);
    if (call == this->calls.end()) {
      continue; // Ended in the meantime.
    }
    wire::BodyGrant grant;
    grant.callId = part->callId;
    grant.bytes = static_cast<std::int64_t>(part->grantedBytes);
    if (!this->hooks.grant(call->second.origin, std::move(grant))) {
      this->unsentGrant = part;
      return;
    }
  }
}

void
DestinationCalls::HandleBodyPart(const wire::BodyPart& aPart)
{
  const auto found = this->calls.find(aPart.callId);
  if (found == this->calls.end() || found->second.stage != Stage::Receiving) {
    return; // Ended in the meantime.
  }
  Call& call = found->second;
  std::string& body = call.request.body;
  const bool isNext = aPart.offset == static_cast<std::int64_t>(body.size()) &&
                      aPart.data.size() <= call.bodyBytes - body.size();
  if (!isNext) {
    this->RefuseWithReason(aPart.callId, RefusalReason::NotConnected);
    return;
  }
  if (body.empty()) {
    body.reserve(call.bodyBytes);
  }
  body += aPart.data;
  if (body.size() < call.bodyBytes) {
    this->requestPacer.RecordReceived(aPart.callId, body.size());
    this->SendGrants();
    return;
  }
  this->requestPacer.Remove(aPart.callId);
  std::erase(this->receiving, aPart.callId);
  call.stage = Stage::Waiting;
  kLog.Decision("request-received",
                "request={} call={} bytes={} took_ms={:.0f} waiting={}",
                this->RequestIdOf(call),
                aPart.callId,
                call.bodyBytes,
                this->clock.PreciseNow() - call.receivedAt,
                this->requestPacer.WaitingBytes());
  // The daemons may have learned meanwhile that the request crashes servers.
  if (this->hooks.isQuarantined(
        static_cast<std::uint64_t>(call.request.digest))) {
    this->RefuseWithReason(aPart.callId, RefusalReason::Quarantined);
  } else {
    this->admission.Offer(this->MakeAdmissionRequest(call));
  }
  this->SendGrants();
}

/** Refuses calls whose body has not arrived by their deadline. */
void
DestinationCalls::RefuseLateBodies()
{
  const Millis now = this->clock.Now();
  std::vector<std::string> late;
  std::ranges::copy_if(
    this->receiving, std::back_inserter(late), [&](const std::string& aId) {
      return this->calls.at(aId).deadlineAt <= now;
    });
  std::ranges::for_each(late, [this](const std::string& aId) {
    this->RefuseWithReason(aId, RefusalReason::DeadlinePassed);
  });
}

void
DestinationCalls::RefuseWithReason(const std::string& aCallId,
                                   RefusalReason aReason)
{
  const wire::CallRequest& request = this->calls.at(aCallId).request;
  Refusal refusal;
  refusal.reason = aReason;
  refusal.entry = request.entry;
  refusal.owner = request.owner;
  this->RefuseCall(aCallId, refusal);
}

} // namespace lacewingwharf
