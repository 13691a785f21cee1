#pragma once

#include "execution/siteharness.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lacewingwharf::testing {

/** A load on servers through entry daemons, on one manual clock. */
struct HedgeLoad
{
  double share = 0;
  double callsPerSecond = 120;
  double seconds = 120;
  double slowFactor = 8; // Of the service times of the first server.
  double slowRuns =
    0; // Fraction of the calls of other servers that are as slow.
  std::string method = "GET";
  std::uint64_t seed = 1;

  /** From then on, this many calls arrive in each second. */
  double changeAtSecond = 1e9;
  double changedCallsPerSecond = 0;
};

/** What callers got and what the servers did for it. */
struct HedgeOutcome
{
  std::vector<double> latencies; // Of answered calls after the first 20 s.
  std::size_t calls = 0;
  std::size_t answered = 0;
  std::size_t runs = 0; // Started at servers.
  double slotMillis = 0;
  std::map<HedgeEvent, std::size_t> events;
  std::map<WithheldReason, std::size_t> withheld;

  /** By entry daemon, in milliseconds since the start. */
  std::map<std::size_t, std::vector<double>> firstAttempts;
  std::map<std::size_t, std::vector<double>> secondAttempts;

  /** What all daemons sent, in order. */
  std::vector<std::string> sent;

  double Quantile(double aQuantile)
  {
    std::ranges::sort(this->latencies);
    const auto count = static_cast<double>(this->latencies.size());
    return this->latencies.at(
      static_cast<std::size_t>(std::ceil(aQuantile * count) - 1));
  }

  std::size_t SecondAttempts() { return this->events[HedgeEvent::Started]; }
};

/**
 * Ten entry daemons in front of ten servers of 6 slots with a queue of 24
 * calls, whose calls take 55 to 300 ms. The first server is slower.
 */
class HedgeSimulation
{
public:
  static constexpr std::size_t kDaemons = 10;
  static constexpr std::size_t kServers = 10;
  static constexpr int kServerSlots = 6;
  static constexpr std::size_t kQueue = 24;
  static constexpr Millis kCallLimit = 6000;

  explicit HedgeSimulation(HedgeLoad aLoad)
    : load(std::move(aLoad))
    , random(SeededRandom(this->load.seed))
    , arrivals(SeededRandom(this->load.seed + 1000))
    , servers(kServers)
  {
    Log::SetLevel(LogLevel::Error);
    EntryCallsConfig config = SiteConfig();
    config.hedging.share = this->load.share;
    for (std::size_t i = 0; i < kDaemons; ++i) {
      this->AddDaemon(i, config);
    }
  }

  HedgeOutcome Run()
  {
    const double end = this->load.seconds * 1000;
    this->Schedule(0, [this] { this->Arrive(); });
    for (double at = 0; at < end; at += 10) {
      this->Schedule(at, [this] {
        std::ranges::for_each(this->daemons,
                              [](const auto& aDaemon) { aDaemon->Tick(); });
      });
    }
    while (!this->timers.empty() && this->timers.begin()->first <= end) {
      auto timer = this->timers.extract(this->timers.begin());
      this->clock.Advance(timer.key() - this->Now());
      timer.mapped()();
    }
    return std::move(this->outcome);
  }

private:
  struct ServerCall
  {
    std::string id;
    std::size_t daemon = 0;
    double startedAt = 0;
  };

  struct Server
  {
    std::map<std::string, ServerCall> running;
    std::deque<ServerCall> waiting;
  };

  double Now() const { return this->clock.View().PreciseNow() - kStart; }

  static double Uniform(const Random& aRandom)
  {
    constexpr std::uint64_t kSteps = 1U << 30U;
    return (static_cast<double>(RandomBelow(aRandom, kSteps)) + 0.5) / kSteps;
  }

  void Schedule(double aDelay, std::function<void()> aRun)
  {
    this->timers.emplace(this->Now() + aDelay, std::move(aRun));
  }

  void AddDaemon(std::size_t aIndex, const EntryCallsConfig& aConfig)
  {
    EntryCallsHooks hooks;
    hooks.answer = [this](RequestId aRequest, const HttpAnswer& aAnswer) {
      this->HandleAnswer(aRequest, aAnswer);
    };
    hooks.send = [this, aIndex](const PeerAddress& aTo,
                                const wire::Envelope& aEnvelope) {
      this->Send(aIndex, static_cast<std::size_t>(aTo.port), aEnvelope);
      return true;
    };
    hooks.isQuarantined = [](std::uint64_t) { return false; };
    hooks.hasLostServer = [](std::uint64_t) { return false; };
    hooks.ended = [](const EntryCall&, const Ending&) {};
    hooks.hedged = [this, aIndex](const EntryCall&,
                                  HedgeEvent aEvent,
                                  std::optional<WithheldReason> aReason) {
      ++this->outcome.events[aEvent];
      if (aReason) {
        ++this->outcome.withheld[*aReason];
      }
      if (aEvent == HedgeEvent::Started) {
        this->outcome.secondAttempts[aIndex].push_back(this->Now());
      }
    };
    this->daemons.push_back(
      std::make_unique<EntryCalls>(aConfig,
                                   this->clock.View(),
                                   SeededRandom(this->random()),
                                   std::move(hooks)));
    Limits limits;
    limits.deadline = kCallLimit;
    limits.retries = 1;
    this->daemons.back()->SetSnapshot(CatalogueWith(limits, {}));
    EndpointView view;
    for (std::size_t i = 0; i < kServers; ++i) {
      EndpointInfo info;
      info.host = fmt::format("server-{}", i);
      info.peerPort = static_cast<int>(i);
      info.port = kPort;
      info.slots = kServerSlots;
      view.services[kService].endpoints.push_back(info);
    }
    this->daemons.back()->SetView(std::make_shared<const EndpointView>(view));
  }

