#pragma once

// The functions of CallSimulation: timers, daemons and checks.

#include "execution/callsimulation.h"

namespace lacewingwharf::testing {

inline CallSimulation::CallSimulation(std::uint64_t aSeed, CallFaults aFaults)
  : random(SeededRandom(aSeed))
  , faults(aFaults)
{
  Limits limits;
  limits.deadline = kCallDeadline;
  limits.retries = 1;
  this->snapshot = CatalogueWith(limits, {}, aFaults.hasLargeRequests);
  for (std::size_t host = 0; host < kHosts; ++host) {
    this->BuildDaemon(host);
  }
  for (std::size_t host = 0; host < kHosts; ++host) {
    this->Announce(host, this->current[host]->incarnation, 0);
  }
  this->Run(10);
}

inline Millis
CallSimulation::Now() const
{
  return this->clock.View().Now();
}

inline std::uint64_t
CallSimulation::NextRandom(std::uint64_t aBound)
{
  return RandomBelow(this->random, aBound);
}

inline bool
CallSimulation::RandomChance(unsigned aPercent)
{
  return this->NextRandom(100) < aPercent;
}

inline Millis
CallSimulation::Delay()
{
  const auto bound = static_cast<std::uint64_t>(this->faults.maxDelay);
  return 1 + static_cast<Millis>(this->NextRandom(bound));
}

inline void
CallSimulation::Schedule(Millis aDelay, std::function<void()> aRun)
{
  this->timers.emplace(this->Now() + aDelay, std::move(aRun));
}

/** Work for a paused daemon runs, in order, when the pause ends. */
inline void
CallSimulation::Post(CallDaemon& aDaemon,
                     Millis aDelay,
                     std::function<void()> aRun)
{
  this->Schedule(aDelay, [&aDaemon, run = std::move(aRun)] {
    if (aDaemon.isPaused) {
      aDaemon.deferred.push_back(run);
    } else if (!aDaemon.isDead) {
      run();
    }
  });
}

inline void
CallSimulation::Run(Millis aMillis)
{
  constexpr Millis kTick = 10;
  const Millis end = this->Now() + aMillis;
  while (this->Now() < end) {
    this->clock.Advance(1);
    while (!this->timers.empty() &&
           this->timers.begin()->first <= this->Now()) {
      this->timers.extract(this->timers.begin()).mapped()();
    }
    if (this->Now() - this->lastTick >= kTick) {
      this->lastTick = this->Now();
      this->Tick();
    }
  }
}

inline void
CallSimulation::Tick()
{
  constexpr Millis kWriterTick = 100;
  for (CallDaemon* const daemon : this->current) {
    if (daemon->isPaused) {
      daemon->pausedMillis += 10;
    }
    if (daemon->isPaused || daemon->isDead) {
      continue;
    }
    daemon->entry->Tick();
    daemon->destination->Tick();
    daemon->claims->Tick();
    if (this->Now() % kWriterTick < 10) {
      daemon->writer->Tick();
    }
  }
}

inline void
CallSimulation::BuildDaemon(std::size_t aHost)
{
  this->daemons.push_back(std::make_unique<CallDaemon>());
  CallDaemon& daemon = *this->daemons.back();
  this->current[aHost] = &daemon;
  daemon.host = aHost;
  daemon.incarnation = this->Now();
  const std::string host = fmt::format("host-{}", aHost);
  const Clock view = this->clock.View();
  QuarantineConfig quarantineConfig;
  quarantineConfig.host = host;
  daemon.quarantine = std::make_unique<Quarantine>(quarantineConfig, view);
  this->BuildClaims(daemon);
  EntryCallsConfig entryConfig;
  entryConfig.host = host;
  entryConfig.incarnation = daemon.incarnation;
  entryConfig.requestBytesPerMilli = 300; // Slower than the destinations.
  daemon.entry = std::make_unique<EntryCalls>(
    entryConfig, view, SeededRandom(this->random()), this->EntryHooks(daemon));
  DestinationCallsConfig config;
  config.host = host;
  config.incarnation = daemon.incarnation;
  config.requestBytesPerMilli = 1000;
  daemon.destination = std::make_unique<DestinationCalls>(
    config, view, this->DestinationHooks(daemon));
  daemon.destination->GetAdmission().SetEndpoint(
    kService, kPort, 3, 20, EndpointState::Ready);
  daemon.entry->SetSnapshot(this->snapshot);
  for (const CallDaemon* const other : this->current) {
    if (other != nullptr && !other->isDead) {
      daemon.knownIncarnations[other->host] = other->incarnation;
    }
  }
  this->SetView(daemon);
}

inline void
CallSimulation::BuildClaims(CallDaemon& aDaemon)
{
  const Clock view = this->clock.View();
  ClaimWriterHooks writerHooks;
  writerHooks.submit = [this, &aDaemon](PlatformJob aJob) {
    this->Post(aDaemon, this->Delay(), [this, job = std::move(aJob)] {
      this->store.losesAnswer = this->RandomChance(this->faults.lostPutAnswers);
      job(this->store.Hooks())();
    });
    return true;
  };
  aDaemon.writer = std::make_unique<ClaimWriter>(
    ClaimWriterConfig{}, view, view, std::move(writerHooks));
  ClaimClientHooks hooks;
  hooks.writers = [] {
    return std::vector<std::string>{ "host-0", "host-1", "host-2", "host-3" };
  };
  hooks.send = [this, &aDaemon](const auto& aHost, const auto& aEnvelope) {
    this->SendClaim(aDaemon, aHost, aEnvelope.claimRequest);
    return true;
  };
  hooks.writeDirectly = [&aDaemon](const auto& aRequest) {
    aDaemon.writer->Handle(aRequest, [&aDaemon](const auto& aAnswer) {
      aDaemon.claims->HandleAnswer(aAnswer);
    });
  };
  ClaimClientConfig config{ fmt::format("host-{}", aDaemon.host) };
  config.totalTimeout = 1000;
  config.tryTimeout = 333;
  aDaemon.claims =
    std::make_unique<ClaimClient>(config, view, std::move(hooks));
}

inline void
CallSimulation::SendClaim(CallDaemon& aFrom,
                          const std::string& aHost,
                          const wire::ClaimRequest& aRequest)
{
  const std::size_t to = std::stoul(aHost.substr(5));
  if (this->IsPartitioned(aFrom.host, to)) {
    return;
  }
  CallDaemon& target = *this->current[to];
  this->Post(target, this->Delay(), [this, &aFrom, &target, aRequest] {
    target.writer->Handle(aRequest, [this, &aFrom](const auto& aAnswer) {
      this->Post(aFrom, this->Delay(), [&aFrom, aAnswer] {
        aFrom.claims->HandleAnswer(aAnswer);
      });
    });
  });
}

inline EntryCallsHooks
CallSimulation::EntryHooks(CallDaemon& aDaemon)
{
  EntryCallsHooks hooks;
  hooks.answer = [this](RequestId aRequest, const HttpAnswer& aAnswer) {
    CallerRequest& request = this->requests.at(aRequest);
    ++request.answers;
    request.answeredAt = this->Now();
    request.outcome = aAnswer.headers.at(kOutcomeHeader);
    const auto reason = aAnswer.headers.find(kReasonHeader);
    request.reason = reason == aAnswer.headers.end() ? "" : reason->second;
    request.body = aAnswer.body;
  };
  hooks.send = [this, &aDaemon](const PeerAddress& aTo,
                                const wire::Envelope& aEnvelope) {
    const auto to = static_cast<std::size_t>(aTo.port);
    this->Post(aDaemon, 0, [this, &aDaemon, to, aEnvelope] {
      this->SendFrame(aDaemon, to, aEnvelope);
    });
    return true;
  };
  hooks.sendLocal = [this, &aDaemon](const wire::Envelope& aEnvelope) {
    this->Post(aDaemon, 0, [this, &aDaemon, aEnvelope] {
      this->HandleMessage(aDaemon, 0, aEnvelope);
    });
    return true;
  };
  hooks.claim = [this, &aDaemon](std::uint64_t aKey, const auto& aHolder) {
    const auto done = [this, &aDaemon, aHolder](auto aResult) {
      this->Post(aDaemon, 0, [&aDaemon, aHolder, aResult] {
        aDaemon.entry->HandleClaim(aHolder, aResult);
      });
    };
    if (this->faults.isNaive) {
      done(wire::ClaimResult::GRANTED);
    } else {
      aDaemon.claims->Claim(
        static_cast<std::int64_t>(aKey), aHolder, 1000, done);
    }
    return true;
  };
  hooks.settleClaim =
    [&aDaemon](std::uint64_t aKey, const auto& aHolder, Outcome aOutcome) {
      const auto key = static_cast<std::int64_t>(aKey);
      if (aOutcome == Outcome::NotRun) {
        aDaemon.claims->Release(key, aHolder);
      } else {
        aDaemon.claims->MarkDone(key, aHolder);
      }
    };
  const auto decision = [&aDaemon](std::uint64_t aDigest) {
    return aDaemon.quarantine->Check(static_cast<std::int64_t>(aDigest));
  };
  hooks.isQuarantined = [decision](std::uint64_t aDigest) {
    return decision(aDigest) == QuarantineDecision::Refused;
  };
  hooks.hasLostServer = [decision](std::uint64_t aDigest) {
    return decision(aDigest) != QuarantineDecision::Free;
  };
  hooks.serverLost = [&aDaemon](std::uint64_t aDigest, const auto& aHost) {
    aDaemon.quarantine->CountRemoteLoss(static_cast<std::int64_t>(aDigest),
                                        aHost);
  };
  hooks.ended = [](const EntryCall&, const Ending&) {};
  return hooks;
}

inline DestinationCallsHooks
CallSimulation::DestinationHooks(CallDaemon& aDaemon)
{
  DestinationCallsHooks hooks;
  hooks.answer = [this, &aDaemon](SessionId aOrigin, const auto& aAnswer) {
    this->Reply(aDaemon, aOrigin, aAnswer);
  };
  hooks.grant = [this, &aDaemon](SessionId aOrigin, const auto& aGrant) {
    this->ReplyGrant(aDaemon, aOrigin, aGrant);
    return true;
  };
  hooks.submit = [this, &aDaemon](const HttpExchange& aExchange) {
    this->Post(aDaemon, 1, [this, &aDaemon, aExchange] {
      this->RunExchange(aDaemon, aExchange);
    });
    return true;
  };
  hooks.cancel = [this, &aDaemon](const std::string& aId) {
    this->EndExchange(aDaemon, aId, ExchangeEnd::Cancelled, 0, 0);
  };
  hooks.isQuarantined = [&aDaemon](std::uint64_t aDigest) {
    return aDaemon.quarantine->Check(static_cast<std::int64_t>(aDigest)) ==
           QuarantineDecision::Refused;
  };
  hooks.serverLost = [this, &aDaemon](std::uint64_t aDigest) {
    aDaemon.quarantine->CountLoss(static_cast<std::int64_t>(aDigest));
    const auto reports = aDaemon.quarantine->TakeCrashReports(8);
    for (CallDaemon* const other : this->current) {
      this->Post(*other, this->Delay(), [other, reports] {
        other->quarantine->Merge(reports);
      });
    }
  };
  hooks.isListening = [this, &aDaemon](int) {
    return this->backends[aDaemon.host].isUp;
  };
  return hooks;
}

inline void
CallSimulation::SetView(CallDaemon& aDaemon)
{
  EndpointView view;
  ServiceView& service = view.services[kService];
  for (const auto& [host, incarnation] : aDaemon.knownIncarnations) {
    EndpointInfo info;
    info.host = fmt::format("host-{}", host);
    info.peerPort = static_cast<int>(host);
    info.incarnation = incarnation;
    const bool isNear = host / 2 == aDaemon.host / 2;
    info.domain = fmt::format("domain-{}", host / 2);
    info.distance = isNear ? Distance::SameDomain : Distance::SameRegion;
    info.port = kPort;
    info.slots = 3;
    service.endpoints.push_back(info);
    service.totalSlots += info.slots;
  }
  const auto shared = std::make_shared<const EndpointView>(std::move(view));
  aDaemon.entry->SetView(shared);
  aDaemon.destination->SetConfiguration(this->snapshot, shared);
}

/**
 * Notifies every daemon, after a delay, of a start or of an end (incarnation
 * 0).
 */
inline void
CallSimulation::Announce(std::size_t aHost,
                         std::int64_t aIncarnation,
                         Millis aDelay)
{
  for (CallDaemon* const daemon : this->current) {
    const Millis delay = aDelay + this->Delay();
    this->Post(*daemon, delay, [this, daemon, aHost, aIncarnation] {
      if (aIncarnation == 0) {
        daemon->knownIncarnations.erase(aHost);
      } else {
        daemon->knownIncarnations[aHost] = aIncarnation;
      }
      this->SetView(*daemon);
    });
  }
}

inline void
CallSimulation::CheckInvariants(std::size_t aNumber,
                                std::vector<std::string>& aOut) const
{
  // After the deadline, the entry daemon waits for the grace time and one
  // query.
  constexpr Millis kMaxAnswerTime = kCallDeadline + 150 + 2000 + 50;
  const CallerRequest& request = this->requests[aNumber];
  const auto addViolation = [&](const std::string& aWhat) {
    aOut.push_back(fmt::format("request {} {} key '{}' {}: {}, {} runs",
                               aNumber,
                               request.method,
                               request.key,
                               request.outcome,
                               aWhat,
                               request.runs));
  };
  if (request.method == "POST" && request.runs > 1) {
    addViolation("ran more than once");
  }
  if (request.damagedRuns > 0) {
    addViolation("ran with a damaged body");
  }
  if (request.outcome == "not-run" && request.runs > 0) {
    addViolation("ran although it was answered not-run, " + request.reason);
  }
  if (request.outcome == "done" && request.body != BodyFor(aNumber)) {
    addViolation("has the answer of another request or a damaged answer");
  }
  if (request.answers > 1) {
    addViolation("was answered twice");
  }
  const bool hasNoLiveDaemon =
    request.daemon == nullptr || request.daemon->isDead;
  if (hasNoLiveDaemon) {
    return;
  }
  if (request.answers == 0) {
    addViolation("was never answered");
  } else if (request.answeredAt - request.startedAt >
             kMaxAnswerTime + request.daemon->pausedMillis) {
    addViolation("was answered too late");
  }
}

inline std::vector<std::string>
CallSimulation::Violations() const
{
  std::vector<std::string> out;
  std::map<std::string, int> runsOfKey;
  for (std::size_t number = 0; number < this->requests.size(); ++number) {
    this->CheckInvariants(number, out);
    const CallerRequest& request = this->requests[number];
    runsOfKey[request.key] += request.key.empty() ? 0 : request.runs;
  }
  for (const auto& [key, runs] : runsOfKey) {
    if (runs > 1) {
      out.push_back(fmt::format("key {} ran {} times", key, runs));
    }
  }
  return out;
}

} // namespace lacewingwharf::testing
