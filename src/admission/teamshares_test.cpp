#include "admission/teamshares.h"

#include "admission/admissionharness.h"
#include "admission/slotqueue.h"

#include <criterion/criterion.h>

using namespace lacewingwharf;
using namespace lacewingwharf::testing;

namespace {

constexpr double kServiceMillis = 100;

/** A catalogue with the teams "large" and "small" and others without a cap. */
SnapshotPtr
Catalogue(int aLargeRate, int aSmallRate)
{
  AcceptedEntries entries = CatalogueWith({}, {})->Entries();
  const auto add = [&entries](const std::string& aName, int aRate) {
    Entry team;
    team.name = "team." + aName;
    team.kind = EntryKind::Team;
    team.owner = aName;
    team.team.keyDigests = { aName };
    team.team.ratePerSecond = aRate;
    AddEntry(entries, team);
  };
  add("large", aLargeRate);
  add("small", aSmallRate);
  return Snapshot::Build({ 1, 0, 0 }, std::move(entries)).value();
}

/** Runs this number of calls of each team for aMillis. */
void
Use(TeamShares& aShares, int aLarge, int aSmall, double aFrom, double aMillis)
{
  aShares.Advance(aFrom);
  for (int call = 0; call < aLarge; ++call) {
    aShares.Start("large");
  }
  for (int call = 0; call < aSmall; ++call) {
    aShares.Start("small");
  }
  aShares.Advance(aFrom + aMillis);
  for (int call = 0; call < aLarge; ++call) {
    aShares.Finish("large");
  }
  for (int call = 0; call < aSmall; ++call) {
    aShares.Finish("small");
  }
}

int
LevelOfTeam(const TeamShares& aShares, std::string_view aTeam)
{
  return LevelOf(aShares.StandingOf(aTeam, kServiceMillis));
}

AdmissionRequest
Call(const std::string& aId, const std::string& aTeam)
{
  AdmissionRequest request = RequestOf(aId);
  request.team = aTeam;
  return request;
}

/** A queue with one slot, which "large" has used for some seconds. */
SlotQueue
UsedQueue(double aUntil)
{
  SlotQueue queue;
  queue.SetCapacity(1, 0);
  for (double now = 0; now < aUntil; now += kServiceMillis) {
    const AdmissionRequest request = Call("earlier", "large");
    queue.Offer(request, now);
    queue.StartNext(now);
    queue.Finish(request, kServiceMillis, now + kServiceMillis);
  }
  return queue;
}

} // namespace

// A large team at its usual load must not be reduced to the share of a small
// one.
Test(teamshares, shares_are_weighted_by_caps)
{
  TeamShares shares;
  shares.SetTeams(*Catalogue(300, 100));
  Use(shares, 3, 1, 0, 5000);
  cr_expect_eq(LevelOfTeam(shares, "large"), 0);
  cr_expect_eq(LevelOfTeam(shares, "small"), 0);
  shares.SetTeams(*Catalogue(100, 100));
  cr_expect_gt(LevelOfTeam(shares, "large"), 0);
  cr_expect_eq(LevelOfTeam(shares, "small"), 0);
}

// Teams without a cap must not be left without a share beside those with one.
Test(teamshares, teams_without_a_cap_have_the_mean_of_the_caps)
{
  TeamShares shares;
  shares.SetTeams(*Catalogue(300, 0));
  Use(shares, 2, 2, 0, 5000);
  cr_expect_eq(LevelOfTeam(shares, "large"), 0);
  cr_expect_eq(LevelOfTeam(shares, "small"), 0);
  shares.SetTeams(*Catalogue(0, 0));
  cr_expect_eq(LevelOfTeam(shares, "large"), 0);
  cr_expect_eq(LevelOfTeam(shares, "small"), 0);
}

// What a team has used must not count against it for long.
Test(teamshares, usage_decays_within_seconds)
{
  TeamShares shares;
  Use(shares, 6, 0, 0, 5000);
  Use(shares, 0, 1, 5000, 1000);
  cr_expect_gt(LevelOfTeam(shares, "large"), 0);
  Use(shares, 0, 6, 6000, 10000);
  cr_expect_eq(LevelOfTeam(shares, "large"), 0);
}

// A team that sends a call in many seconds must not wait because of one call.
Test(teamshares, a_single_call_is_within_every_share)
{
  TeamShares shares;
  shares.SetTeams(*Catalogue(3000, 3));
  Use(shares, 6, 0, 0, 5000);
  Use(shares, 0, 1, 5000, kServiceMillis);
  cr_expect_eq(LevelOfTeam(shares, "small"), 0);
}

