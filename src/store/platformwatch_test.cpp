#include "store/platformwatch.h"

#include "testkit/platformstandin.h"

#include <criterion/criterion.h>

#include <map>

using namespace lacewingwharf;

namespace {

/** Maintains the current objects from the results of a watch. */
class WatchRecorder
{
public:
  PlatformWatch::Hook Hook()
  {
    return [this](PlatformResult<ObjectList> aResult, bool aIsFullList) {
      const std::lock_guard lock(this->mutex);
      if (!aResult) {
        ++this->errors;
        return;
      }
      if (aIsFullList) {
        ++this->lists;
        this->values.clear();
      }
      for (const StoredObject& object : aResult.value().objects) {
        this->values[object.name] = object.isDeleted ? "" : object.value;
      }
    };
  }

  bool WaitFor(const std::string& aName, const std::string& aValue)
  {
    return WaitUntil([&] {
      const std::lock_guard lock(this->mutex);
      const auto found = this->values.find(aName);
      return found != this->values.end() && found->second == aValue;
    });
  }

  std::mutex mutex;
  std::map<std::string, std::string> values;
  int lists = 0;
  int errors = 0;
};

PlatformWatchConfig
WatchConfig()
{
  PlatformWatchConfig config;
  config.prefix = "p/";
  config.watchTimeout = 500;
  config.backoff = { 20, 200 };
  return config;
}

} // namespace

// The watch must not miss changes after an outage, or after a restore of the
// store, which a watch reports like a compaction. It must not list the whole
// prefix where watching for changes is enough.
Test(platformwatch, FollowsThroughOutageAndRestore)
{
  const PlatformStandin standin;
  const auto store = MakeHttpObjectStore(standin.StoreConfig());
  cr_assert(store.put("p/a", "1", kAnyRevision).has_value());
  WatchRecorder recorder;
  PlatformWatch watch(
    MakeHttpObjectStore(standin.StoreConfig()), WatchConfig(), recorder.Hook());
  watch.Start();
  watch.SetActive(true);
  cr_assert(recorder.WaitFor("p/a", "1"));
  cr_assert(store.put("p/a", "2", kAnyRevision).has_value());
  cr_assert(recorder.WaitFor("p/a", "2"));
  cr_assert(standin.Switch(R"({"save":"backup"})"));
  cr_assert(standin.Switch(R"({"down":true})"));
  cr_assert(WaitUntil([&] {
    const std::lock_guard lock(recorder.mutex);
    return recorder.errors > 0;
  }));
  cr_assert(standin.Switch(R"({"down":false})"));
  cr_assert(store.put("p/a", "3", kAnyRevision).has_value());
  cr_assert(recorder.WaitFor("p/a", "3"));
  cr_assert_eq(recorder.lists, 1);
  cr_assert(standin.Switch(R"({"restore":"backup"})"));
  cr_assert(recorder.WaitFor("p/a", "2"));
  cr_assert_eq(recorder.lists, 2);
  watch.Stop();
  cr_assert_eq(watch.Counts().Calls(CallKind::List), 2U);
}

// A watch that starts with a known revision must not list the whole prefix, and
// an inactive watch must not call the platform.
Test(platformwatch, StartsFromAKnownRevisionAndOnlyWhenActive)
{
  const PlatformStandin standin;
  const auto store = MakeHttpObjectStore(standin.StoreConfig());
  const auto first = store.put("p/a", "1", kAnyRevision).value();
  cr_assert(store.put("p/b", "2", kAnyRevision).has_value());
  WatchRecorder recorder;
  PlatformWatch watch(
    MakeHttpObjectStore(standin.StoreConfig()), WatchConfig(), recorder.Hook());
  watch.Start();
  cr_assert_eq(standin.Calls("watch"), 0);
  watch.SetActive(true, first);
  cr_assert(recorder.WaitFor("p/b", "2"));
  cr_assert_eq(recorder.lists, 0);
  cr_assert_eq(recorder.values.count("p/a"), 0U);
  watch.SetActive(false);
  cr_assert(WaitUntil([&] { return standin.Calls("waiting") == 0; }));
  cr_assert(store.put("p/b", "3", kAnyRevision).has_value());
  watch.SetActive(true);
  cr_assert(recorder.WaitFor("p/b", "3"));
  cr_assert_eq(recorder.lists, 1);
  watch.Stop();
  cr_assert_eq(standin.Calls("list"), 1);
}

