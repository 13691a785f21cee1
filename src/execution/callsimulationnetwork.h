#pragma once

// The functions of CallWorld: sessions, backend servers, callers and faults.

#include "execution/callsimulationparts.h"

#include "common/hash.h"

namespace lacewingwharf::testing {

inline std::string
CallWorld::BodyFor(std::size_t aNumber)
{
  return fmt::format(
    "order {} {}", aNumber, HexOf(Hash64(fmt::format("{}", aNumber))));
}

inline void
CallWorld::RunExchange(CallDaemon& aDaemon, const HttpExchange& aExchange)
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
  if (!aExchange.needsNewConnection && this->Chance(this->faults.cutAnswers)) {
    ++request.runs; // libcurl repeats it on a reused connection that closed.
  }
  Millis time = 1 + static_cast<Millis>(this->Below(60));
  if (this->faults.crashes > 0 && this->Chance(5)) {
    time *= 30;
  }
  const bool isCrash = request.isPoison || this->Chance(this->faults.crashes);
  const bool isCut = this->Chance(this->faults.cutAnswers);
  const int status = this->Chance(this->faults.shedding) ? 503 : 200;
  const bool isLate = time >= aExchange.timeLimit;
  this->At(std::min(time, aExchange.timeLimit), [=, this, &aDaemon] {
    if (isCrash && this->backends[aDaemon.host].epoch == backend.epoch) {
      this->StopBackend(aDaemon.host, 300);
    }
    const bool isGone = this->backends[aDaemon.host].epoch != backend.epoch;
    const auto end = isGone || isCut ? ExchangeEnd::Cut
                     : isLate        ? ExchangeEnd::TimedOut
                                     : ExchangeEnd::Answered;
    this->EndExchange(aDaemon, id, end, number, status);
  });
}

