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
 * Announces one backend server per daemon each second as the backend servers
 * would, and changes some of the announcements while it is told to.
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
    constexpr std::chrono::seconds kRound(1);
    auto roundAt = BenchClock::now();
    auto churnAt = roundAt;
    std::size_t next = 0;
    const auto step = kRound / static_cast<int>(this->fleet.Size());
    const std::chrono::duration<double> churnStep(1 /
                                                  this->options.churnPerSecond);
    while (!this->isStopping) {
      const auto now = BenchClock::now();
      if (!this->hasChurn) {
        churnAt = now;
      } else if (now >= churnAt) {
        this->ChangeOne();
        churnAt += std::chrono::duration_cast<BenchClock::duration>(churnStep);
      }
      if (now >= roundAt) {
        this->Announce(next);
        ++this->renewals;
        next = (next + 1) % this->fleet.Size();
        roundAt += step;
      }
      std::this_thread::sleep_until(
        std::min(roundAt, this->hasChurn ? churnAt : roundAt));
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
    // Daemons of all domains share a service.
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
  std::thread thread; // Last: it uses all of the above.
};

} // namespace lacewingwharf::bench
