#pragma once

#include "common/log.h"
#include "execution/destinationcalls.h"
#include "execution/entryharness.h"

#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace lacewingwharf::testing {

inline constexpr std::size_t kLargeBytes = 100000;
inline constexpr double kBytesPerMilli = 1000;
inline constexpr SessionId kSession = 1;

inline SnapshotPtr
UploadCatalogue()
{
  Entry service;
  service.name = kService;
  service.owner = "depot";
  Entry route;
  route.name = "logs";
  route.kind = EntryKind::Route;
  route.owner = "depot";
  route.service = kService;
  route.match.path = "/logs";
  route.idempotent = false;
  route.hasLargeRequests = true;
  route.limits.deadline = 5000;
  route.limits.target = 500;
  AcceptedEntries entries;
  AddEntry(entries, service);
  AddEntry(entries, route);
  return Snapshot::Build({ 1, 0, 0 }, std::move(entries)).value();
}

/**
 * One entry daemon and two destination daemons with links of 8 Mbit/s. Messages
 * are delivered by Deliver(), in order, unless the test takes them away.
 */
struct LargeRequestFleet
{
  explicit LargeRequestFleet(double aBytesPerMilli = kBytesPerMilli,
                             double aEntryBytesPerMilli = 0)
    : entry(EntryConfiguration(aEntryBytesPerMilli), 2, 5000)
  {
    Log::SetLevel(LogLevel::Error);
    this->entry.calls->SetSnapshot(UploadCatalogue());
    for (int host = 0; host < 2; ++host) {
      this->destinations.push_back(this->MakeDestination(host, aBytesPerMilli));
    }
  }

  static EntryCallsConfig EntryConfiguration(double aBytesPerMilli)
  {
    EntryCallsConfig config;
    config.host = "entry";
    config.requestBytesPerMilli = aBytesPerMilli;
    config.retriesCapacityRefusals = true;
    return config;
  }

  std::unique_ptr<DestinationCalls> MakeDestination(int aHost,
                                                    double aBytesPerMilli)
  {
    DestinationCallsConfig config;
    config.host = fmt::format("host-{}", aHost);
    config.requestBytesPerMilli = aBytesPerMilli;
    DestinationCallsHooks hooks;
    hooks.answer = [this](SessionId, const wire::CallAnswer& aAnswer) {
      this->answers.push_back(aAnswer);
    };
    hooks.grant = [this](SessionId, const wire::BodyGrant& aGrant) {
      if (this->losesGrants) {
        return false;
      }
      this->grants.push_back(aGrant);
      return true;
    };
    hooks.submit = [this](const HttpExchange& aExchange) {
      this->runs.push_back(aExchange);
      return true;
    };
    hooks.isQuarantined = [](std::uint64_t) { return false; };
    hooks.isListening = [](int) { return true; };
    auto calls = std::make_unique<DestinationCalls>(
      config, this->entry.clock.View(), std::move(hooks));
    calls->SetConfiguration(UploadCatalogue(), ViewOf({ { config.host, 1 } }));
    constexpr int kSlots = 50;
    calls->GetAdmission().SetEndpoint(
      kService, kPort, kSlots, kSlots, EndpointState::Ready);
    return calls;
  }

  void Begin(RequestId aRequest, std::size_t aBytes = kLargeBytes)
  {
    HttpRequest http;
    http.method = "POST";
    http.path = "/logs";
    http.target = http.path;
    http.body = BodyOf(aRequest, aBytes);
    this->entry.calls->Begin(aRequest, http);
  }

  static std::string BodyOf(RequestId aRequest, std::size_t aBytes)
  {
    std::string body(aBytes, 'x');
    for (std::size_t i = 0; i < body.size(); ++i) {
      body[i] = static_cast<char>('a' + (i * 7 + aRequest) % 26);
    }
    return body;
  }

  /** Delivers all messages until none is left. */
  void Deliver()
  {
    while (!this->entry.sent.empty() || !this->grants.empty() ||
           !this->answers.empty()) {
      for (const auto& [to, message] : std::exchange(this->entry.sent, {})) {
        this->DeliverTo(to, message);
      }
      for (const auto& grant : std::exchange(this->grants, {})) {
        this->entry.calls->HandleGrant(grant);
      }
      for (auto& answer : std::exchange(this->answers, {})) {
        this->entry.calls->HandleAnswer(std::move(answer));
      }
    }
  }

  void DeliverTo(const PeerAddress& aTo, const wire::Envelope& aMessage)
  {
    DestinationCalls& calls =
      *this->destinations.at(static_cast<std::size_t>(aTo.port));
    if (aMessage.__isset.callRequest) {
      this->longestRequest =
        std::max(this->longestRequest, aMessage.callRequest.body.size());
      calls.HandleRequest(kSession, aMessage.callRequest);
    } else if (aMessage.__isset.bodyPart) {
      this->partBytes += aMessage.bodyPart.data.size();
      calls.HandleBodyPart(aMessage.bodyPart);
    } else if (aMessage.__isset.callCancel) {
      calls.HandleCancel(aMessage.callCancel.callId);
    } else if (aMessage.__isset.callQuery) {
      calls.HandleQuery(kSession + 1, aMessage.callQuery);
    }
  }

  void Advance(Millis aTime)
  {
    constexpr Millis kTick = 10;
    for (Millis time = 0; time < aTime; time += kTick) {
      this->entry.Wait(kTick);
      for (const auto& destination : this->destinations) {
        destination->Tick();
      }
      this->Deliver();
    }
  }

  EntryHarness entry;
  std::vector<std::unique_ptr<DestinationCalls>> destinations;
  std::vector<wire::CallAnswer> answers;
  std::vector<wire::BodyGrant> grants;
  std::vector<HttpExchange> runs;
  std::size_t longestRequest = 0;
  std::size_t partBytes = 0; // That reached a destination.
  bool losesGrants = false;  // The ring buffer to the peer thread is full.
};

} // namespace lacewingwharf::testing
