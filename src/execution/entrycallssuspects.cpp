// The part of EntryCalls for calls at suspect daemons.

#include "common/log.h"
#include "execution/callanswer.h"
#include "execution/entrycalls.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr Log kLog("calls");

} // namespace

void
EntryCalls::LeaveSuspectEndpoints()
{
  if (this->hasStopBegun) {
    return; // A daemon that stops sends calls to no further server.
  }
  for (const auto& [name, service] : this->view->services) {
    std::ranges::for_each(service.endpoints,
                          [this](const EndpointInfo& aEndpoint) {
                            if (aEndpoint.isSuspect) {
                              this->LeaveSuspectEndpoint(aEndpoint);
                            }
                          });
  }
}

/**
 * Sends idempotent calls to another server, too, if one can run them. The
 * attempt at the suspect daemon stays open: most suspicions are refuted, and a
 * daemon whose link or host is overloaded answers late.
 */
void
EntryCalls::LeaveSuspectEndpoint(const EndpointInfo& aEndpoint)
{
  const PeerAddress address = AddressOfEndpoint(aEndpoint);
  std::ranges::for_each(
    this->openCalls.AttemptsAt(address), [this](const EntryCallPtr& aCall) {
      if (aCall->attempt.isAnnounced && aCall->attempt.sentBytes == 0 &&
          aCall->attempts < kMaxCallAttempts && this->HasOtherServer(*aCall)) {
        this->GiveUpAnnounced(*aCall);
      }
    });
  auto calls = this->openCalls.AttemptsAt(address);
  std::erase_if(calls, [this](const EntryCallPtr& aCall) {
    // Large bodies fill links, and a full link loses pings. Sending such a call
    // again would add to it.
    return !aCall->isIdempotent || aCall->entry->hasLargeAnswers ||
           aCall->attempt.isAnnounced || aCall->otherAttempt ||
           !this->HasOtherServer(*aCall) ||
           this->hooks.hasLostServer(aCall->digest);
  });
  std::ranges::for_each(calls, [this](const EntryCallPtr& aCall) {
    if (!this->MayRetry(*aCall, false)) {
      return;
    }
    kLog.Decision("suspect-left",
                  "request={} call={} host={} attempt={}",
                  aCall->requestId,
                  aCall->id,
                  aCall->attempt.endpoint.host,
                  aCall->attempts);
    aCall->otherAttempt = aCall->attempt;
    this->StartAttempt(aCall);
  });
}

/**
 * Handles the answer to the other attempt. A refusal, a loss or a server error
 * leaves the call to the attempt that is still open.
 */
void
EntryCalls::HandleOtherAnswer(const EntryCallPtr& aCall,
                              wire::CallAnswer aAnswer)
{
  std::swap(aCall->attempt, *aCall->otherAttempt);
  constexpr int kServerError = 500;
  const bool isAnswer = aAnswer.outcome == wire::CallOutcome::DONE;
  const bool isKept = isAnswer && aAnswer.status >= kServerError &&
                      this->config.retriesServerErrors;
  if (isAnswer && !isKept) {
    this->HandleDone(aCall, std::move(aAnswer));
    return;
  }
  const bool isRefusal = aAnswer.outcome == wire::CallOutcome::NOT_RUN;
  if (isRefusal && !ReachedServer(RefusalOf(aAnswer).reason)) {
    --aCall->deliveries;
  }
  aCall->mayHaveRun = aCall->mayHaveRun || !isRefusal;
  this->RecordObservation(
    *aCall, isRefusal ? CallEnd::Refused : CallEnd::Failed, aAnswer);
  aCall->attempt = *std::exchange(aCall->otherAttempt, std::nullopt);
  if (isKept) {
    aCall->failure = std::move(aAnswer);
  }
}

/**
 * Waits for the other attempt, if there is one, when no further one can be
 * made.
 */
bool
EntryCalls::ReturnToOtherAttempt(const EntryCallPtr& aCall)
{
  if (!aCall->otherAttempt || aCall->hasCallerLeft ||
      this->Remaining(*aCall) <= 0) {
    return false;
  }
  aCall->attempt = *std::exchange(aCall->otherAttempt, std::nullopt);
  aCall->stage = CallStage::Attempting;
  kLog.Decision(aCall->hedge.attemptId.empty() ? "suspect-awaited"
                                               : "other-attempt-awaited",
                "request={} call={} host={} attempts={}",
                aCall->requestId,
                aCall->id,
                aCall->attempt.endpoint.host,
                aCall->attempts);
  return true;
}

void
EntryCalls::CancelOtherAttempt(EntryCall& aCall)
{
  this->queries.Cancel(*aCall.otherAttempt);
  if (aCall.hedge.attemptId.empty()) {
    this->CloseOtherAttempt(aCall, CallEnd::Unused);
    return;
  }
  // The chooser must learn that the first server was slow, as it gets no answer
  // to learn it from.
  const bool isSecond = aCall.otherAttempt->id == aCall.hedge.attemptId;
  this->CountHedge(
    aCall, isSecond ? HedgeEvent::SecondCancelled : HedgeEvent::FirstCancelled);
  this->CloseOtherAttempt(aCall, isSecond ? CallEnd::Unused : CallEnd::Slow);
}

void
EntryCalls::CloseOtherAttempt(EntryCall& aCall, CallEnd aEnd)
{
  aCall.mayHaveRun = true;
  this->openCalls.CloseAttempt(*aCall.otherAttempt);
  std::swap(aCall.attempt, *aCall.otherAttempt);
  this->RecordObservation(aCall, aEnd, {});
  aCall.attempt = *std::exchange(aCall.otherAttempt, std::nullopt);
}

/** Whether another server could run the call. */
bool
EntryCalls::HasOtherServer(const EntryCall& aCall) const
{
  const auto service = this->view->services.find(aCall.service);
  const auto otherVersions = this->ServersOfOtherVersions(aCall);
  return service != this->view->services.end() &&
         std::ranges::any_of(
           service->second.endpoints, [&](const EndpointInfo& aInfo) {
             const EndpointKey key = KeyOfEndpoint(aInfo);
             return !aInfo.isSuspect && !otherVersions.contains(key) &&
                    !aCall.triedEndpoints.contains(key);
           });
}

} // namespace lacewingwharf
