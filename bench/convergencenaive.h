#pragma once

#include "convergencelogs.h"
#include "convergenceplatform.h"

#include "proxy/httpserver.h"

#include <atomic>
#include <deque>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace lacewingwharf::bench {

struct NaiveResult
{
  std::vector<double> millis; // Until every client has the change.
  int missed = 0;
  double bytesPerSecond = 0; // Per client.
  double bytesPerChange = 0; // Per client.
  double linkBytesPerSecond = 0;
  double linkBytesPerChange = 0;
  double callsPerSecond = 0;
};

/** Half of the clients are in the other region, like the real daemons. */
inline bool
IsNaiveClientInOtherRegion(int aClient)
{
  return aClient % kDomains >= kDomainsPerRegion;
}

inline std::string
NaiveListUrl(bool aIsInOtherRegion)
{
  return fmt::format("http://{}:{}/v1/objects?prefix=catalogue/",
                     aIsInOtherRegion ? kLinkAddress : kPlatformAddress,
                     kPlatformPort);
}

/**
 * Naive clients that read the whole catalogue from the platform once per
 * second.
 */
class NaivePollers
{
public:
  explicit NaivePollers(int aCount)
    : connections(static_cast<std::size_t>(aCount))
    , seenTexts(static_cast<std::size_t>(aCount))
  {
    for (int client = 0; client < aCount; ++client) {
      this->threads.emplace_back([this, client] { this->Run(client); });
    }
  }
  ~NaivePollers()
  {
    this->isStopping = true;
    for (std::thread& thread : this->threads) {
      thread.join();
    }
  }

  NaivePollers(const NaivePollers&) = delete;
  NaivePollers& operator=(const NaivePollers&) = delete;

  /**
   * Waits until every client has read a catalogue that contains aText; returns
   * false after aTimeout.
   */
  bool WaitFor(const std::string& aText, std::chrono::seconds aTimeout)
  {
    constexpr std::chrono::milliseconds kPoll(5);
    const auto end = BenchClock::now() + aTimeout;
    while (BenchClock::now() < end) {
      if (this->CountClientsWith(aText) == this->seenTexts.size()) {
        return true;
      }
      std::this_thread::sleep_for(kPoll);
    }
    return false;
  }

  void ExpectText(const std::string& aText)
  {
    const std::lock_guard lock(this->mutex);
    this->expectedText = aText;
  }

  double Bytes() const { return static_cast<double>(this->bytes); }

private:
  std::size_t CountClientsWith(const std::string& aText) const
  {
    const std::lock_guard lock(this->mutex);
    return static_cast<std::size_t>(std::ranges::count(this->seenTexts, aText));
  }

  void Run(int aClient)
  {
    constexpr std::chrono::seconds kInterval(1);
    const auto index = static_cast<std::size_t>(aClient);
    HttpConnection& connection = this->connections[index];
    const std::string url = NaiveListUrl(IsNaiveClientInOtherRegion(aClient));
    // The polls of the clients are spread evenly over the second.
    auto dueAt = BenchClock::now() +
                 kInterval * aClient / static_cast<int>(this->seenTexts.size());
    while (!this->isStopping) {
      std::this_thread::sleep_until(dueAt);
      dueAt = std::max(dueAt + kInterval, BenchClock::now());
      const std::uint64_t before = connection.Bytes();
      connection.Send("GET", url);
      this->bytes += connection.Bytes() - before;
      const std::lock_guard lock(this->mutex);
      if (connection.Answer().find(this->expectedText) != std::string::npos) {
        this->seenTexts[index] = this->expectedText;
      }
    }
  }

  std::deque<HttpConnection> connections;
  mutable std::mutex mutex;
  std::string expectedText = "\n";
  std::vector<std::string> seenTexts;
  std::atomic<std::uint64_t> bytes{ 0 };
  std::atomic<bool> isStopping{ false };
  std::list<std::thread> threads;
};

/** Naive server that sends the whole catalogue to every client on a change. */
class NaivePusher
{
public:
  explicit NaivePusher(int aCount)
    : count(aCount)
    , connections(static_cast<std::size_t>(aCount))
    , server({ .address = kNaiveAddress, .port = kNaivePort },
             { [this](RequestId aId, const HttpRequest&) {
                this->server.Answer(aId, {});
              },
               [](RequestId) {} })
  {
  }

  bool Start() { return this->server.Start(); }
  void Stop() { this->server.Stop(); }

