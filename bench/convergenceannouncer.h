#pragma once

#include "convergencefleet.h"

#include "common/random.h"

#include <atomic>
#include <deque>
#include <mutex>
#include <thread>
#include <vector>

namespace lacewingwharf::bench {

/**
 * Announces one backend server to each daemon once per second, as the backend
 * servers themselves do. While churn is switched on, it also changes the slots
 * of randomly chosen announcements.
 */
class Announcer
{
public:
  Announcer(const ConvergenceOptions& aOptions, const DaemonFleet& aFleet)
    : options(aOptions)
    , fleet(aFleet)
    , slots(aFleet.Size(), kFewSlots)
    , connections(aFleet.Size())
    , thread([this] { this->Run(); })
  {
  }
  ~Announcer()
  {
    this->isStopping = true;
    this->thread.join();
  }

  Announcer(const Announcer&) = delete;
  Announcer& operator=(const Announcer&) = delete;

  void SetChurn(bool aHasChurn) { this->hasChurn = aHasChurn; }
  double Renewals() const { return this->renewals; }
  double Changes() const { return this->changes; }

private:
  static constexpr int kFewSlots = 6;
  static constexpr int kManySlots = 12;

  void Run()
  {
    constexpr std::chrono::seconds kRenewalInterval(1);
    auto renewalAt = BenchClock::now();
    auto changeAt = renewalAt;
    std::size_t next = 0;
    const auto renewalStep =
      kRenewalInterval / static_cast<int>(this->fleet.Size());
    const std::chrono::duration<double> changeStep(
      1 / this->options.churnPerSecond);
    while (!this->isStopping) {
      const auto now = BenchClock::now();
      if (!this->hasChurn) {
        changeAt = now;
      } else if (now >= changeAt) {
        this->ChangeOne();
        changeAt +=
          std::chrono::duration_cast<BenchClock::duration>(changeStep);
      }
      if (now >= renewalAt) {
        this->Announce(next);
        ++this->renewals;
        next = (next + 1) % this->fleet.Size();
        renewalAt += renewalStep;
      }
      std::this_thread::sleep_until(
        std::min(renewalAt, this->hasChurn ? changeAt : renewalAt));
    }
  }

  void ChangeOne()
  {
    const std::size_t daemon = RandomBelow(this->random, this->fleet.Size());
    this->slots[daemon] =
      this->slots[daemon] == kFewSlots ? kManySlots : kFewSlots;
    this->Announce(daemon);
    ++this->changes;
  }

  void Announce(std::size_t aDaemon)
  {
    constexpr int kBackendPort = 17820;
    // Each service has endpoints in all domains.
    const std::size_t service =
      aDaemon / kDomains % static_cast<std::size_t>(this->options.services);
    this->connections[aDaemon].Send(
      "PUT",
      DaemonFleet::AdminUrl(aDaemon,
                            fmt::format("/v1/endpoints/service-{}", service)),
      fmt::format(
        R"({{"port":{},"slots":{},"connections":110,"state":"ready"}})",
        kBackendPort,
        this->slots[aDaemon]));
  }

  ConvergenceOptions options;
  const DaemonFleet& fleet;
  std::vector<int> slots;
  std::deque<HttpConnection> connections;
  Random random = SeededRandom(1);
  std::atomic<bool> hasChurn{ false };
  std::atomic<bool> isStopping{ false };
  std::atomic<int> renewals{ 0 };
  std::atomic<int> changes{ 0 };
  std::thread thread; // Declared last because it uses all other members.
};

} // namespace lacewingwharf::bench
