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

// Goodput under overload: calls that are answered within their deadline, with
// the policy of this project and with a naive one, on the same arrivals.
namespace {

constexpr int kServers = 4;
constexpr int kSlots = 6;
constexpr int kPort = 8000;
constexpr double kServiceFloor = 5;
constexpr double kServiceRest = 15; // Exponential part.
constexpr double kCapacity =
  kServers * kSlots / (kServiceFloor + kServiceRest) * 1000;
constexpr Millis kDeadline = 200;
constexpr Millis kQueueWait = 150;
constexpr double kOneWay = 0.5;
constexpr int kSends = 3; // A caller sends a failed call again twice.
constexpr double kCallerPause = 50;
constexpr int kRetries = 1; // Of the entry daemon.
constexpr double kTick = 10;
constexpr double kWarmUp = 10000;
constexpr double kMeasured = 30000;
const std::string kService = "orders";

/** One sending of a call, with the time by which it has to be answered. */
struct Attempt
{
  std::string id;
  WorkClass workClass = WorkClass::Interactive;
  std::string owner;
  double deadlineAt = 0;
  double serviceMillis = 0;
  bool isMeasured = false; // Arrived after the time to warm up.
  std::function<void(bool aIsAnswered)> done;
};

using AttemptPtr = std::shared_ptr<Attempt>;
using Send = std::function<void(const AttemptPtr&)>;

/** Servers with an unbounded first-in first-out queue, chosen at random. */
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
    this->loop.After(kOneWay, [this, &server, aAttempt] {
      server.queue.push_back(aAttempt);
      this->Start(server);
    });
  }

private:
  struct Server
  {
    int running = 0;
    std::deque<AttemptPtr> queue;
  };

  void Start(Server& aServer)
  {
    while (aServer.running < kSlots && !aServer.queue.empty()) {
      const AttemptPtr attempt = aServer.queue.front();
      aServer.queue.pop_front();
      ++aServer.running;
      this->loop.After(attempt->serviceMillis, [this, &aServer, attempt] {
        --aServer.running;
        this->loop.After(kOneWay, [attempt] { attempt->done(true); });
        this->Start(aServer);
      });
    }
  }

  EventLoop& loop;
  Random random;
  std::vector<Server> servers;
};

EndpointInfo
EndpointOf(int aIndex)
{
  EndpointInfo info;
  info.host = fmt::format("host{}", aIndex);
  info.domain = "bangor";
  info.port = kPort;
  info.slots = kSlots;
  return info;
}

/** Entry daemon and destination daemons with the project's policy. */
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
      view->services[kService].endpoints.push_back(EndpointOf(index));
    }
    this->chooser.SetView(view);
    for (int index = 0; index < kServers; ++index) {
      this->AddHost(EndpointOf(index).host, view);
    }
  }

  void Send(const AttemptPtr& aAttempt)
  {
    this->SendOnce({ aAttempt, {}, 0, 0 });
  }

