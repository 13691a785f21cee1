#include "store/platformworker.h"

#include "testkit/process.h"

#include <criterion/criterion.h>

using namespace lacewingwharf;

namespace {

/**
 * A store whose get() succeeds or fails as the test sets it, and counts its
 * calls.
 */
struct FakeStore
{
  std::atomic<int> calls = 0;
  std::atomic<bool> isReachable = true;

  ObjectStore AsObjectStore()
  {
    ObjectStore functions;
    functions.get =
      [this](const std::string& aName) -> PlatformResult<StoredObject> {
      ++this->calls;
      if (this->isReachable) {
        return StoredObject{ aName, 1, "value", false };
      }
      return failure(PlatformError{ PlatformErrorCode::Unreachable, "fake" });
    };
    return functions;
  }
};

} // namespace

// When the platform recovers, daemons must not send calls at an unlimited rate
// or all at the same time.
Test(platformworker, BudgetBoundsCallsAndBacksOff)
{
  ManualClock clock;
  CallBudgetConfig config;
  config.callsPerSecond = 10;
  config.burst = 2;
  config.backoff = { 100, 1000 };
  CallBudget budget(config, clock.View(), SeededRandom(7));
  cr_assert_eq(budget.TakeTokenOrGetDelay(), 0);
  cr_assert_eq(budget.TakeTokenOrGetDelay(), 0);
  cr_assert_eq(budget.TakeTokenOrGetDelay(), 100);
  clock.Advance(60000);
  cr_assert_eq(budget.TakeTokenOrGetDelay(), 0);
  cr_assert_eq(budget.TakeTokenOrGetDelay(), 0);
  cr_assert_gt(budget.TakeTokenOrGetDelay(), 0);

  int refusals = 0;
  for (int i = 0; i < 50; ++i) {
    budget.RecordResult(PlatformErrorCode::TimedOut);
    refusals += budget.BackoffError() ? 1 : 0;
    cr_assert(budget.BackoffError()->code == PlatformErrorCode::Unreachable);
    clock.Advance(1001);
    cr_assert_not(budget.BackoffError().has_value());
  }
  cr_assert_eq(refusals, 50);
  budget.RecordResult(PlatformErrorCode::Throttled);
  cr_assert(budget.BackoffError()->code == PlatformErrorCode::Throttled);
  budget.RecordResult(std::nullopt);
  cr_assert_not(budget.BackoffError().has_value());
}

// Without jitter, all daemons would retry at the same time.
Test(platformworker, BackoffIsJitteredAndBounded)
{
  Backoff first({ 100, 800 }, SeededRandom(1));
  Backoff second({ 100, 800 }, SeededRandom(2));
  int different = 0;
  for (int i = 0; i < 20; ++i) {
    const Millis wait = first.NextDelay();
    cr_assert(wait >= 1 && wait <= 800);
    different += wait != second.NextDelay() ? 1 : 0;
  }
  cr_assert_gt(different, 10);
}

// While the platform is unreachable, jobs must neither pile up nor each send a
// call to the platform.
Test(platformworker, JobsFailFastWhileThePlatformIsUnreachable)
{
  constexpr int kJobs = 100;
  FakeStore fake;
  fake.isReachable = false;
  std::atomic<int> unreachable = 0;
  std::atomic<bool> hasRead = false;
  CallBudgetConfig config;
  config.callsPerSecond = 1000;
  config.backoff = { 300000, 300000 };
  PlatformWorker worker(
    fake.AsObjectStore(),
    kJobs,
    [](const Completion& aCompletion) { aCompletion(); },
    config,
    [] { return 299999; });
  const PlatformJob job = [&](const ObjectStore& aStore) -> Completion {
    const auto result = aStore.get("a");
    return [&, isGood = result.has_value()] {
      unreachable += isGood ? 0 : 1;
      hasRead = hasRead || isGood;
    };
  };
  for (int i = 0; i < kJobs; ++i) {
    cr_assert(worker.Submit(job));
  }
  cr_assert_not(worker.Submit(job));
  cr_assert_eq(worker.Overflows(), 1U);
  worker.Start();
  cr_assert(WaitUntil([&] { return unreachable == kJobs; }));
  cr_assert_eq(fake.calls.load(), 1);
  cr_assert_eq(worker.Counts().Calls(CallKind::Get), 1U);
  cr_assert_eq(worker.Counts().Failures(CallKind::Get), 1U);
  worker.Stop();
  cr_assert_not(worker.Submit(job));
}

// If the platform accepts only one call in a row, a job of several calls must
// retry the throttled call. If the job were repeated from its first call
// instead, it would never finish.
Test(platformworker, AThrottledCallIsRepeatedWithinItsJob)
{
  int calls = 0;
  ObjectStore store;
  store.get = [&calls](const std::string& aName) {
    const bool isThrottled = calls++ % 2 == 1;
    return isThrottled ? PlatformResult<StoredObject>(failure(
                           PlatformError{ PlatformErrorCode::Throttled, "" }))
                       : StoredObject{ aName, 1, "value", false };
  };
  CallBudgetConfig config;
  config.callsPerSecond = 1000;
  config.backoff = { 10, 100 };
  std::atomic<int> ended = 0;
  std::atomic<int> succeeded = 0;
  PlatformWorker worker(
    store, 1, [](const Completion& aCompletion) { aCompletion(); }, config);
  cr_assert(worker.Submit([&](const ObjectStore& aStore) -> Completion {
    const bool isGood = aStore.get("a") && aStore.get("b") && aStore.get("c");
    return [&, isGood] {
      succeeded += isGood ? 1 : 0;
      ++ended;
    };
  }));
  worker.Start();
  cr_assert(WaitUntil([&] { return ended == 1; }));
  cr_expect_eq(succeeded.load(), 1);
  worker.Stop();
}
