#include "distribution/relayfailover.h"

#include "common/hash.h"
#include "common/log.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace lacewingwharf;

namespace {

constexpr Millis kRolloutTime = 2000;
constexpr Millis kTick = 50;
const std::string kOrderKey = "feeder/r";

/**
 * The members of a group with one relay. Each heartbeat reaches all members
 * that are not lost, and each watch of the store works at once.
 */
class Group
{
public:
  explicit Group(int aMembers)
  {
    Log::SetLevel(LogLevel::Error);
    for (int index = 0; index < aMembers; ++index) {
      this->order.push_back("h" + std::to_string(index));
    }
    this->order = RendezvousOrder(kOrderKey, this->order);
    std::ranges::for_each(
      this->order, [this](const std::string& aHost) { this->Start(aHost); });
  }

  void Start(const std::string& aHost)
  {
    auto failover = std::make_unique<RelayFailover>(
      RelayFailoverConfig{ aHost, 1, kOrderKey, kRolloutTime },
      this->clock.View());
    failover->SetCandidates(this->order);
    this->members[aHost] = std::move(failover);
  }

  void Run(Millis aTime)
  {
    for (Millis end = this->clock.View().Now() + aTime;
         this->clock.View().Now() < end;) {
      this->clock.Advance(kTick);
      std::ranges::for_each(this->members, [this](auto& aMember) {
        this->Tick(aMember.first, *aMember.second);
      });
    }
  }

  std::vector<std::string> Substitutes() const
  {
    std::vector<std::string> hosts;
    std::ranges::for_each(this->members, [&hosts](const auto& aMember) {
      if (aMember.second->IsSubstitute()) {
        hosts.push_back(aMember.first);
      }
    });
    return hosts;
  }

  ManualClock clock{ 1000 };
  std::vector<std::string> order; // The first one is the relay.
  std::map<std::string, std::unique_ptr<RelayFailover>> members;
  bool isStoreWorking = true;
  int takeovers = 0;

private:
  void Tick(const std::string& aHost, RelayFailover& aMember)
  {
    const bool wasSubstitute = aMember.IsSubstitute();
    aMember.Tick(aHost == this->order.front(), this->isStoreWorking);
    this->takeovers += !wasSubstitute && aMember.IsSubstitute() ? 1 : 0;
    if (aMember.IsSubstitute() && !this->isStoreWorking) {
      aMember.RecordStoreFailure();
    }
    const auto heartbeat = aMember.TakeDueHeartbeat();
    if (!heartbeat) {
      return;
    }
    std::ranges::for_each(this->members, [&](auto& aOther) {
      aOther.second->RecordHeartbeat(*heartbeat);
    });
  }
};

wire::RelayHeartbeat
HeartbeatOf(std::int64_t aIncarnation, std::int64_t aSequence)
{
  wire::RelayHeartbeat heartbeat;
  heartbeat.relay = "h0";
  heartbeat.incarnation = aIncarnation;
  heartbeat.sequence = aSequence;
  heartbeat.isWatching = true;
  return heartbeat;
}

} // namespace

// As long as its relay works, a group must not ask the store more often than
// the relay does.
Test(relayfailover, nobody_takes_over_from_a_working_relay)
{
  Group group(24);
  group.Run(60000);
  cr_expect_eq(group.takeovers, 0);
}

// A version that is written when the relay is lost must be in force within the
// rollout time, so a substitute must watch the store well before that time has
// passed, also if the next members in the order were lost, too. In a small
// group the substitutes cost a few calls of the store and not one per member.
Test(relayfailover, a_substitute_is_found_in_time_whoever_is_lost)
{
  for (const std::size_t lost : { 1UL, 2UL, 5UL, 12UL, 20UL, 23UL }) {
    Group group(24);
    group.Run(10000);
    std::for_each(
      group.order.begin(),
      group.order.begin() + static_cast<std::ptrdiff_t>(lost),
      [&group](const std::string& aHost) { group.members.erase(aHost); });
    group.Run(kRolloutTime * 3 / 4);
    cr_expect_eq(group.Substitutes().size(), 1U, "%zu lost", lost);
    cr_expect_leq(group.takeovers, 24 - 11, "%d takeovers", group.takeovers);
    group.Run(60000); // It stays.
    cr_expect_eq(group.Substitutes().size(), 1U, "%zu lost", lost);
  }
}

// Two daemons that watch the store for the same group cost twice the calls.
Test(relayfailover, a_substitute_gives_way_to_its_relay)
{
  Group group(8);
  group.Run(1000);
  const std::string relay = group.order.front();
  group.members.erase(relay);
  group.Run(kRolloutTime);
  cr_expect_eq(group.Substitutes().size(), 1U);
  group.Start(relay);
  group.Run(kRolloutTime);
  cr_expect(group.Substitutes().empty());
}

// While the store is down, the number of calls must not grow with the group: a
// store that comes back, or is only slow, would get the calls of all daemons.
// But a version that was written just before it came back must be read within
// the rollout time, so the pauses between two tries must be short, too.
Test(relayfailover, a_store_that_is_down_is_asked_by_few_and_often)
{
  constexpr int kFirstCandidates = 10;
  constexpr Millis kPeriod = 8000;
  for (const int members : { 24, 300 }) {
    Group group(members);
    group.Run(1000);
    group.isStoreWorking = false;
    group.Run(kRolloutTime);
    cr_expect_geq(group.takeovers, 1);
    cr_expect_leq(
      group.takeovers, kFirstCandidates + 1, "%d takeovers", group.takeovers);
    for (int period = 0; period < 2; ++period) {
      const int before = group.takeovers;
      for (Millis time = 0; time < kPeriod; time += kRolloutTime / 2) {
        const int beforePause = group.takeovers;
        group.Run(kRolloutTime / 2);
        cr_expect_gt(group.takeovers, beforePause);
      }
      cr_expect_leq(group.takeovers - before, kFirstCandidates);
    }
  }
}

// If the relay is lost while the store is down, each member may try the store
// once, because nothing shows that others have tried it.
Test(relayfailover,
     without_any_relay_each_member_asks_a_store_that_is_down_once)
{
  constexpr int kFirstCandidates = 10;
  constexpr int kMembers = 100;
  Group group(kMembers);
  group.Run(1000);
  group.isStoreWorking = false;
  group.members.erase(group.order.front());
  group.Run(16000);
  cr_expect_leq(group.takeovers,
                kMembers + kFirstCandidates,
                "%d takeovers",
                group.takeovers);
}

// A copy of a heartbeat that arrives late must not hide that the relay is
// silent, and must not be forwarded again and again.
Test(relayfailover, a_late_copy_of_a_heartbeat_does_not_count)
{
  ManualClock clock(1000);
  RelayFailover member({ "h1", 1, kOrderKey, kRolloutTime }, clock.View());
  cr_expect(member.RecordHeartbeat(HeartbeatOf(7, 1)));
  cr_expect(member.RecordHeartbeat(HeartbeatOf(7, 2)));
  cr_expect_not(member.RecordHeartbeat(HeartbeatOf(7, 2)));
  cr_expect_not(member.RecordHeartbeat(HeartbeatOf(7, 1)));
  cr_expect_not(member.RecordHeartbeat(HeartbeatOf(6, 9)),
                "an earlier process");
  cr_expect(member.RecordHeartbeat(HeartbeatOf(8, 1)), "a restarted relay");
}
