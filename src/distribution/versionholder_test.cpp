#include "distribution/versionholder.h"

#include "common/random.h"
#include "distribution/fetchplan.h"
#include "distribution/fetchserver.h"
#include "distribution/pushtree.h"
#include "distribution/testcatalogue.h"
#include "distribution/wireconversion.h"

#include <criterion/criterion.h>

#include <map>
#include <set>

using namespace lacewingwharf;

namespace {

/**
 * Returns the deltas of versions 1 to aCount. Version N adds or changes the
 * service whose name is "s" and N % 10.
 */
std::vector<Delta>
MakeChain(int aCount)
{
  std::vector<Delta> deltas;
  SnapshotPtr base = Snapshot::Empty();
  for (int version = 1; version <= aCount; ++version) {
    AcceptedEntries entries = base->Entries();
    const std::string name = fmt::format("s{}", version % 10);
    const std::string text = ServiceText(fmt::format("o{}", version));
    entries[name] = std::make_shared<const AcceptedEntry>(
      AcceptedEntry{ ParseEntry(name, text).assume_value(), version, text });
    const SnapshotPtr next =
      Snapshot::Build({ version, 0, 0 }, entries).assume_value();
    deltas.push_back(DeltaBetween(*base, *next));
    base = next;
  }
  return deltas;
}

} // namespace

// Requirement R1: a version at or below the held one must be dropped.
Test(versionholder, DropsVersionsAtOrBelowTheHeldOne)
{
  const auto deltas = MakeChain(3);
  VersionHolder holder;
  cr_assert_eq(holder.Offer(deltas[0]), OfferOutcome::Taken);
  cr_assert_eq(holder.Offer(deltas[1]), OfferOutcome::Taken);
  cr_assert_eq(holder.Offer(deltas[0]), OfferOutcome::Stale);
  cr_assert_eq(holder.Offer(deltas[1]), OfferOutcome::Stale);
  const auto first = Apply(*Snapshot::Empty(), deltas[0]).assume_value();
  cr_assert_eq(holder.Offer(MakeWholeDelta(*first)), OfferOutcome::Stale);
  cr_assert_eq(holder.HeldSnapshot()->Version(), 2);
}

// Requirement R3: no part of a delta with another base or a wrong hash may be
// applied.
Test(versionholder, DropsDeltasThatItCannotApplyCompletely)
{
  const auto deltas = MakeChain(3);
  VersionHolder holder;
  cr_assert_eq(holder.Offer(deltas[1]), OfferOutcome::NeedsFetch);
  Delta incomplete = deltas[0];
  incomplete.changed.clear();
  cr_assert_eq(holder.Offer(incomplete), OfferOutcome::Refused);
  cr_assert_eq(holder.HeldSnapshot()->Version(), 0);
  cr_assert(holder.HeldSnapshot()->Entries().empty());
  cr_assert_eq(holder.Offer(deltas[0]), OfferOutcome::Taken);
}

// The number of kept deltas must be bounded, and a chain of deltas must not be
// served with a gap.
Test(versionholder, KeepsTheLastDeltas)
{
  const auto deltas = MakeChain(200);
  VersionHolder holder(128);
  for (const Delta& delta : deltas) {
    cr_assert_eq(holder.Offer(delta), OfferOutcome::Taken);
  }
  cr_assert_not(holder.DeltasSince(71).isComplete);
  const DeltaChain chain = holder.DeltasSince(72);
  cr_assert(chain.isComplete);
  cr_assert_eq(chain.deltas.size(), 128U);
  VersionHolder other;
  cr_assert_eq(other.Offer(MakeWholeDelta(*holder.HeldSnapshot())),
               OfferOutcome::Taken);
  cr_assert_eq(other.HeldSnapshot()->ContentHash(),
               holder.HeldSnapshot()->ContentHash());
  cr_assert_not(other.DeltasSince(199).isComplete);
}

// A large body, which is sent compressed with zstd, must arrive unchanged.
Test(versionholder, BodiesAreUnchangedByWireConversion)
{
  VersionHolder holder;
  for (const Delta& delta : MakeChain(10)) {
    holder.Offer(delta);
  }
  wire::ConfigBody body = ToWire(MakeWholeDelta(*holder.HeldSnapshot()));
  cr_assert_eq(body.changed.size(), 1U);
  VersionHolder other;
  cr_assert_eq(other.Offer(FromWire(body).assume_value()), OfferOutcome::Taken);
  cr_assert_eq(other.HeldSnapshot()->ContentHash(),
               holder.HeldSnapshot()->ContentHash());
  body.changed.front().text.resize(20);
  cr_assert_not(FromWire(body).has_value());
}

// A push must reach every member, and none of them twice.
Test(versionholder, ThePushTreeReachesEachMemberOnce)
{
  for (const int count : { 1, 2, 8, 9, 10, 74, 1000 }) {
    std::vector<std::string> members;
    members.reserve(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index) {
      members.push_back(fmt::format("host{:04}", index));
    }
    const std::string root = members[static_cast<std::size_t>(count) / 2];
    std::map<std::string, int> reached{ { root, 1 } };
    for (const std::string& member : members) {
      for (const std::string& child :
           PushTreeChildren(members, root, member, 8)) {
        ++reached[child];
      }
    }
    cr_assert_eq(reached.size(), members.size());
    cr_assert(std::ranges::all_of(
      reached, [](const auto& aReached) { return aReached.second == 1; }));
  }
  cr_assert(PushTreeChildren({ "a", "b" }, "c", "a", 8).empty());
}

// If many daemons restart, one daemon must not send its whole snapshot to all
// of them at once.
Test(versionholder, OnlyTwoWholeSnapshotsAreSentAtOnce)
{
  ManualClock clock(1000);
  VersionHolder holder;
  for (const Delta& delta : MakeChain(5)) {
    holder.Offer(delta);
  }
  FetchServer server(clock.View(), 2);
  cr_assert(server.Answer(holder, kVersionQuery).bodies.empty());
  cr_assert_eq(server.Answer(holder, 0).bodies.size(), 1U);
  cr_assert_eq(server.Answer(holder, 0).bodies.size(), 1U);
  const wire::ConfigAnswer busy = server.Answer(holder, 0);
  cr_assert(busy.bodies.empty());
  cr_assert_gt(busy.retryAfterMillis, 0);
  cr_assert_eq(server.Answer(holder, 3).bodies.size(), 2U);
  clock.Advance(busy.retryAfterMillis);
  cr_assert_eq(server.Answer(holder, 0).bodies.size(), 1U);
}

// A peer that is ahead must not cause a fetch with each of its gossip
// datagrams.
Test(versionholder, OneFetchIsOutstandingAtATime)
{
  ManualClock clock(1000);
  FetchPlan plan(clock.View(), SeededRandom(1));
  plan.RecordPeerVersion("a", 5, 100);
  clock.Advance(101);
  cr_assert_eq(plan.TakeDue(4)->host, "a");
  plan.RecordPeerVersion("b", 6, 0);
  cr_assert_not(plan.TakeDue(4).has_value());
  plan.RecordAnswer("c");
  cr_assert_not(plan.TakeDue(4).has_value());
  plan.RecordAnswer("a");
  cr_assert_eq(plan.TakeDue(5)->host, "b");
  plan.RecordPeerVersion("b", 6, 0);
  cr_assert_not(plan.TakeDue(5).has_value());
  clock.Advance(1001);
  cr_assert(plan.TakeDue(5).has_value());
}
