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
