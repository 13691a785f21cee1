// CONFIG: an upstream crashes while it runs two requests for the same harmless
// page. From then on all daemons refuse that page, which is all that the newer
// route gets.
#include "harness.hpp"

#include <algorithm>

using namespace review;

namespace {

constexpr double kWorkMs = 150;
constexpr double kFirstIntervalMs = 100; // Between requests on the first route.
constexpr double kLaterIntervalMs = 25;
constexpr int kBudgetMs = 1200;

// Age of the requests under which the upstream crashes: at work for certain.
constexpr double kYoungestMs = 5;
constexpr double kOldestMs = 80;

// As the site's srv_crash entry: for_s 4.5.
constexpr double kCrashMs = 4500;
constexpr double kCalmMs = 4000;

// Steady state begins with this time after the last crash has ended.
constexpr double kStabilityMs = 3000;
constexpr double kRecoveryMs = 15000; // The bound `recovery`.
constexpr double kSteadyMs = 20000;

constexpr int kLeastRequests = 20; // The rule's.

/** Requests of a route in steady state. */
struct Counts
{
  std::atomic<int> sent{ 0 };
  std::atomic<int> served{ 0 };
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
  std::vector<Machine> machines;
  for (int i = 1; i <= 5; ++i) {
    machines.push_back({ "sidecar-a-" + std::to_string(i),
                         network.Ip(i),
                         "caerfyrddin",
                         "de-cymru",
                         i == 1 ? "preview-svc" : "status-svc" });
  }
  const Json first = Route(
    "r-1", "orders.example", "/order/", "safe", "status-svc", "1200ms");
  const Json later = Route(
    "r-2", "orders.example", "/overview/", "safe", "status-svc", "1200ms");
  const auto configuration = [&](int aVersion, bool aHasLater) {
    Json resources = { first,
                       Service("preview-svc"),
                       Service("status-svc"),
                       CallerLimits() };
    if (aHasLater) {
      resources.push_back(later);
    }
    return Json{ { "version", aVersion },
                 { "base_version", aVersion - 1 },
                 { "resources", resources } };
  };
  store.Write("config", "main", configuration(7, false));

  std::vector<std::unique_ptr<Daemon>> daemons;
  std::vector<std::unique_ptr<Upstream>> upstreams(machines.size());
  std::mutex runMutex;
  // Start times of the overview requests at work, of each upstream.
  std::vector<std::multiset<double>> running(machines.size());
  const auto countYoung = [&](std::size_t aIndex) {
    const std::lock_guard lock(runMutex);
    const double now = NowMs();
    return std::count_if(running[aIndex].begin(),
                         running[aIndex].end(),
                         [now](double aStartedAt) {
                           return now - aStartedAt >= kYoungestMs &&
                                  now - aStartedAt <= kOldestMs;
                         });
  };
  const auto startUpstream = [&](std::size_t aIndex, const std::string& aId) {
    upstreams[aIndex] =
      std::make_unique<Upstream>(machines[aIndex], aId, record);
    Upstream* const upstream = upstreams[aIndex].get();
    upstream->Start([&, upstream, aIndex](int aFd, const Message& aRequest) {
      const bool isOverview = aRequest.Target() == "/overview/today";
      const double startedAt = NowMs();
      if (isOverview) {
        const std::lock_guard lock(runMutex);
        running[aIndex].insert(startedAt);
      }
      SleepMs(kWorkMs);
      if (isOverview) {
        const std::lock_guard lock(runMutex);
        running[aIndex].erase(running[aIndex].find(startedAt));
      }
      return SendAll(aFd,
                     MakeAnswer(200, "ok", upstream->AnswerHeaders(aRequest)));
    });
  };
  for (std::size_t i = 0; i < machines.size(); ++i) {
    daemons.push_back(
      std::make_unique<Daemon>(machines[i], storeIp, folder.path));
    daemons.back()->Start();
    startUpstream(i, "i-" + std::to_string(i + 1));
  }
  for (const auto& daemon : daemons) {
    if (!daemon->WaitReady(15000)) {
      record.Line("%s is not ready", daemon->machine.name.c_str());
      return kExitNotRun;
    }
  }

