#include "store/httpobjectstore.h"

#include "testkit/platformstandin.h"

#include <criterion/criterion.h>

#include <atomic>
#include <thread>
#include <vector>

using namespace lacewingwharf;

namespace {

constexpr Millis kLongWatchTimeout = 30000;

} // namespace

// If the store ignored the expected revision, two writers could both create an
// object, or an update could overwrite a change that its writer has not read.
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

// A value of the maximum size must not be truncated, and a larger one must not
// be accepted.
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

// A write whose answer is lost may have taken effect, so its error must not be
// the one for a request that was not sent. libcurl must not resend the write on
// its own, because the second write would conflict with the first.
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

// A write that was never sent must not be reported as one with an unknown
// effect, nor one that was sent as unsent. The client must recover after an
// outage.
Test(httpobjectstore, OutageErrorsTellWhetherTheRequestWasSent)
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

// A platform that accepts requests but does not answer must not block a caller
// forever.
Test(httpobjectstore, RequestsToASilentPlatformTimeOut)
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

// A call that the platform rejects because of its rate limit has no effect. It
// must be reported as throttled, not as failed.
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

// A watch must not miss or repeat changes, and must not report those of other
// prefixes.
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
  const auto changes = store.watch("p/", first, kLongWatchTimeout).value();
  cr_assert_eq(changes.objects.size(), 1U);
  cr_assert(changes.objects[0].isDeleted);
  const auto nothing = store.watch("p/", changes.revision, 50).value();
  cr_assert(nothing.objects.empty());
}

// A client must not continue a watch from a revision that the store has lost
// through a compaction or a restore. It would miss changes.
Test(httpobjectstore, CompactionAndRestoreEndAWatch)
{
  const PlatformStandin standin;
  const auto store = MakeHttpObjectStore(standin.StoreConfig());
  const auto first = store.put("a", "1", kAnyRevision).value();
  cr_assert(standin.Switch(R"({"save":"backup"})"));
  const auto second = store.put("a", "2", kAnyRevision).value();
  cr_assert(standin.Switch(R"({"compact":true})"));
  cr_assert(store.watch("", first, kLongWatchTimeout).error().code ==
            PlatformErrorCode::Compacted);
  std::jthread restorer([&] {
    WaitUntil([&] { return standin.Calls("waiting") == 1; });
    (void)standin.Switch(R"({"restore":"backup"})");
  });
  cr_assert(store.watch("", second, kLongWatchTimeout).error().code ==
            PlatformErrorCode::Compacted);
  const auto list = store.list("").value();
  cr_assert_eq(list.revision, first);
  cr_assert(list.objects[0].value == "1");
}

// The stand-in must hold hundreds of watches at once, so a pending watch must
// not occupy one of its threads.
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
      const auto changes = store.watch("p/", 0, kLongWatchTimeout);
      notified += changes && changes.value().objects.size() == 1 ? 1 : 0;
    });
  }
  cr_assert(WaitUntil([&] { return standin.Calls("waiting") == kWatches; }));
  cr_assert(store.put("p/a", "1", kAnyRevision).has_value());
  watchers.clear();
  cr_assert_eq(notified.load(), kWatches);
}