inline void
CallWorld::EndExchange(CallDaemon& aDaemon,
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
CallWorld::IsCut(std::size_t aLeft, std::size_t aRight) const
{
  return aLeft / 2 != aRight / 2 && this->Now() < this->cutUntil;
}

inline void
CallWorld::SendFrame(CallDaemon& aFrom,
                     std::size_t aTo,
                     wire::Envelope aEnvelope)
{
  if (!aFrom.dialled.contains(aTo)) {
    if (this->Now() < aFrom.notBefore[aTo]) {
      const std::vector<std::string> unsent{ aEnvelope.callRequest.callId };
      this->ReportLost(aFrom, aTo, false, unsent, 0);
      return;
    }
    this->Dial(aFrom, aTo);
  }
  const std::uint64_t id = aFrom.dialled[aTo];
  CallSession& session = this->sessions.at(id);
  session.sent.push_back(aEnvelope.callRequest.callId);
  if (session.isConnected) {
    this->Forward(id, aEnvelope);
  } else {
    session.queued.push_back(std::move(aEnvelope));
  }
}

inline void
CallWorld::Dial(CallDaemon& aFrom, std::size_t aTo)
{
  const std::uint64_t id = ++this->lastSession;
  this->sessions[id].from = &aFrom;
  aFrom.dialled[aTo] = id;
  this->Post(aFrom, this->Delay(), [this, id, aTo] { this->Connect(id, aTo); });
}

inline void
CallWorld::Connect(std::uint64_t aSession, std::size_t aTo)
{
  CallSession& session = this->sessions.at(aSession);
  CallDaemon& from = *session.from;
  CallDaemon& target = *this->current[aTo];
  if (!target.isDead && !this->IsCut(from.host, aTo)) {
    session.to = &target;
    session.isConnected = true;
    for (const auto& envelope : std::exchange(session.queued, {})) {
      this->Forward(aSession, envelope);
    }
    return;
  }
  session.isLost = true;
  from.dialled.erase(aTo);
  constexpr Millis kBackoff = 50;
  from.notBefore[aTo] =
    this->Now() + kBackoff + static_cast<Millis>(this->Below(kBackoff));
  this->ReportLost(from, aTo, false, session.sent, 0);
}

inline void
CallWorld::Forward(std::uint64_t aSession, const wire::Envelope& aEnvelope)
{
  CallSession& session = this->sessions.at(aSession);
  const bool isCut = this->IsCut(session.from->host, session.to->host);
  Millis arrival = this->Now() + this->Delay();
  arrival = std::max(arrival, isCut ? this->cutUntil : 0);
  arrival = std::max(arrival, session.lastForward);
  session.lastForward = arrival;
  this->At(arrival - this->Now(), [this, aSession, aEnvelope] {
    const CallSession& opened = this->sessions.at(aSession);
    CallDaemon& target = *opened.to;
    const auto deliver = [this, &target, aSession, aEnvelope] {
      this->HandleMessage(target, aSession, aEnvelope);
    };
    if (!opened.isLost) {
      this->Post(target, 0, deliver);
    } else if (this->Chance(this->faults.lateFrames)) {
      this->Post(target, static_cast<Millis>(this->Below(3000)), deliver);
    }
  });
}

inline void
CallWorld::HandleMessage(CallDaemon& aDaemon,
                         std::uint64_t aSession,
                         const wire::Envelope& aEnvelope)
{
  if (aEnvelope.__isset.callRequest) {
    aDaemon.destination->HandleRequest(aSession, aEnvelope.callRequest);
  } else if (aEnvelope.__isset.callCancel) {
    aDaemon.destination->HandleCancel(aEnvelope.callCancel.callId);
  } else if (aEnvelope.__isset.callQuery) {
    aDaemon.destination->HandleQuery(aSession, aEnvelope.callQuery);
  }
}

inline void
CallWorld::Reply(CallDaemon& aFrom,
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
  if (!aAnswer.body.empty() && this->Chance(this->faults.damagedAnswers)) {
    aAnswer.body.front() ^= 1;
  }
  const bool isCut = this->IsCut(session.from->host, aFrom.host);
  Millis arrival = this->Now() + this->Delay();
  arrival = std::max(arrival, isCut ? this->cutUntil : 0);
  arrival = std::max(arrival, session.lastBack);
  session.lastBack = arrival;
  this->At(arrival - this->Now(), [this, aSession, aAnswer] {
    const CallSession& opened = this->sessions.at(aSession);
    if (opened.isLost && !this->Chance(this->faults.lateFrames)) {
      return;
    }
    CallDaemon& target = *opened.from;
    this->Post(
      target, 0, [&target, aAnswer] { target.entry->HandleAnswer(aAnswer); });
  });
}

inline void
CallWorld::Lose(std::uint64_t aSession)
{
  CallSession& session = this->sessions.at(aSession);
  session.isLost = true;
  session.from->dialled.erase(session.to->host);
  this->ReportLost(*session.from,
                   session.to->host,
                   true,
                   this->faults.isNaive ? session.sent
                                        : std::vector<std::string>{},
                   0);
}

inline void
CallWorld::LoseAll(const std::function<bool(const CallSession&)>& aMatches)
{
  for (auto& [id, session] : this->sessions) {
    if (session.isConnected && !session.isLost && aMatches(session)) {
      this->Lose(id);
    }
  }
}

/** The naive version takes every request on a lost session for not run. */
inline void
CallWorld::ReportLost(CallDaemon& aDaemon,
                      std::size_t aTo,
                      bool aWasConnected,
                      const std::vector<std::string>& aUnsent,
                      Millis aDelay)
{
  const PeerAddress remote{ "", static_cast<int>(aTo) };
  const auto bound = static_cast<std::uint64_t>(this->faults.maxEventDelay);
  const Millis delay = aDelay + static_cast<Millis>(this->Below(bound));
  const bool wasConnected = aWasConnected && !this->faults.isNaive;
  this->Post(aDaemon, delay, [&aDaemon, remote, wasConnected, aUnsent] {
    aDaemon.entry->HandleSessionLost(remote, wasConnected, aUnsent);
  });
}

inline std::size_t
CallWorld::Send(std::size_t aHost,
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
  http.body = aIsPoison ? "poison" : fmt::format("{}", number);
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
CallWorld::Kill(std::size_t aHost, Millis aDownFor)
{
  CallDaemon& daemon = *this->current[aHost];
  if (daemon.isDead) {
    return;
  }
  daemon.isDead = true;
  daemon.isPaused = false;
  this->LoseAll([&daemon](const CallSession& aSession) {
    return aSession.to == &daemon || aSession.from == &daemon;
  });
  this->Announce(aHost, 0, std::min<Millis>(aDownFor, 1000) / 2);
  this->At(aDownFor, [this, aHost] {
    this->Build(aHost);
    this->Announce(aHost, this->current[aHost]->incarnation, 0);
  });
}

inline void
CallWorld::Pause(std::size_t aHost, Millis aFor)
{
  CallDaemon& daemon = *this->current[aHost];
  if (daemon.isDead || daemon.isPaused) {
    return;
  }
  daemon.isPaused = true;
  constexpr Millis kSilenceLimit = 3000;
  this->At(kSilenceLimit, [this, &daemon] {
    if (daemon.isPaused) {
      this->LoseAll([&daemon](const CallSession& aSession) {
        return aSession.to == &daemon || aSession.from == &daemon;
      });
    }
  });
  this->At(aFor, [&daemon] {
    daemon.isPaused = false;
    for (const auto& run : std::exchange(daemon.waiting, {})) {
      if (!daemon.isDead) {
        run();
      }
    }
  });
}

inline void
CallWorld::LoseSessions(std::size_t aFrom, std::size_t aTo)
{
  this->LoseAll([=](const CallSession& aSession) {
    return aSession.from->host == aFrom && aSession.to->host == aTo;
  });
}

inline void
CallWorld::StopBackend(std::size_t aHost, Millis aDownFor)
{
  Backend& backend = this->backends[aHost];
  if (!backend.isUp) {
    return;
  }
  backend.isUp = false;
  ++backend.epoch;
  this->At(aDownFor, [&backend] { backend.isUp = true; });
}

inline void
CallWorld::StopPlatform(Millis aFor)
{
  this->store.isDown = true;
  this->platformDownUntil = this->Now() + aFor;
  this->At(aFor, [this] {
    this->store.isDown = this->Now() < this->platformDownUntil;
  });
}

inline void
CallWorld::CutDomains(Millis aFor)
{
  this->cutUntil = this->Now() + aFor;
  const Millis noticed = this->Below(2) == 0 ? 0 : 3000;
  this->At(noticed, [this] {
    this->LoseAll([this](const CallSession& aSession) {
      return this->IsCut(aSession.from->host, aSession.to->host);
    });
  });
}

} // namespace lacewingwharf::testing
