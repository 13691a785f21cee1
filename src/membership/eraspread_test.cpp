#include "membership/regionfleet.h"

#include "common/log.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

using namespace lacewingwharf;

namespace {

void
SilenceLogs()
{
  Log::SetLevel(LogLevel::Error);
}

/** A fleet in which each daemon knows an era of the store. */
struct EraFleet : RegionFleet
{
  explicit EraFleet(std::size_t aHosts)
    : RegionFleet(aHosts, 11)
    , eras(aHosts)
  {
    this->network.extendHooks = [this](std::size_t aNode,
                                       MembershipHooks& aHooks) {
      aHooks.ownStoreEra = [this, aNode] { return this->eras[aNode]; };
      aHooks.onPeerStoreEra = [this, aNode](std::int64_t aEra) {
        this->Learn(aNode, aEra);
      };
    };
    for (std::size_t host = 0; host < aHosts; ++host) {
      this->network.Start(host);
    }
    this->network.Run(20000);
  }

  std::size_t CountKnowing(std::int64_t aEra) const
  {
    return static_cast<std::size_t>(
      std::ranges::count(this->eras, std::optional(aEra)));
  }

  void Learn(std::size_t aNode, std::int64_t aEra)
  {
    if (this->eras[aNode] < aEra) {
      this->eras[aNode] = aEra;
      this->rises.push_back(aNode);
    }
  }

  /** Time until all daemons know an era that the first one learns now. */
  Millis TimeToSpread(std::int64_t aEra)
  {
    constexpr Millis kTick = 50; // Of the control thread, which handles rises.
    constexpr Millis kMaxTime = 10000;
    this->Learn(0, aEra);
    Millis time = 0;
    while (time < kMaxTime && this->CountKnowing(aEra) < this->eras.size()) {
      for (const std::size_t node : std::exchange(this->rises, {})) {
        this->network.At(node).SpreadStoreEra();
      }
      this->network.Run(kTick);
      time += kTick;
    }
    return time;
  }

  std::int64_t lastEra = 4;
  std::vector<std::size_t> rises; // Not handled yet.
  std::vector<std::optional<std::int64_t>> eras;
};

} // namespace

TestSuite(eraspread, .init = SilenceLogs);

// Daemons make no calls to the store in calm, so the era must reach them by the
// messages of others. Relay heartbeats are faster; this is the time when all of
// them are lost. Of the 2 s in which all entries are back, 0.4 s pass until a
// relay asks the store again, 0.5 s are the random delay, and 0.1 s is left for
// the calls.
Test(eraspread, gossip_alone_reaches_a_large_fleet_in_time)
{
  constexpr Millis kBound = 1000;
  EraFleet fleet(296);
  for (const unsigned lossPercent : { 0U, 0U, 10U }) {
    fleet.network.faults.lossPercent = lossPercent;
    const Millis time = fleet.TimeToSpread(++fleet.lastEra);
    fmt::print(
      stderr, "known by all after {} ms, loss {}%\n", time, lossPercent);
    cr_expect_leq(time, kBound);
    fleet.network.Run(1000);
  }
}

// A store without eras must not make daemons send any.
Test(eraspread, without_an_era_none_is_sent)
{
  EraFleet fleet(8);
  bool isSent = false;
  fleet.network.onMessage = [&isSent](std::size_t, const auto& aEnvelope) {
    isSent = isSent ||
             (aEnvelope.__isset.ping && aEnvelope.ping.__isset.storeEra) ||
             (aEnvelope.__isset.ack && aEnvelope.ack.__isset.storeEra);
  };
  fleet.network.Run(3000);
  cr_expect_not(isSent);
}