private:
  struct Outstanding
  {
    AttemptPtr attempt;
    std::set<EndpointKey> tried;
    int retries = 0;
    double sentAt = 0;
  };

  void AddHost(const std::string& aHost, const EndpointViewPtr& aView)
  {
    auto admission = std::make_unique<Admission>(
      aHost,
      this->loop.View(),
      Admission::Hooks{
        [this, aHost](const std::string& aId) { this->Run(aHost, aId); },
        [this, aHost](const std::string& aId, const Refusal&) {
          this->Answer(aHost, aId, CallEnd::Refused);
        } });
    admission->SetConfiguration(Snapshot::Empty(), aView);
    admission->SetEndpoint(kService, kPort, kSlots, 0, EndpointState::Ready);
    Admission* const raw = admission.get();
    this->loop.Every(kTick, [raw] { raw->Tick(); });
    this->hosts[aHost] = std::move(admission);
  }

  void SendOnce(Outstanding aCall)
  {
    const auto choice = this->chooser.Choose(kService, aCall.tried);
    if (!choice) {
      aCall.attempt->done(false);
      return;
    }
    const EndpointKey key{ choice->endpoint.host, kPort };
    aCall.tried.insert(key);
    aCall.sentAt = this->loop.Now();
    this->chooser.RecordAttemptStart(key);
    const std::string id =
      fmt::format("{}/{}", aCall.attempt->id, aCall.retries);
    const AdmissionRequest request = RequestOf(id, *aCall.attempt);
    this->calls[id] = std::move(aCall);
    this->loop.After(kOneWay, [this, key, request] {
      this->hosts.at(key.host)->Offer(request);
    });
  }

  static AdmissionRequest RequestOf(const std::string& aId,
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

  void Run(const std::string& aHost, const std::string& aId)
  {
    const double service = this->calls.at(aId).attempt->serviceMillis;
    this->loop.After(service, [this, aHost, aId, service] {
      this->hosts.at(aHost)->Finish(aId, service);
      this->Answer(aHost, aId, CallEnd::Succeeded);
    });
  }

  void Answer(const std::string& aHost, const std::string& aId, CallEnd aEnd)
  {
    const auto load = this->hosts.at(aHost)->LoadOf(kService, kPort);
    this->loop.After(kOneWay, [this, aHost, aId, aEnd, load] {
      Outstanding call = std::move(this->calls.at(aId));
      this->calls.erase(aId);
      Observation observation{ aEnd,
                               this->loop.Now() - call.sentAt,
                               load.running,
                               load.waiting,
                               load.slots };
      this->chooser.RecordAttemptEnd({ aHost, kPort }, observation);
      this->Conclude(std::move(call), aEnd);
    });
  }

  void Conclude(Outstanding aCall, CallEnd aEnd)
  {
    if (aEnd == CallEnd::Succeeded) {
      this->budget.RecordSuccess(kService);
      aCall.attempt->done(true);
      return;
    }
    if (aCall.retries < kRetries && this->budget.TryTakeRetry(kService)) {
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
  std::map<std::string, Outstanding> calls;
};

struct Figures
{
  double goodput = 0;  // Calls a second answered within their deadline.
  double sent = 0;     // Attempts a second.
  double p99 = 0;      // Of the answered ones.
  double critical = 0; // Part of the critical calls that were answered.
  std::vector<double> latencies;
  int criticalCalls = 0;
  int criticalAnswered = 0;
};

/** Callers that send a call again when it failed or timed out. */
class Callers
{
public:
  Callers(EventLoop& aLoop, std::uint64_t aSeed, double aLoad, Send aSend)
    : loop(aLoop)
    , random(SeededRandom(aSeed))
    , pause(1000 / (kCapacity * aLoad))
    , send(std::move(aSend))
  {
  }

  Figures Run()
  {
    this->Arrive();
    this->loop.RunUntil(1000 + kWarmUp + kMeasured);
    Figures& figures = this->figures;
    const double seconds = kMeasured / 1000;
    figures.goodput = static_cast<double>(figures.latencies.size()) / seconds;
    figures.sent /= seconds;
    figures.p99 = QuantileOf(figures.latencies, 0.99);
    figures.critical = static_cast<double>(figures.criticalAnswered) /
                       std::max(1, figures.criticalCalls);
    return figures;
  }

private:
  bool IsMeasured() const { return this->loop.Now() > 1000 + kWarmUp; }

  void Arrive()
  {
    const auto draw = RandomBelow(this->random, 10);
    Attempt call;
    call.workClass = draw < 1   ? WorkClass::Critical
                     : draw < 6 ? WorkClass::Interactive
                     : draw < 8 ? WorkClass::Internal
                                : WorkClass::Batch;
    call.owner = fmt::format("owner{}", RandomBelow(this->random, 4));
    call.serviceMillis =
      kServiceFloor + Exponential(this->random, kServiceRest);
    call.isMeasured = this->IsMeasured();
    const bool isCritical = call.workClass == WorkClass::Critical;
    this->figures.criticalCalls += isCritical && call.isMeasured ? 1 : 0;
    this->Try(call, 1);
    this->loop.After(Exponential(this->random, this->pause),
                     [this] { this->Arrive(); });
  }

  void Try(const Attempt& aCall, int aNumber)
  {
    auto attempt = std::make_shared<Attempt>(aCall);
    const double sentAt = this->loop.Now();
    attempt->id = std::to_string(this->sequence++);
    attempt->deadlineAt = sentAt + kDeadline;
    this->figures.sent += this->IsMeasured() ? 1 : 0;
    const auto isOver = std::make_shared<bool>(false);
    const auto end = [this, aCall, aNumber, sentAt, isOver](bool aIsAnswered) {
      if (*isOver) {
        return;
      }
      *isOver = true;
      if (aIsAnswered) {
        this->Count(aCall, sentAt);
      } else if (aNumber < kSends) {
        this->loop.After(kCallerPause, [this, aCall, aNumber] {
          this->Try(aCall, aNumber + 1);
        });
      }
    };
    attempt->done = end;
    this->loop.After(kDeadline, [end] { end(false); });
    this->send(attempt);
  }

  void Count(const Attempt& aCall, double aSentAt)
  {
    if (!this->IsMeasured()) {
      return;
    }
    this->figures.latencies.push_back(this->loop.Now() - aSentAt);
    if (aCall.isMeasured && aCall.workClass == WorkClass::Critical) {
      ++this->figures.criticalAnswered;
    }
  }

  EventLoop& loop;
  Random random;
  double pause;
  Send send;
  std::uint64_t sequence = 0;
  Figures figures;
};

template<typename Fleet>
Figures
Measure(double aLoad)
{
  constexpr std::uint64_t kSeed = 5;
  EventLoop loop;
  Fleet fleet(loop, SeededRandom(kSeed));
  Callers callers(loop, kSeed, aLoad, [&fleet](const AttemptPtr& aAttempt) {
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
    const Figures figures = Measure<Fleet>(load);
    best = std::max(best, figures.goodput);
    const double part = 100 * figures.goodput / best;
    if (aIsCsv) {
      fmt::print("{},{},{:.1f},{:.1f},{:.1f},{:.1f},{:.3f}\n",
                 aName,
                 load,
                 figures.goodput,
                 part,
                 figures.sent,
                 figures.p99,
                 figures.critical);
    } else {
      fmt::print("{:<8}{:>6.1f}{:>12.0f}{:>9.1f}{:>12.0f}{:>9.1f}{:>11.3f}\n",
                 aName,
                 load,
                 figures.goodput,
                 part,
                 figures.sent,
                 figures.p99,
                 figures.critical);
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
               kMeasured / 1000);
    fmt::print("policy    load   goodput/s  % best      sent/s   p99 ms"
               "   critical\n");
  }
  Print<PolicyFleet>("policy", isCsv);
  Print<NaiveFleet>("naive", isCsv);
  return 0;
}
