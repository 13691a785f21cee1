// Measures goodput under overload: the rate of calls answered within their
// deadline. Compares the policy of this project with a naive one on the same
// sequence of arriving calls.

#include "admission/admission.h"
#include "admission/retrybudget.h"
#include "eventloop.h"
#include "routing/serverchooser.h"

#include <fmt/format.h>

#include <deque>
#include <map>
#include <memory>
#include <optional>

using namespace lacewingwharf;
using namespace lacewingwharf::bench;

namespace {

constexpr int kServers = 4;
constexpr int kSlots = 6;
constexpr int kPort = 8000;
constexpr double kMinServiceMillis = 5;
constexpr double kMeanExtraServiceMillis = 15; // Exponentially distributed.
constexpr double kCapacity =
  kServers * kSlots / (kMinServiceMillis + kMeanExtraServiceMillis) * 1000;
constexpr Millis kDeadline = 200;
constexpr Millis kQueueWait = 150;
constexpr double kOneWayDelayMillis = 0.5;
constexpr int kMaxSends = 3; // A caller resends a failed call at most twice.
constexpr double kResendDelayMillis = 50;
constexpr int kMaxRetries = 1; // By the entry daemon.
constexpr double kTickMillis = 10;
constexpr double kWarmUpMillis = 10000;
constexpr double kMeasuredMillis = 30000;
const std::string kService = "orders";

/** One attempt of a caller to send a call, with the deadline of its answer. */
struct Attempt
{
  std::string id;
  WorkClass workClass = WorkClass::Interactive;
  std::string owner;
  double deadlineAt = 0;
  double serviceMillis = 0;
  bool isMeasured = false; // The call arrived after the warm-up.
  std::function<void(bool aIsAnswered)> done;
};

using AttemptPtr = std::shared_ptr<Attempt>;
using Send = std::function<void(const AttemptPtr&)>;

/** Chooses servers at random; each has an unbounded FIFO queue. */
class NaiveFleet
{
public:
  NaiveFleet(EventLoop& aLoop, Random aRandom)
    : loop(aLoop)
    , random(std::move(aRandom))
    , servers(kServers)
  {
  }

  void Send(const AttemptPtr& aAttempt)
  {
    Server& server = this->servers[RandomBelow(this->random, kServers)];
    this->loop.After(kOneWayDelayMillis, [this, &server, aAttempt] {
      server.queue.push_back(aAttempt);
      this->StartQueuedCalls(server);
    });
  }

private:
  struct Server
  {
    int running = 0;
    std::deque<AttemptPtr> queue;
  };

  void StartQueuedCalls(Server& aServer)
  {
    while (aServer.running < kSlots && !aServer.queue.empty()) {
      const AttemptPtr attempt = aServer.queue.front();
      aServer.queue.pop_front();
      ++aServer.running;
      this->loop.After(attempt->serviceMillis, [this, &aServer, attempt] {
        --aServer.running;
        this->loop.After(kOneWayDelayMillis,
                         [attempt] { attempt->done(true); });
        this->StartQueuedCalls(aServer);
      });
    }
  }

  EventLoop& loop;
  Random random;
  std::vector<Server> servers;
};

EndpointInfo
MakeEndpoint(int aIndex)
{
  EndpointInfo info;
  info.host = fmt::format("host{}", aIndex);
  info.domain = "bangor";
  info.port = kPort;
  info.slots = kSlots;
  return info;
}

/** One entry daemon and its destination daemons with the project's policy. */
class PolicyFleet
{
public:
  PolicyFleet(EventLoop& aLoop, Random aRandom)
    : loop(aLoop)
    , chooser(aLoop.View(), std::move(aRandom))
    , budget(aLoop.View())
  {
    auto view = std::make_shared<EndpointView>();
    for (int index = 0; index < kServers; ++index) {
      view->services[kService].endpoints.push_back(MakeEndpoint(index));
    }
    this->chooser.SetView(view);
    for (int index = 0; index < kServers; ++index) {
      this->AddHost(MakeEndpoint(index).host, view);
    }
  }

  void Send(const AttemptPtr& aAttempt)
  {
    this->SendOnce({ aAttempt, {}, 0, 0 });
  }

private:
  struct OutstandingCall
  {
    AttemptPtr attempt;
    std::set<EndpointKey> triedEndpoints;
    int retries = 0;
    double sentAt = 0;
  };

