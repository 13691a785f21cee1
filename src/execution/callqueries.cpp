#include "execution/callqueries.h"

#include "common/log.h"
#include "execution/callrequest.h"

#include <algorithm>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr Log kLog("calls");
constexpr Millis kQueryInterval = 250;

} // namespace

CallQueries::CallQueries(Clock aClock, Millis aWait, Send aSend)
  : clock(std::move(aClock))
  , wait(aWait)
  , send(std::move(aSend))
{
}

bool
CallQueries::MayQuery(const EntryCall& aCall) const
{
  // Answers are accepted until the time limit ends, so the destination has to
  // keep its record of the call until then.
  const double end = this->clock.PreciseNow() + static_cast<double>(this->wait);
  return end < aCall.attempt.startedAt + static_cast<double>(kAnswerRetention);
}

void
CallQueries::Begin(EntryCall& aCall)
{
  kLog.Decision("fate-asked",
                "request={} call={} host={} reason=session-lost",
                aCall.requestId,
                aCall.id,
                aCall.attempt.endpoint.host);
  aCall.stage = CallStage::Querying;
  // The caller does not wait longer than its deadline.
  aCall.queryUntil = std::min(this->clock.Now() + this->wait, aCall.deadlineAt);
  this->SendQuery(aCall);
}

void
CallQueries::Repeat(EntryCall& aCall)
{
  if (this->clock.Now() >= aCall.nextQueryAt) {
    this->SendQuery(aCall);
  }
}

bool
CallQueries::IsOver(const EntryCall& aCall) const
{
  return this->clock.Now() >= aCall.queryUntil;
}

void
CallQueries::SendQuery(EntryCall& aCall)
{
  wire::CallQuery query;
  query.callId = aCall.attempt.id;
  query.incarnation = aCall.attempt.endpoint.incarnation;
  wire::Envelope envelope;
  envelope.__set_callQuery(query);
  aCall.nextQueryAt = this->clock.Now() + kQueryInterval;
  this->send(aCall.attempt.endpoint, std::move(envelope));
}

void
CallQueries::Cancel(const Attempt& aAttempt)
{
  wire::CallCancel cancel;
  cancel.callId = aAttempt.id;
  wire::Envelope envelope;
  envelope.__set_callCancel(cancel);
  this->send(aAttempt.endpoint, std::move(envelope));
}

} // namespace lacewingwharf