// A watch must not wait forever on a connection that no longer delivers
// anything. It must time out and start again.
Test(platformwatch, SilentWatchIsOpenedAgain)
{
  PlatformStandin standin;
  const auto store = MakeHttpObjectStore(standin.StoreConfig());
  cr_assert(store.put("p/a", "1", kAnyRevision).has_value());
  HttpStoreConfig config = standin.StoreConfig();
  config.watchGrace = 300;
  WatchRecorder recorder;
  PlatformWatch watch(
    MakeHttpObjectStore(config), WatchConfig(), recorder.Hook());
  watch.Start();
  watch.SetActive(true);
  cr_assert(recorder.WaitFor("p/a", "1"));
  standin.Process().Freeze();
  cr_assert(WaitUntil([&] {
    const std::lock_guard lock(recorder.mutex);
    return recorder.errors > 0;
  }));
  standin.Process().Thaw();
  cr_assert(store.put("p/a", "2", kAnyRevision).has_value());
  cr_assert(recorder.WaitFor("p/a", "2"));
  watch.Stop();
}

// An answer without changes counts as an answer. Otherwise a platform on which
// nothing changes would be considered unresponsive.
Test(platformwatch, AnAnswerWithoutChangesShowsAWorkingPlatform)
{
  const PlatformStandin standin;
  WatchRecorder recorder;
  PlatformWatch watch(
    MakeHttpObjectStore(standin.StoreConfig()), WatchConfig(), recorder.Hook());
  cr_assert_eq(watch.LastAnswerTime(), 0);
  watch.Start();
  watch.SetActive(true);
  cr_assert(WaitUntil([&] { return watch.LastAnswerTime() > 0; }));
  const Millis first = watch.LastAnswerTime();
  cr_assert(WaitUntil([&] { return watch.LastAnswerTime() > first; }));
  watch.Stop();
}

// Each answer is evidence that nothing newer exists, but only after its changes
// are handled, and not for the time after the platform must have sent it.
Test(platformwatch, ReportsTheTimeThatEachAnswerCovers)
{
  const PlatformStandin standin;
  const auto store = MakeHttpObjectStore(standin.StoreConfig());
  cr_assert(store.put("p/a", "1", kAnyRevision).has_value());
  WatchRecorder recorder;
  std::vector<Millis> times;
  bool isInOrder = true;
  PlatformWatchConfig config = WatchConfig();
  config.onAnswered = [&](Millis aTime) {
    const std::lock_guard lock(recorder.mutex);
    isInOrder = isInOrder && recorder.values.contains("p/a") &&
                aTime <= Clock::Steady().Now() &&
                (times.empty() || aTime >= times.back());
    times.push_back(aTime);
  };
  PlatformWatch watch(
    MakeHttpObjectStore(standin.StoreConfig()), config, recorder.Hook());
  watch.Start();
  watch.SetActive(true);
  watch.SetWatchTimeout(50);
  const auto countAnswers = [&] {
    const std::lock_guard lock(recorder.mutex);
    return times.size();
  };
  // A list, then watches without changes.
  cr_assert(WaitUntil([&] { return countAnswers() >= 4; }));
  cr_assert(standin.Switch(R"({"down":true})"));
  cr_assert(WaitUntil([&] {
    const std::lock_guard lock(recorder.mutex);
    return recorder.errors > 0;
  }));
  const std::size_t before = countAnswers();
  PauseFor(300);
  cr_expect_eq(countAnswers(), before, "errors are no evidence");
  watch.Stop();
  cr_expect(isInOrder);
}