  void Arrive()
  {
    const bool isChanged = this->Now() >= this->load.changeAtSecond * 1000;
    const double rate =
      isChanged ? this->load.changedCallsPerSecond : this->load.callsPerSecond;
    const auto daemon =
      static_cast<std::size_t>(RandomBelow(this->arrivals, kDaemons));
    const auto request = static_cast<RequestId>(++this->outcome.calls);
    this->startedAt[request] = this->Now();
    this->outcome.firstAttempts[daemon].push_back(this->Now());
    HttpRequest http;
    http.method = this->load.method;
    http.path = "/orders";
    http.target = http.path;
    this->daemons[daemon]->Begin(request, http);
    this->Schedule(-std::log(Uniform(this->arrivals)) * 1000 / rate,
                   [this] { this->Arrive(); });
  }

  void HandleAnswer(RequestId aRequest, const HttpAnswer& aAnswer)
  {
    constexpr double kWarmUp = 20000;
    constexpr int kOk = 200;
    if (aAnswer.status != kOk) {
      return;
    }
    ++this->outcome.answered;
    const double start = this->startedAt.at(aRequest);
    if (start >= kWarmUp) {
      this->outcome.latencies.push_back(this->Now() - start);
    }
  }

  void Send(std::size_t aDaemon,
            std::size_t aServer,
            const wire::Envelope& aEnvelope)
  {
    constexpr double kDelay = 0.7;
    const bool isRequest = aEnvelope.__isset.callRequest;
    const std::string id =
      isRequest ? aEnvelope.callRequest.callId : aEnvelope.callCancel.callId;
    const std::string key = fmt::format("{}/{}", aDaemon, id);
    this->outcome.sent.push_back(fmt::format(
      "{:.3f} {} {} {}", this->Now(), aServer, key, isRequest ? "run" : "end"));
    this->Schedule(kDelay, [=, this] {
      if (isRequest) {
        this->Accept(aServer, { key, aDaemon, 0 });
      } else {
        this->Cancel(aServer, key);
      }
    });
  }

  void Accept(std::size_t aServer, ServerCall aCall)
  {
    Server& server = this->servers[aServer];
    if (server.waiting.size() >= kQueue) {
      wire::CallAnswer refusal;
      refusal.outcome = wire::CallOutcome::NOT_RUN;
      refusal.reason = "queue-full";
      this->Answer(aServer, aCall, refusal);
      return;
    }
    server.waiting.push_back(std::move(aCall));
    this->StartNext(aServer);
  }

  void StartNext(std::size_t aServer)
  {
    Server& server = this->servers[aServer];
    while (!server.waiting.empty() && server.running.size() < kServerSlots) {
      ServerCall call = std::move(server.waiting.front());
      server.waiting.pop_front();
      call.startedAt = this->Now();
      ++this->outcome.runs;
      const bool isSlow =
        aServer == 0 || Uniform(this->random) < this->load.slowRuns;
      const double factor = isSlow ? this->load.slowFactor : 1;
      const double millis = (55 + Uniform(this->random) * 245) * factor;
      const std::string key = call.id;
      server.running.emplace(key, std::move(call));
      this->Schedule(millis, [this, aServer, key] { this->End(aServer, key); });
    }
  }

  void End(std::size_t aServer, const std::string& aKey)
  {
    Server& server = this->servers[aServer];
    const auto found = server.running.find(aKey);
    if (found == server.running.end()) {
      return; // Cancelled.
    }
    wire::CallAnswer answer;
    answer.outcome = wire::CallOutcome::DONE;
    answer.status = 200;
    answer.bodyHash = BodyHash(answer.body);
    this->Answer(aServer, found->second, answer);
    this->Release(aServer, aKey);
  }

  void Cancel(std::size_t aServer, const std::string& aKey)
  {
    Server& server = this->servers[aServer];
    std::erase_if(server.waiting, [&aKey](const ServerCall& aCall) {
      return aCall.id == aKey;
    });
    if (server.running.contains(aKey)) {
      this->Release(aServer, aKey);
    }
  }

  void Release(std::size_t aServer, const std::string& aKey)
  {
    const auto call = this->servers[aServer].running.extract(aKey);
    this->outcome.slotMillis += this->Now() - call.mapped().startedAt;
    this->StartNext(aServer);
  }

  void Answer(std::size_t aServer,
              const ServerCall& aCall,
              wire::CallAnswer aAnswer)
  {
    constexpr double kDelay = 0.7;
    const Server& server = this->servers[aServer];
    aAnswer.callId = aCall.id.substr(aCall.id.find('/') + 1);
    aAnswer.running = static_cast<int>(server.running.size());
    aAnswer.waiting = static_cast<int>(server.waiting.size());
    aAnswer.slots = kServerSlots;
    this->Schedule(kDelay, [this, daemon = aCall.daemon, aAnswer] {
      this->daemons[daemon]->HandleAnswer(aAnswer);
    });
  }

  static constexpr Millis kStart = 100000;

  HedgeLoad load;
  Random random;   // Of the service times and the daemons.
  Random arrivals; // The same with and without second attempts.
  ManualClock clock{ kStart };
  std::vector<Server> servers;
  std::vector<std::unique_ptr<EntryCalls>> daemons;
  std::multimap<double, std::function<void()>> timers;
  std::map<RequestId, double> startedAt;
  HedgeOutcome outcome;
};

} // namespace lacewingwharf::testing
