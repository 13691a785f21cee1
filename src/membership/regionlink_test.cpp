#include "common/log.h"
#include "membership/recordpush.h"
#include "membership/regionfleet.h"

#include <criterion/criterion.h>

#include <set>

using namespace lacewingwharf;

namespace {

constexpr std::size_t kHosts = 296;
constexpr Millis kStartTime = 15000;

void
SilenceLogs()
{
  Log::SetLevel(LogLevel::Error);
}

std::size_t
CountReached(const HostsByRegion& aHosts,
             const std::string& aRootRegion,
             const std::string& aRoot,
             const std::set<std::string>& aFrozen,
             std::size_t& aCrossings)
{
  std::set<std::string> reached{ aRoot };
  std::vector<std::pair<std::string, std::string>> waiting{ { aRootRegion,
                                                              aRoot } };
  aCrossings = 0;
  while (!waiting.empty()) {
    const auto [region, host] = waiting.back();
    waiting.pop_back();
    if (aFrozen.contains(host)) {
      continue;
    }
    for (const std::string& child :
         RegionTreeChildren(aHosts, aRootRegion, aRoot, region, host, 8)) {
      const std::string childRegion = child.substr(0, child.find('-'));
      aCrossings += childRegion == region ? 0 : 1;
      if (reached.insert(child).second) {
        waiting.emplace_back(childRegion, child);
      }
    }
  }
  return reached.size();
}

HostsByRegion
TwoRegions(int aHostsEach)
{
  HostsByRegion hosts;
  for (int index = 0; index < aHostsEach; ++index) {
    hosts["north"].push_back(fmt::format("north-{:04}", index));
    hosts["south"].push_back(fmt::format("south-{:04}", index));
  }
  return hosts;
}

} // namespace

TestSuite(regionlink, .init = SilenceLogs);

// The link between regions is narrow and paid for by volume. A push that
// crosses it once per host uses it up in a fleet of hundreds of hosts.
Test(regionlink, a_push_crosses_the_link_twice_whatever_the_size)
{
  for (const int each : { 2, 15, 150, 3000 }) {
    const HostsByRegion hosts = TwoRegions(each);
    for (const int root : { 0, 1, each - 1 }) {
      std::size_t crossings = 0;
      const std::size_t reached =
        CountReached(hosts, "south", hosts.at("south")[root], {}, crossings);
      cr_expect_eq(reached, static_cast<std::size_t>(each) * 2);
      cr_expect_leq(crossings, 2U);
    }
  }
}

// One frozen gateway must not cut off the other region.
Test(regionlink, a_frozen_gateway_does_not_cut_off_a_region)
{
  const HostsByRegion hosts = TwoRegions(150);
  const std::string root = "north-0007";
  std::size_t crossings = 0;
  for (const std::string& frozen : hosts.at("south")) {
    cr_expect_eq(CountReached(hosts, "north", root, { frozen }, crossings),
                 300U);
  }
}

// A root that the receivers no longer count as live, because it leaves, must
// still reach the members of its own region.
Test(regionlink, a_leaving_root_still_reaches_all)
{
  HostsByRegion hosts = TwoRegions(20);
  const std::string root = "north-0007";
  std::erase(hosts["north"], root);
  std::size_t crossings = 0;
  cr_expect_eq(CountReached(hosts, "north", root, {}, crossings), 40U);
}

// At rest, the bytes between regions must not grow with the square of the
// fleet, and a draining server must be known everywhere within a second.
Test(regionlink, a_fleet_of_300_leaves_the_link_free, .timeout = 120)
{
  constexpr std::uint64_t kRestBytesPerSecondAndHost = 100;
  RegionFleet fleet(kHosts, 11);
  fleet.network.Run(300);
  fleet.AnnounceAll();
  fleet.network.Run(kStartTime);
  const std::uint64_t started = fleet.RegionLinkBytes();
  fleet.network.Run(10000);
  cr_expect_leq((fleet.RegionLinkBytes() - started) / 10,
                kRestBytesPerSecondAndHost * kHosts);
  fleet.Announce(5, wire::EndpointState::DRAINING);
  fleet.network.Run(1000);
  cr_expect_eq(fleet.CountSeeing(5, wire::EndpointState::DRAINING), kHosts);
}

// With a tenth of the hosts killed at once, each must be known as dead in both
// regions within the time of a suspicion and its spread.
Test(regionlink, crashes_are_known_in_both_regions, .timeout = 120)
{
  constexpr Millis kCrashKnownAfter = 5000;
  RegionFleet fleet(kHosts, 12);
  fleet.network.Run(300);
  fleet.AnnounceAll();
  fleet.network.Run(kStartTime);
  for (std::size_t host = 0; host < kHosts; host += 10) {
    fleet.network.Crash(host);
  }
  fleet.network.Run(kCrashKnownAfter);
  for (std::size_t host = 1; host < kHosts; host += 10) {
    const auto live = fleet.network.At(host).Table().LiveHosts();
    cr_expect_eq(live.size(), kHosts - (kHosts + 9) / 10);
  }
}
