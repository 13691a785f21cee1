// DRAIN: a daemon acknowledges that its upstream leaves. The store comes back
// from a copy that is older than this, while the daemon is restarted. The new
// process takes the upstream for ready and sends it requests.
#include "harness.hpp"

using namespace review;

namespace {

constexpr double kStabilityMs = 3000;
constexpr double kDrainMs = 2000;

// The upstream serves this long after its report: "at times many seconds".
constexpr double kServesMs = 12000;

// Age of the copy when the upstream reports.
constexpr double kCopyAgeMs = 3000;

// After the acknowledgement: the store goes away, the daemon is killed and
// started again, the store is back.
constexpr double kStoreAwayMs = 500;
constexpr double kKillMs = 700;
constexpr double kRestartMs = 1200;
constexpr double kStoreBackMs = 2000;

constexpr double kCalmMs = 5000;
constexpr double kRequestIntervalMs = 20;
constexpr int kBudgetMs = 2000;

struct Arrival
{
  double at;
  std::string request;
};

} // namespace

int
main(int aCount, char** aArguments)
{
  Record record(aCount > 1 ? aArguments[1] : "record.txt");
  record.Line("trouble: %s", HasTrouble() ? "yes" : "no");
  const Network network;
  const TemporaryFolder folder;
  const std::string storeIp = network.Ip(250);
  Store store;
  if (!store.Start(storeIp, kStorePort)) {
    return kExitNotRun;
  }
  const Machine front{
    "sidecar-a-1", network.Ip(1), "caerfyrddin", "de-cymru", "preview-svc"
  };
  const Machine leaving{
    "sidecar-a-2", network.Ip(2), "caerfyrddin", "de-cymru", "orders-svc"
  };
  const Machine staying{
    "sidecar-b-1", network.Ip(3), "abertawe", "de-cymru", "orders-svc"
  };
  store.Write("config",
              "main",
              { { "version", 7 },
                { "base_version", 0 },
                { "resources",
                  { Route("r-1",
                          "orders.example",
                          "/orders/",
                          "unsafe",
                          "orders-svc",
                          "2000ms"),
                    Service("preview-svc"),
                    Service("orders-svc"),
                    CallerLimits() } } });
  Daemon frontDaemon(front, storeIp, folder.path);
  Daemon leavingDaemon(leaving, storeIp, folder.path);
  Daemon stayingDaemon(staying, storeIp, folder.path);
  for (Daemon* daemon : { &frontDaemon, &leavingDaemon, &stayingDaemon }) {
    daemon->Start();
  }
  std::mutex mutex;
  std::vector<Arrival> arrivals; // At the upstream that leaves.
  Upstream frontUpstream(front, "i-a1", record);
  Upstream leavingUpstream(leaving, "i-a2", record);
  Upstream stayingUpstream(staying, "i-b1", record);
  for (Upstream* upstream :
       { &frontUpstream, &leavingUpstream, &stayingUpstream }) {
    upstream->Start([&, upstream](int aFd, const Message& aRequest) {
      if (upstream == &leavingUpstream) {
        const std::lock_guard lock(mutex);
        arrivals.push_back({ NowMs(), aRequest.Header("X-Request-Id") });
      }
      SleepMs(20);
      return SendAll(aFd,
                     MakeAnswer(200, "ok", upstream->AnswerHeaders(aRequest)));
    });
  }
  for (const Daemon* daemon :
       { &frontDaemon, &leavingDaemon, &stayingDaemon }) {
    if (!daemon->WaitReady(15000)) {
      record.Line("%s is not ready", daemon->machine.name.c_str());
      return kExitNotRun;
    }
  }

  std::atomic<bool> isOver{ false };
  std::atomic<int> sent{ 0 };
  std::atomic<int> served{ 0 };
  std::map<std::string, double> sentAt; // Of each request, for the record.
  std::thread consumer([&] {
    while (!isOver) {
      const std::string id = "order-" + std::to_string(++sent);
      {
        const std::lock_guard lock(mutex);
        sentAt[id] = NowMs();
      }
      const Outcome outcome = Send(
        front.ip,
        kOutboundPort,
        RequestText(
          "POST", "orders.example", "/orders/new", id, kBudgetMs, "engrave"),
        kBudgetMs);
      served += outcome.answer.Status() == 200 ? 1 : 0;
      SleepMs(kRequestIntervalMs);
    }
  });
  const auto finish = [&](int aExit) {
    isOver = true;
    consumer.join();
    return aExit;
  };

  SleepMs(kCalmMs);
  record.Line("calm: %d orders sent, %d served, %d at the upstream that will "
              "leave, %d at the other",
              sent.load(),
              served.load(),
              leavingUpstream.runs.load(),
              stayingUpstream.runs.load());
  if (leavingUpstream.runs == 0) {
    return finish(kExitNotRun);
  }
  store.Save();
  record.Line("store: a copy is taken");
  SleepMs(kCopyAgeMs);
  const int status = leavingUpstream.Deregister();
  const double ackAt = NowMs();
  record.Line("upstream i-a2: instances.deregister, answer %d", status);
  if (status < 200 || status > 299) {
    return finish(kExitNotRun);
  }
  const auto waitUntil = [ackAt](double aAfterMs) {
    SleepMs(ackAt + aAfterMs - NowMs());
  };
  double restartedAt = ackAt - kStabilityMs;
  double storeBackAt = ackAt - kStabilityMs;
  if (HasTrouble()) {
    waitUntil(kStoreAwayMs);
    store.SetAway(true);
    record.Line("store: away");
    waitUntil(kKillMs);
    leavingDaemon.Kill();
    record.Line("SIGKILL of the daemon beside i-a2");
    waitUntil(kRestartMs);
    leavingDaemon.Start();
    restartedAt = NowMs();
    record.Line("the daemon beside i-a2 is started again");
    waitUntil(kStoreBackMs);
    store.Restore();
    store.SetAway(false);
    storeBackAt = NowMs();
    record.Line("store: back from the copy, which is %.1f s old",
                (NowMs() - ackAt + kCopyAgeMs) / 1000);
  }
  waitUntil(kServesMs);
  finish(0);
  record.Line("upstream i-a2 exits %.1f s after the acknowledgement",
              (NowMs() - ackAt) / 1000);
  leavingUpstream.Stop();

  // Counted are arrivals later than drain after the ack, of requests that were
  // sent while all machines and the store had been calm for stability.
  const double calmAt = std::max(restartedAt, storeBackAt) + kStabilityMs;
  int late = 0;
  int counted = 0;
  for (const Arrival& arrival : arrivals) {
    if (arrival.at <= ackAt + kDrainMs) {
      continue;
    }
    ++late;
    if (sentAt[arrival.request] < calmAt) {
      continue;
    }
    ++counted;
    if (counted <= 5) {
      record.Line("%s, sent %.2f s after the ack, reaches i-a2 %.2f s after it",
                  arrival.request.c_str(),
                  (sentAt[arrival.request] - ackAt) / 1000,
                  (arrival.at - ackAt) / 1000);
    }
  }
  record.Line("%d orders sent, %d served; at i-a2 later than drain after the "
              "ack: %d, of which %d with all machines in touch",
              sent.load(),
              served.load(),
              late,
              counted);
  record.Line(counted > 0 ? "DRAIN broken" : "DRAIN held");
  return counted > 0 ? kExitBroken : kExitHeld;
}
