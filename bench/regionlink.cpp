// Bytes of the membership protocol between two regions, by size of the fleet.

#include "common/log.h"
#include "membership/regionfleet.h"

#include <fmt/format.h>

#include <array>
#include <ctime>

using namespace lacewingwharf;

namespace {

constexpr Millis kStartTime = 8000;
constexpr Millis kRestTime = 10000;
constexpr Millis kChangeTime = 5000;
constexpr std::size_t kChanges = 5;

void
Measure(std::size_t aHosts)
{
  const std::clock_t begin = std::clock();
  RegionFleet fleet(aHosts, 7);
  fleet.network.Run(300);
  fleet.AnnounceAll();
  fleet.network.Run(kStartTime);
  const std::uint64_t started = fleet.RegionLinkBytes();
  fleet.network.Run(kRestTime);
  const std::uint64_t rested = fleet.RegionLinkBytes();
  for (std::size_t host = 0; host < kChanges; ++host) {
    fleet.Announce(host * 3, wire::EndpointState::DRAINING);
    fleet.network.Run(kChangeTime / kChanges);
  }
  const std::uint64_t changed = fleet.RegionLinkBytes();
  const double restRate = static_cast<double>(rested - started) / kRestTime;
  const double changeBytes = static_cast<double>(changed - rested) -
                             restRate * static_cast<double>(kChangeTime);
  const double seconds =
    static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
  fmt::print("hosts={} start_kb={} rest_kb_per_s={:.1f} kb_per_change={:.1f} "
             "cpu_s={:.1f}\n",
             aHosts,
             started / 1000,
             restRate,
             changeBytes / 1000 / kChanges,
             seconds);
}

} // namespace

int
main()
{
  Log::SetLevel(LogLevel::Error);
  for (const std::size_t hosts : std::array<std::size_t, 3>{ 32, 96, 296 }) {
    Measure(hosts);
  }
}