  /** Returns true when every client has accepted the catalogue. */
  bool Push()
  {
    constexpr int kWorkers = 8;
    constexpr long kOk = 200;
    if (this->reader.Send("GET", NaiveListUrl(false)) != kOk) {
      return false;
    }
    std::atomic<int> next = 0;
    std::atomic<int> acceptedCount = 0;
    std::list<std::thread> workers;
    for (int worker = 0; worker < kWorkers; ++worker) {
      workers.emplace_back([&] {
        for (int client = next++; client < this->count; client = next++) {
          acceptedCount += this->PushTo(client) ? 1 : 0;
        }
      });
    }
    for (std::thread& worker : workers) {
      worker.join();
    }
    return acceptedCount == this->count;
  }

  double Bytes() const
  {
    double sum = static_cast<double>(this->reader.Bytes());
    for (const HttpConnection& connection : this->connections) {
      sum += static_cast<double>(connection.Bytes());
    }
    return sum;
  }

private:
  bool PushTo(int aClient)
  {
    constexpr long kOk = 200;
    const std::string url = fmt::format(
      "http://{}:{}/snapshot/{}",
      IsNaiveClientInOtherRegion(aClient) ? kLinkAddress : kNaiveAddress,
      kNaivePort,
      aClient);
    return this->connections[static_cast<std::size_t>(aClient)].Send(
             "PUT", url, this->reader.Answer()) == kOk;
  }

  int count;
  HttpConnection reader;
  std::deque<HttpConnection> connections;
  HttpServer server;
};

inline double
SecondsSince(BenchClock::time_point aStart)
{
  return std::chrono::duration<double>(BenchClock::now() - aStart).count();
}

inline double
TotalCalls(const PlatformUsage& aUsage)
{
  double sum = 0;
  for (const auto& [kind, calls] : aUsage.calls) {
    sum += calls;
  }
  return sum;
}

inline NaiveResult
MeasureNaivePolling(const ConvergenceOptions& aOptions,
                    PlatformTestbed& aPlatform)
{
  constexpr std::chrono::seconds kTimeout(30);
  constexpr int kFirstValue = 50000;
  NaiveResult result;
  NaivePollers pollers(aOptions.daemons);
  std::this_thread::sleep_for(std::chrono::seconds(2));
  const PlatformUsage first = aPlatform.ReadUsage();
  const double firstBytes = pollers.Bytes();
  const auto startedAt = BenchClock::now();
  for (int change = 0; change < aOptions.changes; ++change) {
    const int value = kFirstValue + change;
    const std::string text = std::to_string(value);
    pollers.ExpectText(text);
    const auto changedAt = BenchClock::now();
    aPlatform.ChangeRoute(change, value);
    if (pollers.WaitFor(text, kTimeout)) {
      result.millis.push_back(SecondsSince(changedAt) * 1000);
    } else if (++result.missed == 2) {
      break; // The link or the platform is too slow for this many clients.
    }
  }
  const double seconds = SecondsSince(startedAt);
  const PlatformUsage last = aPlatform.ReadUsage();
  result.bytesPerSecond =
    (pollers.Bytes() - firstBytes) / seconds / aOptions.daemons;
  result.linkBytesPerSecond = (last.linkBytes - first.linkBytes) / seconds;
  result.callsPerSecond = (TotalCalls(last) - TotalCalls(first)) / seconds;
  return result;
}

inline NaiveResult
MeasureNaivePushing(const ConvergenceOptions& aOptions,
                    PlatformTestbed& aPlatform)
{
  constexpr int kFirstValue = 60000;
  NaiveResult result;
  NaivePusher pusher(aOptions.daemons);
  if (!pusher.Start()) {
    fmt::print(stderr, "cannot listen for pushes\n");
    return result;
  }
  const PlatformUsage first = aPlatform.ReadUsage();
  for (int change = 0; change < aOptions.changes; ++change) {
    const auto changedAt = BenchClock::now();
    aPlatform.ChangeRoute(change, kFirstValue + change);
    if (pusher.Push()) {
      result.millis.push_back(SecondsSince(changedAt) * 1000);
    } else {
      ++result.missed;
    }
  }
  const PlatformUsage last = aPlatform.ReadUsage();
  result.bytesPerChange = pusher.Bytes() / aOptions.daemons / aOptions.changes;
  result.linkBytesPerChange =
    (last.linkBytes - first.linkBytes) / aOptions.changes;
  pusher.Stop();
  return result;
}

} // namespace lacewingwharf::bench
