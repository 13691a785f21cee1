#include "distribution/acceptorrole.h"

#include "common/log.h"
#include "distribution/acceptedchain.h"
#include "distribution/testcatalogue.h"
#include "distribution/versionholder.h"

#include <criterion/criterion.h>

#include <deque>

using namespace lacewingwharf;

namespace {

/**
 * One acceptor on a shared store. Its platform jobs wait until the test runs
 * them.
 */
struct Daemon
{
  Daemon(std::string aHost,
         FakeStore& aStore,
         const ManualClock& aClock,
         std::uint64_t aSeed)
    : store(aStore)
    , role(std::move(aHost),
           aClock.View(),
           SeededRandom(aSeed),
           { [this](PlatformJob aJob) {
              this->jobs.push_back(std::move(aJob));
              return true;
            },
             [this] { return this->holder.HeldSnapshot(); },
             [this](const Delta& aDelta) { this->holder.Offer(aDelta); } })
  {
    Log::SetLevel(LogLevel::Error);
    this->role.SetActive(true);
  }

  void RunJob()
  {
    PlatformJob job = std::move(this->jobs.front());
    this->jobs.pop_front();
    job(this->store.Hooks())();
  }

  /** Runs all work that is due at the present time. */
  void Settle()
  {
    for (int step = 0; step < 1000; ++step) {
      this->role.Tick();
      if (this->jobs.empty()) {
        return;
      }
      this->RunJob();
    }
    cr_assert_fail("work is still due after 1000 steps");
  }

  void Round()
  {
    this->role.RequestRound();
    this->Settle();
  }

  std::int64_t Version() const
  {
    return this->holder.HeldSnapshot()->Version();
  }

  FakeStore& store;
  std::deque<PlatformJob> jobs;
  VersionHolder holder;
  AcceptorRole role;
};

/** Two acceptors on the same store. */
struct Pair
{
  ManualClock clock{ 1000 };
  FakeStore store;
  Daemon a{ "a", store, clock, 1 };
  Daemon b{ "b", store, clock, 2 };

  void EditService(const std::string& aName, const std::string& aOwner)
  {
    this->store.Edit("catalogue/" + aName, ServiceText(aOwner));
  }

  /** Makes aDaemon publish aCount versions with one edit each. */
  void Publish(Daemon& aDaemon, int aCount)
  {
    for (int index = 0; index < aCount; ++index) {
      this->EditService("s", fmt::format("o{}", this->store.Revision()));
      aDaemon.Round();
      this->clock.Advance(2000);
      aDaemon.Settle();
    }
  }

  void AssertSame()
  {
    cr_assert_eq(this->a.Version(), this->b.Version());
    cr_assert_eq(this->a.holder.HeldSnapshot()->ContentHash(),
                 this->b.holder.HeldSnapshot()->ContentHash());
  }
};

} // namespace

// Two acceptors must not both write version N+1. In the test the second one
// writes between the decision and the write of the first.
Test(acceptorrole, TwoAcceptorsCannotBothWriteAVersion)
{
  Pair pair;
  pair.EditService("s", "o1");
  pair.store.beforePut = [&pair] {
    pair.EditService("t", "o2");
    pair.b.Round();
  };
  pair.a.Round();
  cr_assert_eq(pair.store.puts[AcceptedObjectName(1)], 1);
  cr_assert_eq(pair.a.Version(), 1);
  pair.AssertSame();
  cr_assert_eq(pair.a.holder.HeldSnapshot()->Entries().size(), 2U);
}

// An acceptor that resumes with an outdated state must not revert edits. The
// test pauses it before its job runs, and before the write inside its job.
Test(acceptorrole, APausedAcceptorAdoptsNewerVersions)
{
  Pair pair;
  pair.Publish(pair.a, 3);
  pair.EditService("s", "late");
  pair.store.beforePut = [&pair] { pair.Publish(pair.b, 5); };
  pair.a.Round();
  cr_assert_eq(pair.a.Version(), 8);
  pair.AssertSame();
  pair.EditService("s", "newest");
  pair.a.role.RequestRound();
  pair.a.role.Tick();
  pair.EditService("s", "newer-still");
  pair.b.Round();
  pair.a.RunJob();
  pair.a.Settle();
  pair.AssertSame();
  cr_assert_eq(pair.a.holder.HeldSnapshot()->Find("s")->text,
               ServiceText("newer-still"));
}

// An acceptor that pauses for more than 64 versions must not reuse a version
// number whose object was compacted away during the pause.
Test(acceptorrole, ANumberThatWasCompactedAwayIsNotUsedAgain)
{
  Pair pair;
  pair.Publish(pair.a, 3);
  pair.EditService("s", "late");
  pair.store.beforePut = [&pair] {
    pair.Publish(pair.b, 200);
    cr_assert_not(pair.store.All().contains(AcceptedObjectName(4)));
  };
  pair.a.Round();
  cr_assert_not(pair.store.All().contains(AcceptedObjectName(4)));
  cr_assert_eq(pair.a.Version(), pair.b.Version());
  pair.AssertSame();
}

// If the store is so far ahead that the held version was compacted away, the
// acceptor must not treat the store as restored.
Test(acceptorrole, AnAcceptorFarBehindDoesNotStartAnEpoch)
{
  Pair pair;
  pair.Publish(pair.a, 3);
  pair.Publish(pair.b, 200);
  pair.a.Round();
  cr_assert_eq(pair.a.holder.HeldSnapshot()->Stamp().storeEpoch, 0);
  pair.AssertSame();
}