  void AddHost(const std::string& aHost, const EndpointViewPtr& aView)
  {
    auto admission = std::make_unique<Admission>(
      aHost,
      this->loop.View(),
      Admission::Hooks{ [this, aHost](const std::string& aId) {
                         this->ExecuteCall(aHost, aId);
                       },
                        [this, aHost](const std::string& aId, const Refusal&) {
                          this->SendAnswer(aHost, aId, CallEnd::Refused);
                        } });
    admission->SetConfiguration(Snapshot::Empty(), aView);
    admission->SetEndpoint(kService, kPort, kSlots, 0, EndpointState::Ready);
    Admission* const raw = admission.get();
    this->loop.Every(kTickMillis, [raw] { raw->Tick(); });
    this->hosts[aHost] = std::move(admission);
  }

  void SendOnce(OutstandingCall aCall)
  {
    const auto choice = this->chooser.Choose(kService, aCall.triedEndpoints);
    if (!choice) {
      aCall.attempt->done(false);
      return;
    }
    const EndpointKey key{ choice->endpoint.host, kPort };
    aCall.triedEndpoints.insert(key);
    aCall.sentAt = this->loop.Now();
    this->chooser.RecordAttemptStart(key);
    const std::string id =
      fmt::format("{}/{}", aCall.attempt->id, aCall.retries);
    const AdmissionRequest request = MakeRequest(id, *aCall.attempt);
    this->calls[id] = std::move(aCall);
    this->loop.After(kOneWayDelayMillis, [this, key, request] {
      this->hosts.at(key.host)->Offer(request);
    });
  }

  static AdmissionRequest MakeRequest(const std::string& aId,
                                      const Attempt& aAttempt)
  {
    AdmissionRequest request;
    request.callId = aId;
    request.entry = "entry-of-" + aAttempt.owner;
    request.owner = aAttempt.owner;
    request.workClass = aAttempt.workClass;
    request.service = kService;
    request.port = kPort;
    request.deadlineAt = static_cast<Millis>(aAttempt.deadlineAt);
    request.queueWait = kQueueWait;
    return request;
  }

  void ExecuteCall(const std::string& aHost, const std::string& aId)
  {
    const double serviceMillis = this->calls.at(aId).attempt->serviceMillis;
    this->loop.After(serviceMillis, [this, aHost, aId, serviceMillis] {
      this->hosts.at(aHost)->Finish(aId, serviceMillis);
      this->SendAnswer(aHost, aId, CallEnd::Succeeded);
    });
  }

  void SendAnswer(const std::string& aHost,
                  const std::string& aId,
                  CallEnd aEnd)
  {
    const auto load = this->hosts.at(aHost)->LoadOf(kService, kPort);
    this->loop.After(kOneWayDelayMillis, [this, aHost, aId, aEnd, load] {
      OutstandingCall call = std::move(this->calls.at(aId));
      this->calls.erase(aId);
      Observation observation{ aEnd,
                               this->loop.Now() - call.sentAt,
                               load.running,
                               load.waiting,
                               load.slots };
      this->chooser.RecordAttemptEnd({ aHost, kPort }, observation);
      this->FinishOrRetry(std::move(call), aEnd);
    });
  }

  void FinishOrRetry(OutstandingCall aCall, CallEnd aEnd)
  {
    if (aEnd == CallEnd::Succeeded) {
      this->budget.RecordSuccess(kService);
      aCall.attempt->done(true);
      return;
    }
    if (aCall.retries < kMaxRetries && this->budget.TryTakeRetry(kService)) {
      ++aCall.retries;
      this->SendOnce(std::move(aCall));
      return;
    }
    aCall.attempt->done(false);
  }

  EventLoop& loop;
  ServerChooser chooser;
  RetryBudget budget;
  std::map<std::string, std::unique_ptr<Admission>> hosts;
  std::map<std::string, OutstandingCall> calls;
};

struct Results
{
  double goodput = 0; // Calls per second answered within the deadline.
  double sent = 0;    // Attempts per second.
  double p99 = 0;     // Latency of answered calls, in milliseconds.
  double criticalAnsweredShare = 0;
  std::vector<double> latencies;
  int criticalCalls = 0;
  int criticalAnswered = 0;
};

/** Generates calls and resends those that fail or time out. */
class CallerSimulation
{
public:
  CallerSimulation(EventLoop& aLoop,
                   std::uint64_t aSeed,
                   double aLoad,
                   Send aSend)
    : loop(aLoop)
    , random(SeededRandom(aSeed))
    , meanArrivalIntervalMillis(1000 / (kCapacity * aLoad))
    , send(std::move(aSend))
  {
  }

  Results Run()
  {
    this->GenerateCall();
    this->loop.RunUntil(1000 + kWarmUpMillis + kMeasuredMillis);
    Results& results = this->results;
    const double seconds = kMeasuredMillis / 1000;
    results.goodput = static_cast<double>(results.latencies.size()) / seconds;
    results.sent /= seconds;
    results.p99 = QuantileOf(results.latencies, 0.99);
    results.criticalAnsweredShare =
      static_cast<double>(results.criticalAnswered) /
      std::max(1, results.criticalCalls);
    return results;
  }

private:
  bool IsMeasured() const { return this->loop.Now() > 1000 + kWarmUpMillis; }

