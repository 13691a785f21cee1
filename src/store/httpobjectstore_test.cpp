#include "store/httpobjectstore.h"

#include "testkit/platformstandin.h"

#include <criterion/criterion.h>

#include <atomic>
#include <thread>
#include <vector>

using namespace lacewingwharf;

namespace {

constexpr Millis kLongWatch = 30000;

} // namespace

// Guards against two writers that both believe to have created an object, or
// an update that overwrites a change it has not seen.
Test(httpobjectstore, ConditionalWritesAdmitOneWriter)
{
  const PlatformStandin standin;
  const auto store = MakeHttpObjectStore(standin.StoreConfig());
  const std::string name = "catalogue/a b/+%25/ü";
  const auto created = store.put(name, "one", kCreateOnly);
  cr_assert(created.has_value());
  cr_assert(store.put(name, "two", kCreateOnly).error().code ==
            PlatformErrorCode::Conflict);
  const auto updated = store.put(name, "three", created.value());
  cr_assert(updated.has_value());
  cr_assert_gt(updated.value(), created.value());
  cr_assert(store.put(name, "four", created.value()).error().code ==
            PlatformErrorCode::Conflict);
  cr_assert(store.remove(name, created.value()).error().code ==
            PlatformErrorCode::Conflict);

  const auto read = store.get(name);
  cr_assert(read.value().value == "three");
  cr_assert_eq(read.value().revision, updated.value());
  const auto list = store.list("catalogue/a b/");
  cr_assert_eq(list.value().objects.size(), 1U);
  cr_assert(list.value().objects[0].name == name);

  cr_assert(store.remove(name, updated.value()).has_value());
  cr_assert(store.get(name).error().code == PlatformErrorCode::NotFound);
}

// Guards against a value that is cut or accepted beyond the limit.
Test(httpobjectstore, ValueAboveTheLimitIsRefused)
{
  const PlatformStandin standin;
  const auto store = MakeHttpObjectStore(standin.StoreConfig());
  const std::string largest(1U << 20U, 'x');
  cr_assert(store.put("large", largest, kAnyRevision).has_value());
  cr_assert(store.get("large").value().value == largest);
  cr_assert(store.put("large", largest + "x", kAnyRevision).error().code ==
            PlatformErrorCode::TooLarge);
}

// Guards against a lost answer that is taken for "not sent", and against
// libcurl sending the write again on its own, which would give a conflict.
Test(httpobjectstore, LostAnswerIsTimedOutAndTheWriteIsSentOnce)
{
  const PlatformStandin standin;
  const auto store = MakeHttpObjectStore(standin.StoreConfig());
  cr_assert(store.get("accepted/1").error().code ==
            PlatformErrorCode::NotFound);
  for (int i = 0; i < 3; ++i) {
    cr_assert(standin.Switch(R"({"drop_answer_after_write":1})"));
    const std::string name = "accepted/" + std::to_string(i);
    const auto lost = store.put(name, "nonce", kCreateOnly);
    cr_assert(lost.error().code == PlatformErrorCode::TimedOut);
    cr_assert(store.get(name).value().value == "nonce");
    cr_assert(standin.Switch(R"({"drop_answer_after_write":1})"));
    const auto lostDelete = store.remove(name, kAnyRevision);
    cr_assert(lostDelete.error().code == PlatformErrorCode::TimedOut);
    cr_assert(store.get(name).error().code == PlatformErrorCode::NotFound);
  }
  cr_assert_eq(standin.Calls("put"), 3);
  cr_assert_eq(standin.Calls("delete"), 3);
}

// Guards against treating a write that was never sent as one with an unknown
// effect, and against an outage that the client does not recover from.
Test(httpobjectstore, OutagesAreToldApart)
{
  PlatformStandin standin;
  const auto store = MakeHttpObjectStore(standin.StoreConfig());
  cr_assert(store.put("a", "1", kAnyRevision).has_value());
  cr_assert(standin.Switch(R"({"down":true})"));
  cr_assert(store.put("a", "2", kAnyRevision).error().code ==
            PlatformErrorCode::TimedOut);
  cr_assert(standin.Switch(R"({"down":false})"));
  cr_assert(store.get("a").value().value == "1");
  standin.Process().Kill();
  cr_assert(store.put("a", "3", kAnyRevision).error().code ==
            PlatformErrorCode::Unreachable);
}

