// Tests what a daemon does with its own entry when the store was restored from
// a copy.

#include "common/random.h"
#include "distribution/fakestore.h"
#include "membership/leavingreports.h"
#include "membership/localserver.h"
#include "membership/memberdirectory.h"
#include "store/storeera.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <string>
#include <vector>

using namespace lacewingwharf;

namespace {

constexpr Millis kTick = 50;
constexpr Millis kMaxDelay = 500;

/** A daemon with its server and directory, connected as ControlService does. */
struct Daemon
{
  /** Starts the daemon and its server, unless aMustQueue queues its first read.
   */
  explicit Daemon(FakeStore& aStore,
                  const std::string& aHost = "a",
                  bool aMustQueue = false)
    : store(GuardEra(aStore.Hooks(), this->era))
    , server("orders", { "10.0.0.1", 9000 })
    , directory(SelfOf(aHost), this->clock.View(), this->Hooks())
    , reports(this->clock.View(), [this](const LeavingServer& aLeaving) {
      return this->directory.StoreLeaving(aLeaving);
    })
  {
    this->mustQueueCompletions = aMustQueue;
    if (aMustQueue) {
      this->Run(kTick);
      return;
    }
    this->Report(ServerReportKind::Heartbeat);
    this->Run(1000);
  }

  static DirectoryEntry SelfOf(const std::string& aHost)
  {
    DirectoryEntry self;
    self.host = aHost;
    self.address = { "10.0.0.1", 1 };
    self.incarnation = 40;
    return self;
  }

  MemberDirectoryHooks Hooks()
  {
    MemberDirectoryHooks hooks;
    hooks.submit = [this](const PlatformJob& aJob) {
      if (this->mustQueueCompletions) {
        this->completions.push_back(aJob(this->store));
      } else {
        aJob(this->store)();
      }
      return true;
    };
    hooks.onLeavingStored = [this](const LeavingServer& aLeaving) {
      this->reports.HandleStored(aLeaving);
    };
    return hooks;
  }

  void Report(ServerReportKind aKind)
  {
    ServerReport report;
    report.kind = aKind;
    report.id = "i-1";
    report.startedAt = 77;
    report.service = "orders";
    report.address = { "10.0.0.1", 9000 };
    report.sequence = ++this->sequence;
    report.slots = 4;
    this->HandleRise();
    this->server.HandleReport(report);
    this->directory.StoreServer(*this->server.CurrentProcess());
    if (aKind == ServerReportKind::Leaving) {
      this->reports.Handle(
        *this->server.Leaving(),
        [this](ReportDecision aAnswer) { this->answers.push_back(aAnswer); });
    }
  }

  void HandleRise(Millis aDelay = kMaxDelay)
  {
    if (const auto rise = this->era->TakeRise()) {
      this->directory.HandleRestore(rise->era, aDelay);
    }
  }

  void Run(Millis aMillis)
  {
    for (Millis at = 0; at < aMillis; at += kTick) {
      this->clock.Advance(kTick);
      this->HandleRise();
      this->directory.Tick(false);
      this->reports.Tick();
    }
  }

  void Complete()
  {
    this->mustQueueCompletions = false;
    for (const Completion& completion : std::exchange(this->completions, {})) {
      completion();
    }
  }

  bool IsDraining() const
  {
    return this->server.CurrentAnnouncement()->state ==
           wire::EndpointState::DRAINING;
  }

  ManualClock clock{ 1000 };
  std::shared_ptr<StoreEra> era = std::make_shared<StoreEra>();
  ObjectStore store;
  std::vector<ReportDecision> answers;
  bool mustQueueCompletions = false;
  std::deque<Completion> completions;
  std::int64_t sequence = 0;
  LocalServer server;
  MemberDirectory directory;
  LeavingReports reports;
};

/** A store in the era 4 that can be restored to the state of the last Save().
 */
struct RestorableStore : FakeStore
{
  RestorableStore() { this->era = 4; }

  void Save()
  {
    this->saved = this->All();
    this->savedRevision = this->Revision();
  }

  void RestoreSaved() { this->Restore(this->saved, this->savedRevision); }

  bool HasLeaving() const
  {
    const auto found = this->All().find("members/a");
    return found != this->All().end() &&
           found->second.value.find(R"("leaving":{"id":"i-1")") !=
             std::string::npos;
  }

  Objects saved;
  std::int64_t savedRevision = 0;
};

const std::vector<ReportDecision> kTaken{ ReportDecision::Taken };

} // namespace

