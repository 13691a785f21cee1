// The part of DestinationCalls that makes and keeps the answers to calls.

#include "common/log.h"
#include "execution/callrequest.h"
#include "execution/destinationcalls.h"
#include "execution/linkparts.h"
#include "execution/serveranswer.h"

#include <utility>

namespace lacewingwharf {

namespace {

constexpr Log kLog("slots");

// Small requests are still accepted in the last part of the limit on requests.
constexpr std::size_t kSmallRequestBytes = 16384;
constexpr std::size_t kPartForSmall = 8;

// About the time in which the servers of a host run some requests, after which
// their memory is free.
constexpr Millis kMemoryRetryAfter = 500;

/**
 * Empties a message and frees its memory. Assigning an empty message would keep
 * the buffers: a short string is copied into the buffer of the string that it
 * replaces.
 */
template<typename Message>
void
Release(Message& aMessage)
{
  Message released;
  std::swap(aMessage, released);
}

} // namespace

wire::CallAnswer
DestinationCalls::MakeCallAnswer(const Call& aCall, ExchangeResult aResult)
{
  const std::string& id = aCall.request.callId;
  switch (aResult.end) {
    case ExchangeEnd::Answered: {
      if (auto refusal =
            ClassifyServerAnswer(this->config.dialect, id, aResult.answer)) {
        if (refusal->outcome == wire::CallOutcome::NOT_RUN) {
          this->refusedRequests.Add(this->RequestIdOf(aCall));
        }
        return std::move(*refusal);
      }
      wire::CallAnswer answer;
      answer.callId = id;
      answer.outcome = wire::CallOutcome::DONE;
      answer.status = aResult.answer.status;
      answer.headers.insert(aResult.answer.headers.begin(),
                            aResult.answer.headers.end());
      answer.body = std::move(aResult.answer.body);
      if (aResult.answer.endsWithConnection) {
        answer.__set_endsWithConnection(true);
      }
      answer.bodyHash = BodyHash(answer.body);
      return answer;
    }
    case ExchangeEnd::NotConnected: {
      kLog.Decision("server-not-connected",
                    "request={} call={} detail=\"{}\"",
                    this->RequestIdOf(aCall),
                    id,
                    aResult.detail);
      if (!this->hooks.isListening(aCall.request.port)) {
        this->ReportServerGone(aCall);
      }
      return NotRunAnswer(id, RefusalReason::NotConnected);
    }
    case ExchangeEnd::Incomplete: {
      kLog.Decision("answer-cut",
                    "request={} call={} framing={} announced={} received={} "
                    "detail=\"{}\"",
                    this->RequestIdOf(aCall),
                    id,
                    kAnswerFramingNames.NameOf(aResult.framing),
                    aResult.announcedBytes,
                    aResult.receivedBytes,
                    aResult.detail);
      wire::CallAnswer answer = UnknownAnswer(id, "cut-answer");
      this->CheckServerLost(aCall, answer);
      return answer;
    }
    case ExchangeEnd::TimedOut:
      return UnknownAnswer(id, "deadline-while-running");
    default:
      return UnknownAnswer(id, "cancelled-while-running");
  }
}

const std::string&
DestinationCalls::RequestIdOf(const Call& aCall) const
{
  static const std::string sEmpty;
  const auto header =
    aCall.request.headers.find(this->config.dialect.requestIdHeader);
  return header == aCall.request.headers.end() ? sEmpty : header->second;
}

void
DestinationCalls::CheckServerLost(const Call& aCall, wire::CallAnswer& aAnswer)
{
  if (this->hooks.isListening(aCall.request.port)) {
    return;
  }
  aAnswer.serverLost = true;
  this->ReportServerGone(aCall);
  kLog.Warning("backend server {}:{} was lost while it ran call {}",
               aCall.request.serviceName,
               aCall.request.port,
               aCall.request.callId);
  this->hooks.serverLost(static_cast<std::uint64_t>(aCall.request.digest));
}

void
DestinationCalls::ReportServerGone(const Call& aCall) const
{
  if (this->hooks.serverGone) {
    this->hooks.serverGone(aCall.request.serviceName, aCall.request.port);
  }
}

/** Refuses a call when the requests of other daemons hold too much. */
std::optional<Refusal>
DestinationCalls::CheckMemory(const Call& aCall) const
{
  const std::size_t limit = this->config.maxRequestBytes;
  const std::size_t bound = aCall.heldBytes > kSmallRequestBytes
                              ? limit - limit / kPartForSmall
                              : limit;
  if (limit == 0 || aCall.heldBytes == 0 || this->requestBytes <= bound) {
    return std::nullopt;
  }
  Refusal refusal;
  refusal.reason = RefusalReason::Overload;
  refusal.entry = aCall.request.entry;
  refusal.owner = aCall.request.owner;
  refusal.bound = static_cast<std::int64_t>(bound);
  refusal.seen = static_cast<std::int64_t>(this->requestBytes);
  refusal.retryAfter = kMemoryRetryAfter;
  return refusal;
}

/** Refuses a call whose large answer would leave this host too late. */
std::optional<Refusal>
DestinationCalls::CheckLinkForAnswer(const Call& aCall,
                                     const AdmissionRequest& aRequest) const
{
  if (!aCall.hasPacedAnswer) {
    return std::nullopt;
  }
  const double now = this->clock.PreciseNow();
  const auto lateness = this->answerPacer.LatenessOf(
    aRequest.entry, aRequest.targetAt, aRequest.deadlineAt, now);
  if (!lateness) {
    return std::nullopt;
  }
  return this->LinkRefusal(aCall, *lateness);
}

Refusal
DestinationCalls::LinkRefusal(const Call& aCall, Millis aLateness) const
{
  const Millis limit =
    aCall.targetAt.value_or(aCall.deadlineAt) - this->clock.Now();
  Refusal refusal;
  refusal.reason = RefusalReason::LinkFull;
  refusal.entry = aCall.request.entry;
  refusal.owner = aCall.request.owner;
  refusal.bound = limit;
  refusal.seen = limit + aLateness;
  refusal.retryAfter = aLateness;
  return refusal;
}

void
DestinationCalls::Finish(const std::string& aCallId,
                         Call& aCall,
                         wire::CallAnswer aAnswer)
{
  this->requestBytes -= std::exchange(aCall.heldBytes, 0);
  if (aCall.stage == Stage::Receiving) {
    this->requestPacer.Remove(aCallId);
    std::erase(this->receiving, aCallId);
  }
  if (!aCall.hasPacedAnswer || aAnswer.body.size() < kMinLargeBytes) {
    this->answerPacer.Remove(aCallId);
    this->Deliver(aCallId, aCall, std::move(aAnswer));
    return;
  }
  aCall.stage = Stage::Sending;
  aCall.answeredAt = this->clock.PreciseNow();
  this->answerPacer.Queue(aCallId, aCall.request.entry, aAnswer.body.size());
  aCall.answer = std::move(aAnswer);
  this->SendPacedAnswers();
}

void
DestinationCalls::SendPacedAnswers()
{
  const double now = this->clock.PreciseNow();
  while (const auto id = this->answerPacer.TakeNext(now)) {
    Call& call = this->calls.at(*id);
    wire::CallAnswer answer = std::move(call.answer);
    kLog.Decision("answer-paced",
                  "request={} call={} bytes={} waited_ms={:.0f} waiting={}",
                  this->RequestIdOf(call),
                  *id,
                  answer.body.size(),
                  now - call.answeredAt,
                  this->answerPacer.WaitingBytes());
    this->Deliver(*id, call, std::move(answer));
  }
}

void
DestinationCalls::Deliver(const std::string& aCallId,
                          Call& aCall,
                          wire::CallAnswer aAnswer)
{
  --this->inFlight;
  const SessionId origin = aCall.origin;
  if (aCall.request.idempotent) {
    this->calls.erase(aCallId);
  } else {
    this->KeepAnswer(aCall, aAnswer);
  }
  this->hooks.answer(origin, std::move(aAnswer));
}

void
DestinationCalls::KeepAnswer(Call& aCall, const wire::CallAnswer& aAnswer)
{
  const std::string& id = aAnswer.callId;
  aCall.stage = Stage::Finished;
  Release(aCall.request);
  aCall.answer = aAnswer;
  this->finishedQueue.emplace_back(
    this->clock.Now() + this->config.answerRetention, id);
  this->keptAnswers.push_back(id);
  this->keptBytes += aAnswer.body.size();
  // Only the answer is dropped. The id stays, so that the call is not run
  // again.
  while (this->keptBytes > this->config.maxKeptBytes) {
    Call& oldest = this->calls.at(this->keptAnswers.front());
    this->keptBytes -= oldest.answer.body.size();
    Release(oldest.answer);
    oldest.answer = UnknownAnswer(this->keptAnswers.front(), "answer-not-kept");
    this->keptAnswers.pop_front();
  }
}

void
DestinationCalls::AddLoad(const Call& aCall, wire::CallAnswer& aAnswer) const
{
  const EndpointLoad load =
    this->admission.LoadOf(aCall.request.serviceName, aCall.request.port);
  aAnswer.running = load.running;
  aAnswer.waiting = load.waiting;
  aAnswer.slots = load.slots;
}

} // namespace lacewingwharf