  std::atomic<bool> isOver{ false };
  std::atomic<bool> isSteady{ false };
  std::atomic<int> number{ 0 };
  Counts firstCounts;
  Counts laterCounts;
  std::map<std::string, int> refusals; // Bodies of answers on the later route.
  std::mutex mutex;
  std::vector<std::thread> senders;
  const auto startConsumer = [&](bool aIsLater) {
    senders.emplace_back([&, aIsLater] {
      while (!isOver) {
        const double due =
          NowMs() + (aIsLater ? kLaterIntervalMs : kFirstIntervalMs);
        std::thread([&, aIsLater, counts = isSteady.load()] {
          const std::string id = std::to_string(++number);
          const std::string target =
            aIsLater ? "/overview/today" : "/order/" + id;
          const Outcome outcome = Send(
            machines[0].ip,
            kOutboundPort,
            RequestText("GET", "orders.example", target, "q-" + id, kBudgetMs),
            kBudgetMs);
          if (!counts) {
            return;
          }
          Counts& route = aIsLater ? laterCounts : firstCounts;
          ++route.sent;
          route.served += outcome.answer.Status() == 200 ? 1 : 0;
          if (aIsLater) {
            const std::lock_guard lock(mutex);
            ++refusals[std::to_string(outcome.answer.Status()) + " " +
                       outcome.answer.body];
          }
        }).detach();
        SleepMs(due - NowMs());
      }
    });
  };
  startConsumer(false);
  SleepMs(kCalmMs);
  store.Write("config", "main", configuration(8, true));
  record.Line("operator: version 8 adds the route r-2 for /overview/");
  SleepMs(kCalmMs);
  startConsumer(true);
  record.Line("consumers: GET /overview/today 40 times a second from now on");
  SleepMs(kCalmMs);

  constexpr std::size_t kCrashed = 1;
  if (HasTrouble()) {
    const double until = NowMs() + 10000;
    while (countYoung(kCrashed) < 2 && NowMs() < until) {
      SleepMs(1);
    }
    record.Line("upstream %s crashes, with %d GET /overview/today at work",
                upstreams[kCrashed]->id.c_str(),
                static_cast<int>(countYoung(kCrashed)));
    upstreams[kCrashed]->Stop();
  }
  SleepMs(kCrashMs);
  if (HasTrouble()) {
    startUpstream(kCrashed, "i-2-again");
    record.Line("upstream i-2-again is back");
  }
  SleepMs(kStabilityMs + kRecoveryMs);
  isSteady = true;
  record.Line("steady state from here");
  SleepMs(kSteadyMs);
  isSteady = false;
  isOver = true;
  for (std::thread& sender : senders) {
    sender.join();
  }
  SleepMs(kBudgetMs + 300.0); // The last answers.

  const auto share = [](const Counts& aCounts) {
    return aCounts.sent == 0 ? 0.0
                             : static_cast<double>(aCounts.served) /
                                 static_cast<double>(aCounts.sent);
  };
  for (const auto& [text, count] : refusals) {
    record.Line("route r-2: %d times: %.300s", count, text.c_str());
  }
  record.Line("route r-1: %d of %d served; route r-2: %d of %d served",
              firstCounts.served.load(),
              firstCounts.sent.load(),
              laterCounts.served.load(),
              laterCounts.sent.load());
  const bool isBroken = laterCounts.sent >= kLeastRequests &&
                        share(laterCounts) < share(firstCounts) / 4;
  record.Line(isBroken ? "CONFIG broken" : "CONFIG held");
  return isBroken ? kExitBroken : kExitHeld;
}
