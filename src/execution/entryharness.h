#pragma once

#include "admission/admissionharness.h"
#include "execution/callrequest.h"
#include "execution/entrycalls.h"

#include <fmt/format.h>

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lacewingwharf::testing {

inline constexpr Millis kDeadline = 2000; // Of the route, by default.

/** Runs the calls of one entry daemon and records what it sends and answers. */
struct EntryHarness
{
  EntryHarness(const EntryCallsConfig& aConfig,
               std::size_t aServers,
               Millis aDeadline)
  {
    EntryCallsHooks hooks;
    hooks.answer = [this](RequestId aRequest, const HttpAnswer& aAnswer) {
      ++this->answerCounts[aRequest];
      this->answers[aRequest] = aAnswer;
    };
    hooks.send = [this](const PeerAddress& aTo, const wire::Envelope& aSent) {
      this->sent.emplace_back(aTo, aSent);
      return true;
    };
    hooks.sendLocal = [](const wire::Envelope&) { return false; };
    hooks.claim = [this](std::uint64_t, const std::string& aHolder) {
      this->holder = aHolder;
      return true;
    };
    hooks.settleClaim = [this](auto, const auto&, Outcome aOutcome) {
      this->settled.emplace_back(kOutcomeNames.NameOf(aOutcome));
    };
    hooks.isQuarantined = [](std::uint64_t) { return false; };
    hooks.hasLostServer = [this](std::uint64_t) { return this->hasLostServer; };
    hooks.serverLost = [this](std::uint64_t, const std::string& aHost) {
      this->lossHosts.push_back(aHost);
    };
    hooks.admit = [this](const EntryCall& aCall, Millis) {
      this->admitted.push_back(aCall.id);
      return this->decision;
    };
    hooks.returnToken = [this](const EntryCall& aCall) {
      this->returnedTokens.push_back(aCall.token->sequence);
    };
    hooks.cancelAdmission = [this](const EntryCall& aCall) {
      this->cancelled.push_back(aCall.id);
    };
    hooks.ended = [](const EntryCall&, const Ending&) {};
    hooks.hedged = [this](const EntryCall&,
                          HedgeEvent aEvent,
                          std::optional<WithheldReason> aReason) {
      this->hedgeEvents.emplace_back(aReason
                                       ? kWithheldReasonNames.NameOf(*aReason)
                                       : kHedgeEventNames.NameOf(aEvent));
    };
    this->calls = std::make_unique<EntryCalls>(
      aConfig, this->clock.View(), SeededRandom(1), std::move(hooks));
    Limits limits;
    limits.deadline = aDeadline;
    limits.retries = 1;
    this->calls->SetSnapshot(CatalogueWith(limits, {}));
    this->SetServers(aServers, {});
  }

  /** aSuspect is the peer port of a daemon that is suspect. */
  void SetServers(std::size_t aServers, std::optional<int> aSuspect)
  {
    EndpointView view;
    for (std::size_t i = 0; i < aServers; ++i) {
      EndpointInfo info;
      info.host = fmt::format("host-{}", i);
      info.peerPort = static_cast<int>(i);
      info.port = kPort;
      info.slots = 4;
      info.isSuspect = info.peerPort == aSuspect;
      view.services[kService].endpoints.push_back(info);
    }
    this->calls->SetView(std::make_shared<const EndpointView>(view));
  }

  void Begin(RequestId aRequest,
             const std::string& aMethod,
             const HttpHeaders& aHeaders = {})
  {
    HttpRequest http;
    http.method = aMethod;
    http.path = "/orders";
    http.target = http.path;
    http.headers = aHeaders;
    this->calls->Begin(aRequest, http);
  }

  const wire::CallRequest& LastRequest() const
  {
    return this->sent.back().second.callRequest;
  }

  /** Answers an attempt as its destination daemon does. */
  void Answer(const std::string& aAttempt,
              wire::CallOutcome::type aOutcome,
              const std::string& aText,
              int aStatus = 200)
  {
    wire::CallAnswer answer;
    answer.callId = aAttempt;
    answer.outcome = aOutcome;
    answer.status = aStatus;
    if (aOutcome == wire::CallOutcome::DONE) {
      answer.body = aText;
      answer.bodyHash = BodyHash(aText);
    } else {
      answer.reason = aText;
    }
    this->calls->HandleAnswer(answer);
  }

  void LoseSession() const
  {
    this->calls->HandleSessionLost(this->sent.back().first, true, {});
  }

  void Wait(Millis aMillis)
  {
    this->clock.Advance(static_cast<double>(aMillis));
    this->calls->Tick();
  }

  std::string OutcomeOf(RequestId aRequest) const
  {
    const auto found = this->answers.find(aRequest);
    return found == this->answers.end()
             ? ""
             : found->second.headers.at(kOutcomeHeader);
  }

  ManualClock clock{ 100000 };
  std::vector<std::pair<PeerAddress, wire::Envelope>> sent;
  std::map<RequestId, HttpAnswer> answers;
  std::map<RequestId, int> answerCounts;
  std::string holder;
  std::vector<std::string> settled;
  bool hasLostServer = false;
  std::vector<std::string> lossHosts;

  /** About the next calls; by default they have no cap. */
  UsageDecision decision;
  std::vector<std::string> admitted;
  std::vector<std::int64_t> returnedTokens;
  std::vector<std::string> cancelled;

  /** Events of second attempts; of those withheld, the reasons. */
  std::vector<std::string> hedgeEvents;
  std::unique_ptr<EntryCalls> calls;
};

} // namespace lacewingwharf::testing
