#include "admission/admissionharness.h"
#include "admission/limitshare.h"
#include "common/random.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <memory>

using namespace lacewingwharf;
using namespace lacewingwharf::testing;

namespace {

struct Daemon
{
  Daemon(const std::string& aHost, const Clock& aClock, int aSlots)
    : admission(aHost, aClock, this->recorder.Hooks())
  {
    this->admission.SetEndpoint(
      kService, kPort, aSlots, 0, EndpointState::Ready);
  }

  Recorder recorder;
  Admission admission;
};

using Hosts = std::vector<std::pair<std::string, int>>;

Hosts
HostsWithSlots(const std::vector<int>& aSlots)
{
  Hosts hosts;
  for (const int slots : aSlots) {
    hosts.emplace_back("host" + std::to_string(hosts.size()), slots);
  }
  return hosts;
}

/** One Admission on each host. */
struct Fleet
{
  Fleet(const Hosts& aHosts, const SnapshotPtr& aSnapshot)
  {
    for (const auto& [host, slots] : aHosts) {
      auto daemon = std::make_unique<Daemon>(host, this->clock.View(), slots);
      daemon->admission.SetConfiguration(aSnapshot, ViewOf(aHosts));
      this->daemons.push_back(std::move(daemon));
    }
  }

  void OfferEverywhere(int aCalls, const std::string& aPrefix)
  {
    for (int call = 0; call < aCalls; ++call) {
      for (const auto& daemon : this->daemons) {
        daemon->admission.Offer(RequestOf(aPrefix + std::to_string(call)));
      }
    }
  }

  std::size_t Started() const
  {
    std::size_t sum = 0;
    for (const auto& daemon : this->daemons) {
      sum += daemon->recorder.starts.size();
    }
    return sum;
  }

  ManualClock clock;
  std::vector<std::unique_ptr<Daemon>> daemons;
};

Limits
Concurrency(int aCalls)
{
  Limits limits;
  limits.concurrency = aCalls;
  return limits;
}

Limits
Rate(int aPerSecond)
{
  Limits limits;
  limits.ratePerSecond = aPerSecond;
  return limits;
}

} // namespace

// When all daemons have the same view, their shares have to add up to the
// limit. Rounding must neither exceed it nor leave a part of it unused.
Test(limits, ConcurrencySharesAddUpToTheLimit)
{
  const Random random = SeededRandom(7);
  for (int trial = 0; trial < 50; ++trial) {
    std::vector<int> slots(2 + RandomBelow(random, 20));
    std::ranges::generate(slots, [&random] {
      return 10 + static_cast<int>(RandomBelow(random, 20));
    });
    const auto limit = static_cast<std::size_t>(RandomBelow(random, 20)) + 1;
    const int bound = static_cast<int>(limit);
    Fleet byEntry(HostsWithSlots(slots), CatalogueWith(Concurrency(bound), {}));
    byEntry.OfferEverywhere(20, "call");
    cr_assert_eq(byEntry.Started(), limit);
    Fleet byOwner(HostsWithSlots(slots), CatalogueWith({}, Concurrency(bound)));
    byOwner.OfferEverywhere(20, "call");
    cr_assert_eq(byOwner.Started(), limit);
  }
}

// While views differ, the limit may be exceeded by at most the sum of the
// shares of the endpoints that one side lacks.
Test(limits, OvershootIsAtMostTheSharesOfMissingEndpoints)
{
  constexpr int kLimit = 40;
  const Hosts hosts = HostsWithSlots({ 10, 10, 10, 10, 10, 10, 10, 10 });
  const Hosts known(hosts.begin(), hosts.begin() + 6);
  const auto snapshot = CatalogueWith(Concurrency(kLimit), {});
  Fleet fleet(hosts, snapshot);
  for (std::size_t index = 0; index < known.size(); ++index) {
    fleet.daemons[index]->admission.SetConfiguration(snapshot, ViewOf(known));
  }
  fleet.OfferEverywhere(20, "call");
  constexpr std::size_t kMissingShares = 2 * kLimit / 8;
  cr_assert_gt(fleet.Started(), 0U + kLimit);
  cr_assert_leq(fleet.Started(), kLimit + kMissingShares);
}

