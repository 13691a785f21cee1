#include "rollout/rolloutorderskit.h"

#include <criterion/criterion.h>

#include <functional>

using namespace lacewingwharf;
using namespace lacewingwharf::rollouttest;

// A restored store may lack the status of a running order.
Test(rolloutagain, a_status_that_the_store_lost_is_written_again)
{
  ManualClock clock(1000);
  OneOrder store;
  Watcher watcher("d1", store, clock.View());
  watcher.Read();
  watcher.orders->Tick();
  watcher.RunJobs();
  store.object.status.clear();
  store.object.revision = 4;
  watcher.Read();
  clock.Advance(1000);
  watcher.orders->Tick();
  watcher.RunJobs();
  cr_expect_eq(store.Status().state, wire::RolloutState::RUNNING);
  cr_expect(watcher.orders->IsDeciding());
}

// A daemon that only watched knows how the order ended, and must write that
// again instead of beginning the order anew.
Test(rolloutagain, an_end_that_the_store_lost_is_written_again)
{
  ManualClock clock(1000);
  OneOrder store;
  const StoredObject unclaimed = store.object;
  store.object.status = kRolledBack;
  store.object.revision = 12;
  Watcher watcher("d1", store, clock.View());
  watcher.Read();
  store.Restore(unclaimed);
  watcher.Read();
  for (int round = 0; round < 3; ++round) {
    clock.Advance(1000);
    watcher.orders->Tick();
    watcher.RunJobs();
  }
  cr_expect_eq(store.Status().state, wire::RolloutState::ROLLED_BACK);
  cr_expect_eq(store.Status().order, 5000);
  cr_expect_eq(store.writes, 1);
  cr_expect_not(watcher.orders->IsDeciding());
}

// A daemon that begins to watch after the restore knows the order from the
// shares. A new number would give the version a second budget.
Test(rolloutagain, an_order_that_the_store_lost_keeps_its_number)
{
  ManualClock clock(1000);
  OneOrder store;
  store.era = 2;
  Watcher watcher("d1", store, clock.View());
  watcher.isOtherAlive = false;
  wire::RolloutShare share;
  share.decider = "d2";
  share.deciderIncarnation = 3;
  share.serviceName = "orders";
  share.order = 900;
  share.state = wire::RolloutState::RUNNING;
  share.targetVersion = "v2";
  share.baseVersion = "v1";
  share.sequence = (std::int64_t{ 4 } << 40) + 17;
  share.storeEra = 1;
  watcher.orders->HandleShare(share);
  watcher.Read();
  for (int round = 0; round < 3; ++round) {
    clock.Advance(500);
    watcher.orders->Tick();
    watcher.RunJobs();
  }
  cr_expect_eq(store.Status().order, 900);
  cr_expect_eq(store.Status().term, 5, "its shares must replace the others");
  cr_expect(watcher.orders->IsDeciding());
}

// An operator who orders the version again after a rollback, by whatever means
// the store offers, wants it to be tried.
Test(rolloutagain, a_version_that_is_ordered_again_is_tried_again)
{
  const auto isTried = [](const std::function<void(StoredObject&)>& aOrder) {
    const ManualClock clock(1000);
    OneOrder store;
    store.object.status = kRolledBack;
    Watcher watcher("d1", store, clock.View());
    watcher.Read();
    watcher.orders->Tick();
    watcher.RunJobs();
    cr_expect_not(watcher.orders->IsDeciding());
    ++store.object.revision;
    aOrder(store.object);
    watcher.Read();
    watcher.orders->Tick();
    watcher.RunJobs();
    return watcher.orders->IsDeciding() && store.Status().order > 5000;
  };
  cr_expect(isTried([](StoredObject&) {}), "the same order");
  cr_expect(isTried([](StoredObject& aObject) {
              aObject.value = R"({"target_version":"v2","duration":"20s"})";
            }),
            "another duration");
  cr_expect(isTried([](StoredObject& aObject) { aObject.status.clear(); }),
            "deleted and created");
}

// The same, if the store has just lost the order: the operator writes again
// what was lost, and the version must not be tried again.
Test(rolloutagain, an_order_that_is_written_again_after_a_restore_has_ended)
{
  ManualClock clock(1000);
  OneOrder store;
  store.object.status = kRolledBack;
  Watcher watcher("d1", store, clock.View());
  watcher.Read();
  ++store.era;
  watcher.orders->HandleObjects({ 5, {} }, true, store.era);
  store.object.status.clear();
  store.object.revision = 14;
  watcher.Read();
  for (int round = 0; round < 5; ++round) {
    clock.Advance(1000);
    watcher.orders->Tick();
    watcher.RunJobs();
    watcher.Read();
  }
  cr_expect_eq(store.Status().order, 5000);
  cr_expect_eq(store.writes, 1);
  // The next one, in the same era, is a new order.
  store.object.status.clear();
  ++store.object.revision;
  watcher.Read();
  watcher.orders->Tick();
  watcher.RunJobs();
  cr_expect(watcher.orders->IsDeciding());
}

// A delete that waits for a finalizer changes the object's revision. That must
// not be taken for a new order of a version that was rolled back.
Test(rolloutagain, an_order_that_is_being_deleted_is_not_tried)
{
  const ManualClock clock(1000);
  OneOrder store;
  store.object.status = kRolledBack;
  Watcher watcher("d1", store, clock.View());
  watcher.Read();
  ++store.object.revision;
  store.object.isDeletionRequested = true;
  watcher.Read();
  watcher.orders->Tick();
  cr_expect(watcher.jobs.empty());
}

// Revisions are issued again after a restore, so two daemons may write the same
// end one after the other. The second write must not be taken for an order.
Test(rolloutagain, an_end_that_is_written_twice_is_not_an_order)
{
  const ManualClock clock(1000);
  OneOrder store;
  store.object.status = kRolledBack;
  Watcher watcher("d1", store, clock.View());
  watcher.Read();
  store.object.status =
    R"({"state":"rolled_back","target_version":"v2","base_version":"v1",)"
    R"("order":5000,"sequence":1,"duration_ms":12000,"decider":"d2"})";
  ++store.object.revision;
  watcher.Read();
  watcher.orders->Tick();
  cr_expect(watcher.jobs.empty());
}

// The duration of an order counts from when it was seen, also if the store
// refuses the claim for a time.
Test(rolloutagain, a_late_claim_does_not_extend_the_order)
{
  ManualClock clock(1000);
  OneOrder store;
  Watcher watcher("d1", store, clock.View());
  watcher.Read();
  watcher.hasStore = false;
  watcher.orders->Tick();
  clock.Advance(4000);
  watcher.hasStore = true;
  watcher.Read();
  watcher.orders->Tick();
  watcher.RunJobs();
  cr_expect_eq(store.Status().startedAt, 1000);
  cr_expect(watcher.orders->IsDeciding());
}