namespace {

/**
 * A store whose watches end by time-out, as those do that wait on a revision
 * which a restored store has not issued again.
 */
struct RestoredStore
{
  ObjectStore Hooks()
  {
    ObjectStore store;
    store.list = [this](const std::string&) {
      const std::lock_guard lock(this->mutex);
      PlatformResult<ObjectList> list =
        ObjectList{ this->revision,
                    { { "p/a", this->revision, this->value, false } } };
      list.era = this->era;
      return list;
    };
    store.watch = [this](const std::string&, std::int64_t, Millis aTimeout) {
      PauseFor(aTimeout);
      const std::lock_guard lock(this->mutex);
      PlatformResult<ObjectList> none = ObjectList{ this->revision, {} };
      if (this->isStale) {
        none = failure(PlatformError{ PlatformErrorCode::Stale, "" });
      }
      none.era = this->era;
      return none;
    };
    return store;
  }

  void Restore(std::int64_t aRevision, std::optional<std::int64_t> aEra)
  {
    const std::lock_guard lock(this->mutex);
    this->revision = aRevision;
    this->value = "restored";
    this->era = aEra;
  }

  std::mutex mutex;
  std::int64_t revision = 50;
  std::string value = "first";
  std::optional<std::int64_t> era = 4;
  bool isStale = false;
};

PlatformWatchConfig
ShortWatchConfig()
{
  PlatformWatchConfig config = WatchConfig();
  config.watchTimeout = 50;
  return config;
}

} // namespace

// A watch that waits on a revision of before a restore sees nothing, whether
// the revisions of the store went back or are higher again. Its time-out must
// lead to a list.
Test(platformwatch, ATimeOutInANewEraLeadsToAList)
{
  for (const std::int64_t revision : { 20, 50, 90 }) {
    RestoredStore store;
    WatchRecorder recorder;
    PlatformWatch watch(store.Hooks(), ShortWatchConfig(), recorder.Hook());
    watch.Start();
    watch.SetActive(true);
    cr_assert(recorder.WaitFor("p/a", "first"));
    store.Restore(revision, 5);
    cr_expect(recorder.WaitFor("p/a", "restored"), "%d", int(revision));
    watch.Stop();
    cr_expect_eq(recorder.lists, 2);
  }
}

// A store without eras is watched as before, and lists are charged.
Test(platformwatch, WithoutAnEraALowerRevisionLeadsToNoList)
{
  RestoredStore store;
  store.era.reset();
  WatchRecorder recorder;
  PlatformWatch watch(store.Hooks(), ShortWatchConfig(), recorder.Hook());
  watch.Start();
  watch.SetActive(true);
  cr_assert(recorder.WaitFor("p/a", "first"));
  store.Restore(20, std::nullopt);
  const auto calls = watch.Counts().Calls(CallKind::Watch);
  cr_assert(WaitUntil(
    [&] { return watch.Counts().Calls(CallKind::Watch) > calls + 3; }));
  watch.Stop();
  cr_expect_eq(recorder.lists, 1);
}

// A stale response proves nothing about the store as it is now, so the watch
// must not count as working, and must work again afterwards.
Test(platformwatch, AStaleResponseIsAFailure)
{
  RestoredStore store;
  WatchRecorder recorder;
  PlatformWatch watch(store.Hooks(), ShortWatchConfig(), recorder.Hook());
  watch.Start();
  watch.SetActive(true);
  cr_assert(recorder.WaitFor("p/a", "first"));
  {
    const std::lock_guard lock(store.mutex);
    store.isStale = true;
  }
  cr_expect(WaitUntil([&watch] { return !watch.IsWorking(); }));
  {
    const std::lock_guard lock(store.mutex);
    store.isStale = false;
  }
  cr_expect(WaitUntil([&watch] { return watch.IsWorking(); }));
  watch.Stop();
}
