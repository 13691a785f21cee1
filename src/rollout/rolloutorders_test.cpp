#include "rollout/rolloutorderskit.h"

#include <criterion/criterion.h>

using namespace lacewingwharf;
using namespace lacewingwharf::rollouttest;

// Two deciders would hand out the budget twice.
Test(rolloutorders, one_of_two_watchers_decides)
{
  const ManualClock clock(1000);
  OneOrder store;
  Watcher first("d1", store, clock.View());
  Watcher second("d2", store, clock.View());
  first.Read();
  second.Read();
  first.orders->Tick();
  second.orders->Tick();
  second.RunJobs();
  first.RunJobs();
  cr_expect(second.orders->IsDeciding());
  cr_expect_not(first.orders->IsDeciding());
  cr_expect_eq(store.Status().decider, "d2");
  cr_expect_eq(store.Status().base, "v1");
  first.orders->Tick();
  cr_expect(first.jobs.empty(), "a running order must not be written again");
}

// A write whose response was lost may have taken effect. If its daemon did not
// notice, nobody would decide.
Test(rolloutorders, a_lost_response_is_read_back)
{
  const ManualClock clock(1000);
  OneOrder store;
  store.losesResponse = true;
  Watcher watcher("d1", store, clock.View());
  watcher.Read();
  watcher.orders->Tick();
  watcher.RunJobs();
  ManualClock later = clock;
  later.Advance(1000);
  watcher.orders->Tick();
  cr_expect(watcher.orders->IsDeciding());
  cr_expect_eq(store.writes, 1);
}

// An order whose decider is lost must be decided by another daemon, with a
// higher term, so that the shares of the lost one are dropped.
Test(rolloutorders, a_lost_decider_is_replaced)
{
  ManualClock clock(1000);
  OneOrder store;
  Watcher first("d1", store, clock.View());
  Watcher second("d2", store, clock.View());
  first.Read();
  first.orders->Tick();
  first.RunJobs();
  second.Read();
  second.orders->Tick();
  cr_expect(second.jobs.empty());
  second.isOtherAlive = false;
  second.orders->Tick();
  clock.Advance(1000);
  second.orders->Tick();
  second.RunJobs();
  cr_expect(second.orders->IsDeciding());
  cr_expect_eq(store.Status().term, 2);
  first.Read();
  cr_expect_not(first.orders->IsDeciding());
}

// Without the store, a daemon cannot know that it still decides.
Test(rolloutorders, nothing_is_claimed_without_the_store)
{
  const ManualClock clock(1000);
  OneOrder store;
  Watcher watcher("d1", store, clock.View());
  watcher.Read();
  watcher.hasStore = false;
  watcher.orders->Tick();
  cr_expect(watcher.jobs.empty());
}

// An order for the version that is in use must not wait for traffic.
Test(rolloutorders, an_order_without_a_change_succeeds_at_once)
{
  const ManualClock clock(1000);
  OneOrder store;
  Watcher watcher("d1", store, clock.View());
  watcher.base = "v2";
  watcher.Read();
  watcher.orders->Tick();
  watcher.RunJobs();
  cr_expect_eq(store.Status().state, wire::RolloutState::SUCCEEDED);
  cr_expect_not(watcher.orders->IsDeciding());
}

// The status of an earlier order must not end a new one, and the number of the
// new one must be higher, or daemons would ignore it.
Test(rolloutorders, a_new_target_is_a_new_order)
{
  const ManualClock clock(1000);
  OneOrder store;
  store.object.status =
    R"({"state":"rolled_back","target_version":"v9","order":5000})";
  Watcher watcher("d1", store, clock.View());
  watcher.Read();
  watcher.orders->Tick();
  watcher.RunJobs();
  cr_expect(watcher.orders->IsDeciding());
  cr_expect_eq(store.Status().order, 5001);
}

// Daemons that start beside two versions choose by themselves, and not all in
// the same way. They must be told by those that have been running for longer.
Test(rolloutorders, daemons_that_start_are_told_the_version_in_use)
{
  ManualClock clock(1000);
  OneOrder store;
  Watcher watcher("d1", store, clock.View());
  watcher.neighbours = { { "d0", 6, true },
                         { "d1", 7, true },
                         { "d2", 9, true } };
  watcher.disputed = { { "orders", "v1" } };
  watcher.orders->Tick();
  cr_assert_eq(watcher.shares.size(), 1U, "only d2 has started later");
  const wire::RolloutShare share = watcher.shares.back();
  cr_expect_eq(share.state, wire::RolloutState::NONE);
  cr_expect_eq(share.baseVersion, "v1");
  wire::RolloutReport acknowledgement;
  acknowledgement.host = "d2";
  acknowledgement.incarnation = 9;
  acknowledgement.serviceName = "orders";
  acknowledgement.state = wire::RolloutState::NONE;
  watcher.orders->HandleReport(acknowledgement);
  clock.Advance(5000);
  watcher.orders->Tick();
  cr_expect_eq(watcher.shares.size(), 1U);
  watcher.disputed = { { "orders", "v2" } };
  clock.Advance(5000);
  watcher.orders->Tick();
  cr_expect_eq(watcher.shares.size(), 2U, "another version is told again");
}

// A changed duration must not begin the order anew: daemons would drop shares
// with the sequence numbers that they know.
Test(rolloutorders, a_changed_duration_keeps_the_decider)
{
  ManualClock clock(1000);
  OneOrder store;
  Watcher watcher("d1", store, clock.View());
  watcher.members.push_back({ "d2", 3, true });
  watcher.Read();
  for (int round = 0; round < 5; ++round) {
    clock.Advance(600);
    watcher.orders->Tick();
    watcher.RunJobs();
  }
  cr_assert_gt(watcher.shares.size(), 2U);
  const wire::RolloutShare before = watcher.shares.back();
  store.object.value = R"({"target_version":"v2","duration":"5s"})";
  ++store.object.revision;
  watcher.Read();
  watcher.orders->Tick();
  clock.Advance(700);
  watcher.orders->Tick();
  watcher.RunJobs();
  cr_expect_eq(watcher.shares.back().order, before.order);
  cr_expect_gt(watcher.shares.back().sequence, before.sequence);
  // Without requests, the order succeeds; by the first duration, it would take
  // more than 7 s.
  cr_expect_eq(store.Status().state, wire::RolloutState::SUCCEEDED);
  cr_expect_eq(store.Status().duration, 5000);
  cr_expect_eq(store.writes, 2);
}

// Objects that are no orders must not stop the others from being handled.
Test(rolloutorders, objects_that_cannot_be_read_are_ignored)
{
  const ManualClock clock(1000);
  OneOrder store;
  Watcher watcher("d1", store, clock.View());
  StoredObject broken = store.object;
  broken.name = "rollouts/web";
  broken.value = R"({"target_version":7})";
  watcher.orders->HandleObjects({ 10, { broken, store.object } }, true, 0);
  watcher.orders->Tick();
  watcher.RunJobs();
  cr_expect_eq(store.Status().state, wire::RolloutState::RUNNING);
}

// An object that names another service must not change the order of that
// service, and its status must not be written again and again to an object that
// does not exist.
Test(rolloutorders, an_object_of_another_name_is_ignored)
{
  StoredObject object;
  object.name = "rollouts/web";
  object.value =
    R"({"service":"orders","target_version":"v2","duration":"10s"})";
  cr_expect_not(ParseRollout(object).has_value());
  object.name = "rollouts/orders";
  cr_expect(ParseRollout(object).has_value());
}
