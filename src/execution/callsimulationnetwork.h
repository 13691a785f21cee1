#pragma once

// The functions of CallSimulation: sessions, backend servers, callers and
// faults.

#include "execution/callsimulationparts.h"

#include "common/hash.h"

namespace lacewingwharf::testing {

inline std::string
CallSimulation::BodyFor(std::size_t aNumber)
{
  return fmt::format(
    "order {} {}", aNumber, ToHex(Hash64(fmt::format("{}", aNumber))));
}

inline std::string
CallSimulation::RequestBodyFor(std::size_t aNumber) const
{
  if (this->requests[aNumber].isPoison) {
    return "poison";
  }
  std::string body = fmt::format("{}", aNumber);
  if (this->faults.hasLargeRequests) {
    constexpr std::size_t kSizes = 80000;
    body.resize(20000 + aNumber * 7919 % kSizes, 'x');
  }
  return body;
}

inline void
CallSimulation::RunExchange(CallDaemon& aDaemon, const HttpExchange& aExchange)
{
  const std::string id = aExchange.id;
  const Backend backend = this->backends[aDaemon.host];
  const auto number = std::stoul(aExchange.request.headers.at(kNumberHeader));
  if (!backend.isUp) {
    this->EndExchange(aDaemon, id, ExchangeEnd::NotConnected, number, 0);
    return;
  }
  CallerRequest& request = this->requests.at(number);
  ++request.runs;
  request.damagedRuns +=
    aExchange.request.body == this->RequestBodyFor(number) ? 0 : 1;
  if (!aExchange.needsNewConnection &&
      this->RandomChance(this->faults.cutAnswers)) {
    ++request.runs; // libcurl retries after a reused connection has closed.
  }
  Millis time = 1 + static_cast<Millis>(this->NextRandom(60));
  if (this->faults.crashes > 0 && this->RandomChance(5)) {
    time *= 30;
  }
  const bool isCrash =
    request.isPoison || this->RandomChance(this->faults.crashes);
  const bool isCut = this->RandomChance(this->faults.cutAnswers);
  const int status = this->RandomChance(this->faults.shedding) ? 503 : 200;
  const bool isLate = time >= aExchange.timeout;
  this->Schedule(std::min(time, aExchange.timeout), [=, this, &aDaemon] {
    if (isCrash && this->backends[aDaemon.host].epoch == backend.epoch) {
      this->StopBackend(aDaemon.host, 300);
    }
    const bool isGone = this->backends[aDaemon.host].epoch != backend.epoch;
    const auto end = isGone || isCut ? ExchangeEnd::Incomplete
                     : isLate        ? ExchangeEnd::TimedOut
                                     : ExchangeEnd::Answered;
    this->EndExchange(aDaemon, id, end, number, status);
  });
}

inline void
CallSimulation::EndExchange(CallDaemon& aDaemon,
                            const std::string& aId,
                            ExchangeEnd aEnd,
                            std::size_t aNumber,
                            int aStatus)
{
  ExchangeResult result;
  result.id = aId;
  result.end = aEnd;
  result.answer.status = aStatus;
  result.answer.body = BodyFor(aNumber);
  this->Post(aDaemon, 0, [&aDaemon, result] {
    aDaemon.destination->HandleExchange(result);
  });
}

inline bool
CallSimulation::IsPartitioned(std::size_t aLeft, std::size_t aRight) const
{
  return aLeft / 2 != aRight / 2 && this->Now() < this->partitionedUntil;
}

inline void
CallSimulation::SendFrame(CallDaemon& aFrom,
                          std::size_t aTo,
                          wire::Envelope aEnvelope)
{
  if (!aFrom.openSessions.contains(aTo)) {
    if (this->Now() < aFrom.nextDialAt[aTo]) {
      const std::vector<std::string> unsent{ aEnvelope.__isset.bodyPart
                                               ? aEnvelope.bodyPart.callId
                                               : aEnvelope.callRequest.callId };
      this->ReportLost(aFrom, aTo, false, unsent, 0);
      return;
    }
    this->Dial(aFrom, aTo);
  }
  const std::uint64_t id = aFrom.openSessions[aTo];
  CallSession& session = this->sessions.at(id);
  session.sent.push_back(aEnvelope.callRequest.callId);
  if (session.isConnected) {
    this->Forward(id, aEnvelope);
  } else {
    session.queued.push_back(std::move(aEnvelope));
  }
}

inline void
CallSimulation::Dial(CallDaemon& aFrom, std::size_t aTo)
{
  const std::uint64_t id = ++this->lastSession;
  this->sessions[id].from = &aFrom;
  aFrom.openSessions[aTo] = id;
  this->Post(aFrom, this->Delay(), [this, id, aTo] { this->Connect(id, aTo); });
}

inline void
CallSimulation::Connect(std::uint64_t aSession, std::size_t aTo)
{
  CallSession& session = this->sessions.at(aSession);
  CallDaemon& from = *session.from;
  CallDaemon& target = *this->current[aTo];
  if (!target.isDead && !this->IsPartitioned(from.host, aTo)) {
    session.to = &target;
    session.isConnected = true;
    for (const auto& envelope : std::exchange(session.queued, {})) {
      this->Forward(aSession, envelope);
    }
    return;
  }
  session.isLost = true;
  from.openSessions.erase(aTo);
  constexpr Millis kBackoff = 50;
  from.nextDialAt[aTo] =
    this->Now() + kBackoff + static_cast<Millis>(this->NextRandom(kBackoff));
  this->ReportLost(from, aTo, false, session.sent, 0);
}

inline void
CallSimulation::Forward(std::uint64_t aSession, const wire::Envelope& aEnvelope)
{
  CallSession& session = this->sessions.at(aSession);
  const bool isCut = this->IsPartitioned(session.from->host, session.to->host);
  Millis arrival = this->Now() + this->Delay();
  arrival = std::max(arrival, isCut ? this->partitionedUntil : 0);
  arrival = std::max(arrival, session.lastForwardArrival);
  session.lastForwardArrival = arrival;
  this->Schedule(arrival - this->Now(), [this, aSession, aEnvelope] {
    const CallSession& opened = this->sessions.at(aSession);
    CallDaemon& target = *opened.to;
    const auto deliver = [this, &target, aSession, aEnvelope] {
      this->HandleMessage(target, aSession, aEnvelope);
    };
    if (!opened.isLost) {
      this->Post(target, 0, deliver);
    } else if (this->RandomChance(this->faults.lateFrames)) {
      this->Post(target, static_cast<Millis>(this->NextRandom(3000)), deliver);
    }
  });
}

inline void
CallSimulation::HandleMessage(CallDaemon& aDaemon,
                              std::uint64_t aSession,
                              const wire::Envelope& aEnvelope)
{
  if (aEnvelope.__isset.callRequest) {
    aDaemon.destination->HandleRequest(aSession, aEnvelope.callRequest);
  } else if (aEnvelope.__isset.bodyPart) {
    aDaemon.destination->HandleBodyPart(aEnvelope.bodyPart);
  } else if (aEnvelope.__isset.callCancel) {
    aDaemon.destination->HandleCancel(aEnvelope.callCancel.callId);
  } else if (aEnvelope.__isset.callQuery) {
    aDaemon.destination->HandleQuery(aSession, aEnvelope.callQuery);
  }
}

inline void
CallSimulation::Reply(CallDaemon& aFrom,
                      std::uint64_t aSession,
                      wire::CallAnswer aAnswer)
{
  if (aSession == 0) {
    this->Post(
      aFrom, 0, [&aFrom, aAnswer] { aFrom.entry->HandleAnswer(aAnswer); });
    return;
  }
  CallSession& session = this->sessions.at(aSession);
  if (session.isLost) {
    return;
  }
  if (!aAnswer.body.empty() &&
      this->RandomChance(this->faults.damagedAnswers)) {
    aAnswer.body.front() ^= 1;
  }
  const Millis arrival = this->ReplyTime(session, aFrom);
  this->Schedule(arrival - this->Now(), [this, aSession, aAnswer] {
    const CallSession& opened = this->sessions.at(aSession);
    if (opened.isLost && !this->RandomChance(this->faults.lateFrames)) {
      return;
    }
    CallDaemon& target = *opened.from;
    this->Post(
      target, 0, [&target, aAnswer] { target.entry->HandleAnswer(aAnswer); });
  });
}

inline void
CallSimulation::ReplyGrant(CallDaemon& aFrom,
                           std::uint64_t aSession,
                           const wire::BodyGrant& aGrant)
{
  CallSession& session = this->sessions.at(aSession);
  if (session.isLost) {
    return;
  }
  const Millis arrival = this->ReplyTime(session, aFrom);
  this->Schedule(arrival - this->Now(), [this, aSession, aGrant] {
    const CallSession& opened = this->sessions.at(aSession);
    if (opened.isLost && !this->RandomChance(this->faults.lateFrames)) {
      return;
    }
    CallDaemon& target = *opened.from;
    this->Post(
      target, 0, [&target, aGrant] { target.entry->HandleGrant(aGrant); });
  });
}

/** When a reply that is sent now arrives; replies stay in order. */
inline Millis
CallSimulation::ReplyTime(CallSession& aSession, const CallDaemon& aFrom)
{
  const bool isCut = this->IsPartitioned(aSession.from->host, aFrom.host);
  Millis arrival = this->Now() + this->Delay();
  arrival = std::max(arrival, isCut ? this->partitionedUntil : 0);
  arrival = std::max(arrival, aSession.lastReplyArrival);
  aSession.lastReplyArrival = arrival;
  return arrival;
}

inline void
CallSimulation::LoseSession(std::uint64_t aSession)
{
  CallSession& session = this->sessions.at(aSession);
  session.isLost = true;
  session.from->openSessions.erase(session.to->host);
  this->ReportLost(*session.from,
                   session.to->host,
                   true,
                   this->faults.isNaive ? session.sent
                                        : std::vector<std::string>{},
                   0);
}

inline void
CallSimulation::LoseSessionsIf(
  const std::function<bool(const CallSession&)>& aMatches)
{
  for (auto& [id, session] : this->sessions) {
    if (session.isConnected && !session.isLost && aMatches(session)) {
      this->LoseSession(id);
    }
  }
}

/** The naive version treats every request on a lost session as not run. */
inline void
CallSimulation::ReportLost(CallDaemon& aDaemon,
                           std::size_t aTo,
                           bool aWasConnected,
                           const std::vector<std::string>& aUnsent,
                           Millis aDelay)
{
  const PeerAddress remote{ "", static_cast<int>(aTo) };
  const auto bound = static_cast<std::uint64_t>(this->faults.maxEventDelay);
  const Millis delay = aDelay + static_cast<Millis>(this->NextRandom(bound));
  const bool wasConnected = aWasConnected && !this->faults.isNaive;
  this->Post(aDaemon, delay, [&aDaemon, remote, wasConnected, aUnsent] {
    aDaemon.entry->HandleSessionLost(remote, wasConnected, aUnsent);
  });
}

inline std::size_t
CallSimulation::Send(std::size_t aHost,
                     const std::string& aMethod,
                     const std::string& aKey,
                     bool aIsPoison)
{
  const std::size_t number = this->requests.size();
  CallerRequest request;
  request.method = aMethod;
  request.key = aKey;
  request.isPoison = aIsPoison;
  this->requests.push_back(request);
  HttpRequest http;
  http.method = aMethod;
  http.path = "/orders";
  http.target = http.path;
  http.headers[kNumberHeader] = fmt::format("{}", number);
  http.body = this->RequestBodyFor(number);
  if (!aKey.empty()) {
    http.headers[kKeyHeader] = aKey;
  }
  CallDaemon& daemon = *this->current[aHost];
  this->Post(daemon, 0, [this, number, http, &daemon] {
    this->requests[number].daemon = &daemon;
    this->requests[number].startedAt = this->Now();
    daemon.entry->Begin(number, http);
  });
  return number;
}

inline void
CallSimulation::Kill(std::size_t aHost, Millis aDownFor)
{
  CallDaemon& daemon = *this->current[aHost];
  if (daemon.isDead) {
    return;
  }
  daemon.isDead = true;
  daemon.isPaused = false;
  this->LoseSessionsIf([&daemon](const CallSession& aSession) {
    return aSession.to == &daemon || aSession.from == &daemon;
  });
  this->Announce(aHost, 0, std::min<Millis>(aDownFor, 1000) / 2);
  this->Schedule(aDownFor, [this, aHost] {
    this->BuildDaemon(aHost);
    this->Announce(aHost, this->current[aHost]->incarnation, 0);
  });
}

inline void
CallSimulation::Pause(std::size_t aHost, Millis aFor)
{
  CallDaemon& daemon = *this->current[aHost];
  if (daemon.isDead || daemon.isPaused) {
    return;
  }
  daemon.isPaused = true;
  constexpr Millis kSilenceLimit = 3000;
  this->Schedule(kSilenceLimit, [this, &daemon] {
    if (daemon.isPaused) {
      this->LoseSessionsIf([&daemon](const CallSession& aSession) {
        return aSession.to == &daemon || aSession.from == &daemon;
      });
    }
  });
  this->Schedule(aFor, [&daemon] {
    daemon.isPaused = false;
    for (const auto& run : std::exchange(daemon.deferred, {})) {
      if (!daemon.isDead) {
        run();
      }
    }
  });
}

inline void
CallSimulation::LoseSessions(std::size_t aFrom, std::size_t aTo)
{
  this->LoseSessionsIf([=](const CallSession& aSession) {
    return aSession.from->host == aFrom && aSession.to->host == aTo;
  });
}

inline void
CallSimulation::StopBackend(std::size_t aHost, Millis aDownFor)
{
  Backend& backend = this->backends[aHost];
  if (!backend.isUp) {
    return;
  }
  backend.isUp = false;
  ++backend.epoch;
  this->Schedule(aDownFor, [&backend] { backend.isUp = true; });
}

inline void
CallSimulation::StopPlatform(Millis aFor)
{
  this->store.isDown = true;
  this->platformDownUntil = this->Now() + aFor;
  this->Schedule(aFor, [this] {
    this->store.isDown = this->Now() < this->platformDownUntil;
  });
}

inline void
CallSimulation::PartitionDomains(Millis aFor)
{
  this->partitionedUntil = this->Now() + aFor;
  const Millis detectionDelay = this->NextRandom(2) == 0 ? 0 : 3000;
  this->Schedule(detectionDelay, [this] {
    this->LoseSessionsIf([this](const CallSession& aSession) {
      return this->IsPartitioned(aSession.from->host, aSession.to->host);
    });
  });
}

} // namespace lacewingwharf::testing