// The sum of the rates of all daemons must not exceed the limit.
Test(limits, RateLimitHoldsAcrossDaemons)
{
  constexpr int kRate = 50;
  constexpr int kSeconds = 10;
  const Hosts hosts = HostsWithSlots({ 6, 6, 12, 7 });
  Fleet fleet(hosts, CatalogueWith(Rate(kRate), {}));
  for (int step = 0; step < kSeconds * 100; ++step) {
    fleet.clock.Advance(10);
    const std::string id = std::to_string(step);
    for (const auto& daemon : fleet.daemons) {
      daemon->admission.Offer(RequestOf(id));
      daemon->admission.Finish(id, 1);
    }
  }
  // The burst is the calls of a quarter of a second and one call per host.
  cr_assert_leq(fleet.Started(), kRate * kSeconds + kRate / 4 + hosts.size());
  cr_assert_geq(fleet.Started(), 0U + kRate * kSeconds - hosts.size());
}

// A refusal has to name the entry, the owner and the limit that was exceeded.
Test(limits, RefusalNamesTheLimit)
{
  Fleet fleet(HostsWithSlots({ 10 }), CatalogueWith(Concurrency(3), {}));
  fleet.OfferEverywhere(4, "call");
  const Refusal& refusal = fleet.daemons[0]->recorder.lastRefusal;
  cr_assert_eq(refusal.reason, RefusalReason::EntryConcurrency);
  cr_assert_str_eq(refusal.entry.c_str(), "tills");
  cr_assert_str_eq(refusal.owner.c_str(), "shop");
  cr_assert_eq(refusal.bound, 3);
  cr_assert_eq(refusal.seen, 4);
}

// A call that finishes without freeing its share would reduce the limit for
// good.
Test(limits, FinishedCallsFreeTheirConcurrency)
{
  Fleet fleet(HostsWithSlots({ 10 }), CatalogueWith(Concurrency(2), {}));
  Admission& admission = fleet.daemons[0]->admission;
  for (std::size_t round = 0; round < 5; ++round) {
    const std::string id = std::to_string(round);
    fleet.OfferEverywhere(3, id + "-");
    cr_assert_eq(fleet.Started(), 2 * (round + 1));
    admission.Finish(id + "-0", 1);
    admission.Finish(id + "-1", 1);
  }
}

// Shares must not depend on distances, which differ between the daemons of two
// failure domains, nor on records that only one of the domains has.
Test(limits, AggregatesOfOtherDomainsGiveTheSameSplit)
{
  constexpr int kLimit = 25;
  const std::vector<std::string> domains{ "bangor", "wrecsam" };
  std::int64_t sum = 0;
  for (const std::string& own : domains) {
    ServiceView view;
    for (const std::string& domain : domains) {
      const bool isOwn = domain == own;
      view.domains.push_back(
        { domain,
          isOwn ? Distance::SameDomain : Distance::SameRegion,
          3,
          domain == "bangor" ? 18 : 30,
          0,
          1.0 });
    }
    for (int index = 0; index < 3; ++index) {
      EndpointInfo info;
      info.host = own + std::to_string(index);
      info.domain = own;
      info.slots = own == "bangor" ? 6 : 10;
      view.endpoints.push_back(info);
    }
    for (int index = 0; index < 3; ++index) {
      LimitShare share(own + std::to_string(index));
      share.AddService(view, 10);
      sum += share.ShareOf(kLimit, "tills");
    }
  }
  cr_assert_eq(sum, kLimit);
}

// Small limits must not all go to the same few hosts.
Test(limits, RemaindersOfDifferentEntriesGoToDifferentHosts)
{
  std::map<std::string, std::int64_t> perHost;
  for (int entry = 0; entry < 100; ++entry) {
    std::vector<SharePart> parts;
    parts.reserve(10);
    for (int host = 0; host < 10; ++host) {
      parts.push_back({ "host" + std::to_string(host), 6, 0 });
    }
    SplitByLargestRemainder(1, "entry" + std::to_string(entry), parts);
    for (const SharePart& part : parts) {
      perHost[part.name] += part.share;
    }
  }
  for (const auto& [host, calls] : perHost) {
    cr_assert_leq(calls, 30);
    cr_assert_geq(calls, 1);
  }
}