// A daemon that reads or writes after a restore although its entry is there
// causes a charged write per host, and one that does not look loses its entry.
Test(storerestore, only_entries_that_were_lost_are_written_again)
{
  RestorableStore store;
  Daemon daemon(store);
  store.Save();
  const int puts = store.puts["members/a"];
  store.RestoreSaved();
  daemon.era->Record(5); // From another daemon.
  daemon.Run(kMaxDelay + kTick);
  cr_expect_eq(store.gets, 1);
  cr_expect_eq(store.puts["members/a"], puts);
  store.Restore({}, 0);
  daemon.era->Record(6);
  daemon.Run(kMaxDelay + kTick);
  cr_expect(store.All().contains("members/a"));
  daemon.Run(10000);
  cr_expect_eq(store.gets, 2);
  cr_expect_eq(store.puts["members/a"], puts + 1);
}

// The acknowledgement of a leaving is a promise that a restart of the daemon
// does not undo. A restore must neither end the draining nor remove the leaving
// from the store for longer than the delay.
Test(storerestore, an_acknowledged_leaving_is_written_again)
{
  RestorableStore store;
  Daemon daemon(store);
  store.Save();
  daemon.Report(ServerReportKind::Leaving);
  cr_assert(daemon.answers == kTaken);
  cr_assert(store.HasLeaving());
  store.RestoreSaved();
  cr_assert_not(store.HasLeaving());
  daemon.era->Record(5);
  for (Millis at = 0; at <= kMaxDelay; at += kTick) {
    cr_expect(daemon.IsDraining());
    daemon.Run(kTick);
  }
  cr_expect(store.HasLeaving());
  cr_expect(daemon.IsDraining());
}

// A server that repeats its report after a restore must not be told that the
// store has it, when the store has lost it and is not available.
Test(storerestore, a_lost_leaving_is_not_acknowledged_as_stored)
{
  RestorableStore store;
  Daemon daemon(store);
  store.Save();
  daemon.Report(ServerReportKind::Leaving);
  store.RestoreSaved();
  daemon.era->Record(5);
  store.isDown = true;
  daemon.Report(ServerReportKind::Leaving);
  cr_expect(daemon.answers == kTaken);
  daemon.Run(1000);
  cr_assert_eq(daemon.answers.size(), 2U);
  cr_expect_eq(daemon.answers[1], ReportDecision::NotStored);
  store.isDown = false;
  daemon.Run(300);
  cr_expect(store.HasLeaving());
  daemon.Report(ServerReportKind::Leaving);
  cr_assert_eq(daemon.answers.size(), 3U);
  cr_expect_eq(daemon.answers[2], ReportDecision::Taken);
}

// A report after a restore must not wait for the random delay: the server takes
// it for lost after a second.
Test(storerestore, a_report_after_a_restore_is_stored_at_once)
{
  RestorableStore store;
  Daemon daemon(store);
  store.Save();
  store.RestoreSaved();
  daemon.era->Record(5);
  daemon.Report(ServerReportKind::Leaving);
  cr_expect(daemon.answers == kTaken);
  cr_expect(store.HasLeaving());
}

// The second of two restores may lose what was written after the first.
Test(storerestore, two_restores_in_a_row_are_both_repaired)
{
  RestorableStore store;
  Daemon daemon(store);
  store.Save();
  daemon.Report(ServerReportKind::Leaving);
  store.RestoreSaved();
  daemon.era->Record(5);
  daemon.Run(kMaxDelay + kTick);
  cr_assert(store.HasLeaving());
  store.RestoreSaved();
  daemon.era->Record(6);
  daemon.Run(kTick);
  store.RestoreSaved();
  daemon.era->Record(7);
  daemon.Run(kMaxDelay + kTick);
  cr_expect(store.HasLeaving());
}

// A response that was sent before a restore, and is handled after it, says that
// the store has what it has lost.
Test(storerestore, a_response_of_the_old_era_proves_nothing)
{
  RestorableStore store;
  Daemon daemon(store);
  store.Save();
  daemon.mustQueueCompletions = true;
  daemon.Report(ServerReportKind::Leaving); // Written in the era 4.
  cr_assert(store.HasLeaving());
  store.RestoreSaved();
  daemon.era->Record(5);
  daemon.HandleRise();
  daemon.Complete();
  cr_expect(daemon.answers.empty());
  daemon.Run(kMaxDelay + kTick);
  cr_expect(store.HasLeaving());
  cr_expect(daemon.answers == kTaken);
}