// Guards against a request that waits for ever on a platform that is silent.
Test(httpobjectstore, SilentPlatformEndsTheWait)
{
  PlatformStandin standin;
  HttpStoreConfig config = standin.StoreConfig();
  config.requestTimeout = 300;
  config.watchGrace = 300;
  const auto store = MakeHttpObjectStore(config);
  cr_assert(store.put("a", "1", kAnyRevision).has_value());
  standin.Process().Freeze();
  cr_assert(store.put("a", "2", kAnyRevision).error().code ==
            PlatformErrorCode::TimedOut);
  cr_assert(store.watch("", 1, 100).error().code ==
            PlatformErrorCode::TimedOut);
  standin.Process().Thaw();
  cr_assert(WaitUntil([&store] { return store.get("a").has_value(); }));
}

// Guards against a refused call that is taken for a failed one.
Test(httpobjectstore, CallsAboveTheRateAreThrottled)
{
  const PlatformStandin standin({ "--writes-per-s", "0.001" });
  const auto store = MakeHttpObjectStore(standin.StoreConfig());
  cr_assert(store.put("a", "1", kAnyRevision).has_value());
  cr_assert(store.put("a", "2", kAnyRevision).error().code ==
            PlatformErrorCode::Throttled);
  cr_assert(store.get("a").value().value == "1");
  cr_assert_eq(standin.Calls("throttled"), 1);
}

// Guards against changes that a watch misses, repeats or takes from elsewhere.
Test(httpobjectstore, WatchReportsChangesAfterItsRevision)
{
  const PlatformStandin standin;
  const auto store = MakeHttpObjectStore(standin.StoreConfig());
  const auto first = store.put("p/a", "1", kAnyRevision).value();
  cr_assert(store.put("q/b", "other prefix", kAnyRevision).has_value());
  std::jthread writer([&] {
    WaitUntil([&] { return standin.Calls("waiting") == 1; });
    (void)store.remove("p/a", first);
  });
  const auto changes = store.watch("p/", first, kLongWatch).value();
  cr_assert_eq(changes.objects.size(), 1U);
  cr_assert(changes.objects[0].isDeleted);
  const auto nothing = store.watch("p/", changes.revision, 50).value();
  cr_assert(nothing.objects.empty());
}

// Guards against a follower that goes on from a revision the store has lost.
Test(httpobjectstore, CompactionAndRestoreEndAWatch)
{
  const PlatformStandin standin;
  const auto store = MakeHttpObjectStore(standin.StoreConfig());
  const auto first = store.put("a", "1", kAnyRevision).value();
  cr_assert(standin.Switch(R"({"save":"backup"})"));
  const auto second = store.put("a", "2", kAnyRevision).value();
  cr_assert(standin.Switch(R"({"compact":true})"));
  cr_assert(store.watch("", first, kLongWatch).error().code ==
            PlatformErrorCode::Compacted);
  std::jthread restorer([&] {
    WaitUntil([&] { return standin.Calls("waiting") == 1; });
    (void)standin.Switch(R"({"restore":"backup"})");
  });
  cr_assert(store.watch("", second, kLongWatch).error().code ==
            PlatformErrorCode::Compacted);
  const auto list = store.list("").value();
  cr_assert_eq(list.revision, first);
  cr_assert(list.objects[0].value == "1");
}

// Guards against a stand-in that needs a thread for each watch.
Test(httpobjectstore, HundredsOfWatchesWaitAtOnce)
{
  constexpr int kWatches = 300;
  const PlatformStandin standin;
  const auto store = MakeHttpObjectStore(standin.StoreConfig());
  std::atomic<int> notified = 0;
  std::vector<std::jthread> watchers;
  watchers.reserve(kWatches);
  for (int i = 0; i < kWatches; ++i) {
    watchers.emplace_back([&] {
      const auto changes = store.watch("p/", 0, kLongWatch);
      notified += changes && changes.value().objects.size() == 1 ? 1 : 0;
    });
  }
  cr_assert(WaitUntil([&] { return standin.Calls("waiting") == kWatches; }));
  cr_assert(store.put("p/a", "1", kAnyRevision).has_value());
  watchers.clear();
  cr_assert_eq(notified.load(), kWatches);
}