  void GenerateCall()
  {
    const auto classDraw = RandomBelow(this->random, 10);
    Attempt call;
    call.workClass = classDraw < 1   ? WorkClass::Critical
                     : classDraw < 6 ? WorkClass::Interactive
                     : classDraw < 8 ? WorkClass::Internal
                                     : WorkClass::Batch;
    call.owner = fmt::format("owner{}", RandomBelow(this->random, 4));
    call.serviceMillis =
      kMinServiceMillis + Exponential(this->random, kMeanExtraServiceMillis);
    call.isMeasured = this->IsMeasured();
    const bool isCritical = call.workClass == WorkClass::Critical;
    this->results.criticalCalls += isCritical && call.isMeasured ? 1 : 0;
    this->SendAttempt(call, 1);
    this->loop.After(Exponential(this->random, this->meanArrivalIntervalMillis),
                     [this] { this->GenerateCall(); });
  }

  void SendAttempt(const Attempt& aCall, int aNumber)
  {
    auto attempt = std::make_shared<Attempt>(aCall);
    const double sentAt = this->loop.Now();
    attempt->id = std::to_string(this->sequence++);
    attempt->deadlineAt = sentAt + kDeadline;
    this->results.sent += this->IsMeasured() ? 1 : 0;
    const auto hasEnded = std::make_shared<bool>(false);
    const auto end =
      [this, aCall, aNumber, sentAt, hasEnded](bool aIsAnswered) {
        if (*hasEnded) {
          return;
        }
        *hasEnded = true;
        if (aIsAnswered) {
          this->RecordAnswer(aCall, sentAt);
        } else if (aNumber < kMaxSends) {
          this->loop.After(kResendDelayMillis, [this, aCall, aNumber] {
            this->SendAttempt(aCall, aNumber + 1);
          });
        }
      };
    attempt->done = end;
    this->loop.After(kDeadline, [end] { end(false); });
    this->send(attempt);
  }

  void RecordAnswer(const Attempt& aCall, double aSentAt)
  {
    if (!this->IsMeasured()) {
      return;
    }
    this->results.latencies.push_back(this->loop.Now() - aSentAt);
    if (aCall.isMeasured && aCall.workClass == WorkClass::Critical) {
      ++this->results.criticalAnswered;
    }
  }

  EventLoop& loop;
  Random random;
  double meanArrivalIntervalMillis;
  Send send;
  std::uint64_t sequence = 0;
  Results results;
};

template<typename Fleet>
Results
Measure(double aLoad)
{
  constexpr std::uint64_t kSeed = 5;
  EventLoop loop;
  Fleet fleet(loop, SeededRandom(kSeed));
  CallerSimulation callers(
    loop, kSeed, aLoad, [&fleet](const AttemptPtr& aAttempt) {
      fleet.Send(aAttempt);
    });
  return callers.Run();
}

template<typename Fleet>
void
Print(std::string_view aName, bool aIsCsv)
{
  double best = 0;
  for (const double load : { 0.5, 1.0, 2.0, 4.0 }) {
    const Results results = Measure<Fleet>(load);
    best = std::max(best, results.goodput);
    const double percentOfBest = 100 * results.goodput / best;
    if (aIsCsv) {
      fmt::print("{},{},{:.1f},{:.1f},{:.1f},{:.1f},{:.3f}\n",
                 aName,
                 load,
                 results.goodput,
                 percentOfBest,
                 results.sent,
                 results.p99,
                 results.criticalAnsweredShare);
    } else {
      fmt::print("{:<8}{:>6.1f}{:>12.0f}{:>9.1f}{:>12.0f}{:>9.1f}{:>11.3f}\n",
                 aName,
                 load,
                 results.goodput,
                 percentOfBest,
                 results.sent,
                 results.p99,
                 results.criticalAnsweredShare);
    }
  }
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const bool isCsv = IsCsv(aCount, aArguments);
  if (isCsv) {
    fmt::print("policy,load,goodput_per_s,percent_of_best,sent_per_s,p99_ms,"
               "critical_answered\n");
  } else {
    fmt::print("capacity {:.0f} calls/s, deadline {} ms, seed 5, {} s\n",
               kCapacity,
               kDeadline,
               kMeasuredMillis / 1000);
    fmt::print("policy    load   goodput/s  % best      sent/s   p99 ms"
               "   critical\n");
  }
  Print<PolicyFleet>("policy", isCsv);
  Print<NaiveFleet>("naive", isCsv);
  return 0;
}