// A write whose answer was lost must not be repeated as another version.
Test(acceptorrole, AWriteWithALostAnswerIsRecognisedByItsNonce)
{
  Pair pair;
  pair.EditService("s", "o1");
  pair.store.Edit("catalogue/bad", "{");
  pair.store.answersToLose = 1;
  pair.a.role.Tick();
  pair.a.RunJob();
  cr_assert_eq(pair.a.Version(), 1);
  cr_assert_eq(pair.a.role.Rejections().size(),
               1U,
               "the write was attributed to another acceptor");
  cr_assert_eq(pair.store.puts[AcceptedObjectName(1)], 1);
  cr_assert_eq(pair.store.All().count(AcceptedObjectName(2)), 0U);
}

// Edits must not be lost while the store is down.
Test(acceptorrole, AnOutageOnlyDelaysEdits)
{
  Pair pair;
  pair.EditService("s", "o1");
  pair.store.isDown = true;
  for (int step = 0; step < 20; ++step) {
    pair.a.Settle();
    pair.clock.Advance(500);
  }
  cr_assert_eq(pair.a.Version(), 0);
  pair.store.isDown = false;
  pair.clock.Advance(3000); // Longer than the maximum backoff with its jitter.
  pair.a.Settle();
  cr_assert_eq(pair.a.Version(), 1);
}

// Requirements R1 and R9 must hold when the store is restored to an older
// state: the new epoch keeps the newest accepted value, and later edits are
// accepted.
Test(acceptorrole, ARestoredStoreGetsANewEpoch)
{
  Pair pair;
  pair.Publish(pair.a, 3);
  const auto backup = pair.store.All();
  const std::int64_t revision = pair.store.Revision();
  pair.Publish(pair.a, 4);
  const std::string newest = pair.a.holder.HeldSnapshot()->Find("s")->text;
  pair.store.Restore(backup, revision);
  pair.a.Round();
  cr_assert_eq(pair.a.Version(),
               7,
               "the epoch started before gossip could report newer versions");
  pair.EditService("t", "after-restore");
  pair.clock.Advance(4000);
  pair.a.Settle();
  pair.a.Round();
  cr_assert_gt(pair.a.Version(), 7);
  cr_assert_eq(pair.a.holder.HeldSnapshot()->Stamp().storeEpoch, 1);
  cr_assert_eq(pair.a.holder.HeldSnapshot()->Find("s")->text, newest);
  cr_assert_not_null(pair.a.holder.HeldSnapshot()->Find("t"));
  pair.clock.Advance(2000);
  pair.a.Settle();
  cr_assert(pair.store.All().contains("status/.store/acceptance"));
  pair.b.Round();
  pair.AssertSame();
  pair.Publish(pair.b, 2);
  pair.a.Round();
  pair.AssertSame();
  cr_assert_eq(pair.a.holder.HeldSnapshot()->Stamp().storeEpoch, 1);
}

// Accepted versions must not accumulate in the store, and after a compaction a
// new reader must still reach the newest version.
Test(acceptorrole, SnapshotsReplaceOldVersions)
{
  Pair pair;
  pair.Publish(pair.a, 200);
  const auto& objects = pair.store.All();
  cr_assert(objects.contains(SnapshotObjectName(128)));
  cr_assert(objects.contains(SnapshotObjectName(192)));
  cr_assert_not(objects.contains(SnapshotObjectName(64)));
  cr_assert_not(objects.contains(AcceptedObjectName(127)));
  cr_assert(objects.contains(AcceptedObjectName(128)));
  for (const std::int64_t held : { 0, 5, 127, 150, 199 }) {
    const auto read = ReadChain(pair.store.Hooks(), held);
    cr_assert_eq(read.assume_value().deltas.back().stamp.version, 200);
    cr_assert(held >= 127 || read.assume_value().deltas.front().isWhole);
  }
  pair.b.Round();
  pair.AssertSame();
}

// Rejections must be reported to operators, and a status that has not changed
// must not be written again.
Test(acceptorrole, RejectionsAreWrittenOnceAndCleared)
{
  Pair pair;
  const std::string name = "status/bad/acceptance";
  pair.store.Edit("catalogue/bad", "{");
  pair.a.Round();
  pair.clock.Advance(5000);
  pair.a.Settle();
  cr_assert(pair.store.All().contains(name));
  cr_assert_neq(pair.store.All().at(name).value.find("not valid JSON"),
                std::string::npos);
  for (int round = 0; round < 5; ++round) {
    pair.a.Round();
    pair.clock.Advance(5000);
    pair.a.Settle();
  }
  cr_assert_eq(pair.store.puts[name], 1);
  pair.store.Edit("catalogue/worse", "[");
  pair.a.Round();
  pair.clock.Advance(5000);
  pair.a.Settle();
  cr_assert_eq(pair.store.puts["status/worse/acceptance"], 1);
  cr_assert_eq(pair.store.puts[name], 1);
  pair.EditService("bad", "o");
  pair.b.Round();
  pair.clock.Advance(5000);
  pair.b.Settle();
  cr_assert_not(pair.store.All().contains(name));
}