// The same holds for the first read of a daemon that starts.
Test(storerestore, a_first_read_of_the_old_era_proves_nothing)
{
  RestorableStore store;
  Daemon before(store);
  store.Save();
  before.Report(ServerReportKind::Leaving);
  Daemon after(store, "a", true);
  store.RestoreSaved();
  after.era->Record(5);
  after.HandleRise();
  after.Complete();
  after.mustQueueCompletions = true;
  cr_expect_not(after.directory.StoreLeaving({ "i-1", 77 }));
  after.Complete();
  cr_expect(store.HasLeaving());
  cr_expect(after.directory.StoreLeaving({ "i-1", 77 }));
}

// A write whose response was lost may have taken effect before the copy was
// made, after it, or not at all. The entry must be right in each case.
Test(storerestore, a_write_with_a_lost_response_is_compared)
{
  for (const bool isInCopy : { false, true }) {
    RestorableStore store;
    Daemon daemon(store);
    store.Save();
    store.mustLoseNextAnswer = true;
    daemon.Report(ServerReportKind::Leaving);
    cr_assert(daemon.answers.empty());
    if (isInCopy) {
      store.Save();
    }
    store.RestoreSaved();
    const int puts = store.puts["members/a"];
    daemon.era->Record(5);
    daemon.Run(kMaxDelay + kTick);
    cr_expect(store.HasLeaving());
    cr_expect_eq(store.puts["members/a"], puts + (isInCopy ? 0 : 1));
    cr_expect(daemon.answers == kTaken);
  }
}

// A daemon that was cut off learns of a restore by the response to its own
// write: a conflict, because the revision went back. The object must then be
// read, and must not be assumed to be as written.
Test(storerestore, a_conflict_of_the_new_era_leads_to_a_comparison)
{
  RestorableStore store;
  Daemon daemon(store);
  store.Save();
  daemon.directory.StoreServer({ "i-1", 77, "orders", 9000, 6 });
  daemon.Run(1000);
  store.RestoreSaved();
  daemon.Report(ServerReportKind::Leaving);
  cr_expect(store.HasLeaving());
  cr_expect(daemon.era->Highest() == 5);
  const int puts = store.puts["members/a"];
  daemon.Run(2000);
  cr_expect(store.HasLeaving());
  cr_expect_eq(store.puts["members/a"], puts);
}

// The entry of a host that is no longer in use must not come back with a
// restore while its daemon still runs.
Test(storerestore, a_removed_entry_is_removed_again)
{
  RestorableStore store;
  Daemon daemon(store);
  store.Save();
  daemon.directory.Remove();
  store.RestoreSaved();
  cr_assert(store.All().contains("members/a"));
  daemon.era->Record(5);
  daemon.Run(2000);
  cr_expect(store.All().empty());
}

// Nothing may change for a store without eras, also when its revisions go back.
Test(storerestore, without_an_era_nothing_is_read_again)
{
  RestorableStore store;
  store.era.reset();
  Daemon daemon(store);
  store.Save();
  daemon.Report(ServerReportKind::Leaving);
  store.RestoreSaved();
  daemon.Run(10000);
  cr_expect_eq(store.gets, 0);
  cr_expect(daemon.answers == kTaken);
}

// In the largest fleets 300 daemons look at the same time. All entries must be
// back within the spread, with one read and at most one write each, and no
// tenth of a second may have more than twice its even part of the calls.
Test(storerestore, a_large_fleet_is_back_without_a_storm)
{
  constexpr int kHosts = 300;
  constexpr Millis kSlice = 100;
  constexpr Millis kMaxPerSlice = kSlice * 2 * kHosts / kMaxDelay;
  const Random random = SeededRandom(7);
  RestorableStore store;
  std::vector<std::unique_ptr<Daemon>> daemons;
  for (int host = 0; host < kHosts; ++host) {
    daemons.push_back(
      std::make_unique<Daemon>(store, fmt::format("host-{}", host)));
    if (host == kHosts / 2) {
      store.Save();
    }
  }
  store.gets = 0;
  store.puts.clear();
  store.RestoreSaved();
  std::ranges::for_each(daemons, [&](const auto& aDaemon) {
    aDaemon->era->Record(5);
    aDaemon->HandleRise(static_cast<Millis>(RandomBelow(random, kMaxDelay)));
  });
  int callsBefore = 0;
  for (Millis at = 0; at < kMaxDelay + kTick; at += kSlice) {
    std::ranges::for_each(daemons,
                          [](const auto& aDaemon) { aDaemon->Run(kSlice); });
    cr_expect_leq(store.gets - callsBefore, kMaxPerSlice);
    callsBefore = store.gets;
  }
  cr_expect_eq(store.All().size(), static_cast<std::size_t>(kHosts));
  cr_expect_eq(store.gets, kHosts);
  cr_expect_eq(store.puts.size(),
               static_cast<std::size_t>(kHosts - kHosts / 2 - 1));
}