// Names of teams must not fill the memory of a daemon.
Test(teamshares, state_is_bounded_and_discarded)
{
  TeamShares shares;
  shares.Advance(1000);
  shares.Start("large");
  for (int team = 0; team < 5000; ++team) {
    shares.AddDemand("team" + std::to_string(team));
  }
  cr_expect_leq(shares.Size(), 1024U);
  cr_expect_eq(shares.RunningOf("large"), 1);
  shares.Advance(30000);
  cr_expect_eq(shares.Size(), 1U);
}

// The order of arrival and of targets must not let a team that has used all
// slots keep them.
Test(teamshares, the_team_below_its_share_starts_first)
{
  SlotQueue queue = UsedQueue(5000);
  AdmissionRequest first = Call("first", "large");
  first.targetAt = 5500;
  AdmissionRequest second = Call("second", "small");
  second.targetAt = 8000;
  queue.Offer(first, 5000);
  queue.Offer(second, 5000);
  cr_expect_eq(queue.StartNext(5000)->callId, "second");
}

// Work for an answer that is too late must not delay calls that can be in time,
// whatever their teams have used.
Test(teamshares, a_call_that_will_be_late_yields_to_others)
{
  SlotQueue queue = UsedQueue(5000);
  AdmissionRequest late = Call("late", "small");
  late.targetAt = 5010;
  AdmissionRequest inTime = Call("in-time", "large");
  inTime.targetAt = 8000;
  queue.Offer(late, 5000);
  queue.Offer(inTime, 5000);
  cr_expect_eq(queue.StartNext(5000)->callId, "in-time");
}

// A view that arrives before the first version must not end the daemon, and the
// servers that were announced by then must get the weights of that version.
Test(teamshares, weights_arrive_with_the_first_version)
{
  ManualClock clock;
  Recorder recorder;
  Admission admission("host", clock.View(), recorder.Hooks());
  admission.SetEndpoint(kService, kPort, 1, 0, EndpointState::Ready);
  admission.SetConfiguration(nullptr, ViewOf({}));
  admission.Offer(Call("early", "large"));
  cr_expect_eq(recorder.reasons["early"], RefusalReason::NoConfiguration);
  admission.SetConfiguration(Catalogue(900, 100), ViewOf({}));
  const auto run = [&](const std::string& aTeam) {
    admission.Offer(Call(aTeam, aTeam));
    clock.Advance(kServiceMillis);
    admission.Finish(aTeam, kServiceMillis);
  };
  // Three quarters of the time for 9 tenths of the weight is below the share.
  for (int round = 0; round < 20; ++round) {
    run("large");
    run("large");
    run("large");
    run("small");
  }
  admission.Offer(Call("runs", "large"));
  AdmissionRequest small = Call("of-small", "small");
  small.targetAt = clock.View().Now() + 500;
  AdmissionRequest large = Call("of-large", "large");
  large.targetAt = clock.View().Now() + 9000;
  admission.Offer(small);
  admission.Offer(large);
  admission.Finish("runs", kServiceMillis);
  cr_expect(recorder.HasStarted("of-large"));
}

// The class must take precedence over shares, as it did before.
Test(teamshares, the_class_takes_precedence)
{
  SlotQueue queue = UsedQueue(5000);
  AdmissionRequest important = Call("important", "large");
  important.workClass = WorkClass::Critical;
  queue.Offer(Call("other", "small"), 5000);
  queue.Offer(important, 5000);
  cr_expect_eq(queue.StartNext(5000)->callId, "important");
}

// A full queue must not refuse a team below its share because another one has
// filled it, even if both use the route of the same owner.
Test(teamshares, a_full_queue_refuses_the_team_furthest_above_its_share)
{
  SlotQueue queue = UsedQueue(5000);
  queue.Offer(Call("running", "large"), 5000);
  queue.StartNext(5000);
  for (int call = 0; call < 4; ++call) {
    queue.Offer(Call(std::to_string(call), "large"), 5000);
  }
  const auto own = queue.Offer(Call("more", "large"), 5000);
  cr_assert(own.refusal.has_value());
  cr_expect_eq(own.refusal->reason, RefusalReason::QueueFull);
  const auto other = queue.Offer(Call("other", "small"), 5000);
  cr_expect_not(other.refusal.has_value());
  cr_assert(other.displaced.has_value());
  cr_expect_eq(other.displaced->request.callId, "3");
  const Refusal& refusal = other.displaced->refusal;
  cr_expect_eq(refusal.team, "large");
  cr_expect_gt(refusal.teamSlots, refusal.teamShare);
}
