#include "execution/claimclient.h"
#include "execution/claimwork.h"
#include "execution/claimwriter.h"

#include "common/hash.h"
#include "common/log.h"
#include "common/random.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

using namespace lacewingwharf;

namespace {

using ClaimResult = wire::ClaimResult;

/** The platform's object store in memory, with injected faults. */
struct FakePlatform
{
  std::map<std::string, StoredObject> objects;
  std::int64_t revision = 0;
  bool isDown = false;
  bool ignoresRevisions = false; // For the naive version.
  bool isDownAfterPut = false;
  int putAnswersToLose = 0;
  int puts = 0;
  std::function<void()> beforePut;

  ObjectStore Hooks()
  {
    ObjectStore store;
    store.get = [this](const std::string& aName) { return this->Get(aName); };
    store.put = [this](const auto& aName, const auto& aValue, auto aExpected) {
      return this->Put(aName, aValue, aExpected);
    };
    return store;
  }

  PlatformResult<StoredObject> Get(const std::string& aName) const
  {
    if (this->isDown) {
      return PlatformError{ PlatformErrorCode::Unreachable, "down" };
    }
    const auto object = this->objects.find(aName);
    if (object == this->objects.end()) {
      return PlatformError{ PlatformErrorCode::NotFound, aName };
    }
    return object->second;
  }

  PlatformResult<std::int64_t> Put(const std::string& aName,
                                   const std::string& aValue,
                                   std::int64_t aExpected)
  {
    if (this->beforePut) {
      std::exchange(this->beforePut, nullptr)();
    }
    if (this->isDown) {
      return PlatformError{ PlatformErrorCode::Unreachable, "down" };
    }
    StoredObject& object = this->objects[aName];
    if (!this->ignoresRevisions && object.revision != aExpected) {
      return PlatformError{ PlatformErrorCode::Conflict, aName };
    }
    object = { aName, ++this->revision, aValue, false };
    ++this->puts;
    this->isDown = this->isDownAfterPut;
    if (this->putAnswersToLose > 0) {
      --this->putAnswersToLose;
      return PlatformError{ PlatformErrorCode::TimedOut, "answer lost" };
    }
    return this->revision;
  }
};

/**
 * Daemons with a claim writer and a claim client each, connected by a message
 * queue.
 */
struct Fleet
{
  struct Daemon
  {
    std::string host;
    std::unique_ptr<ClaimWriter> writer;
    std::unique_ptr<ClaimClient> client;
    bool isPaused = false;
    std::vector<std::function<void()>> deferred;
    std::deque<PlatformJob> jobs;
  };

  explicit Fleet(std::size_t aCount, std::uint64_t aSeed = 1)
    : random(SeededRandom(aSeed))
    , daemons(aCount)
  {
    for (std::size_t index = 0; index < aCount; ++index) {
      this->BuildDaemon(index);
    }
  }

  void BuildDaemon(std::size_t aIndex)
  {
    Daemon& daemon = this->daemons[aIndex];
    daemon.host = fmt::format("host-{}", aIndex);
    const Clock view = this->clock.View();
    ClaimWriterHooks writerHooks;
    writerHooks.submit = [&daemon](PlatformJob aJob) {
      daemon.jobs.push_back(std::move(aJob));
      return true;
    };
    daemon.writer = std::make_unique<ClaimWriter>(
      ClaimWriterConfig{}, view, view, std::move(writerHooks));
    ClaimClientHooks hooks;
    hooks.writers = [this] { return this->Hosts(); };
    hooks.send = [this, aIndex](const auto& aHost, const auto& aEnvelope) {
      this->SendRequest(aIndex, aHost, aEnvelope.claimRequest);
      return true;
    };
    hooks.writeDirectly = [&daemon](const auto& aRequest) {
      daemon.writer->Handle(aRequest, [&daemon](const auto& aAnswer) {
        daemon.client->HandleAnswer(aAnswer);
      });
    };
    daemon.client = std::make_unique<ClaimClient>(
      ClaimClientConfig{ daemon.host }, view, std::move(hooks));
  }

  std::vector<std::string> Hosts() const
  {
    std::vector<std::string> hosts(this->daemons.size());
    std::ranges::transform(this->daemons, hosts.begin(), &Daemon::host);
    return hosts;
  }

  /** The writers of a key in order, as every daemon computes them. */
  std::vector<std::size_t> WriterOrder(std::int64_t aKey) const
  {
    const auto order =
      RendezvousOrder(ClaimShardName(ClaimShardOf(aKey)), this->Hosts());
    std::vector<std::size_t> indices;
    indices.reserve(order.size());
    for (const std::string& host : order) {
      indices.push_back(std::stoul(host.substr(5)));
    }
    return indices;
  }

  void SendRequest(std::size_t aFrom,
                   const std::string& aHost,
                   const wire::ClaimRequest& aRequest)
  {
    const std::size_t to = std::stoul(aHost.substr(5));
    this->Post(to, [this, aFrom, to, aRequest] {
      const auto reply = [this, aFrom](const wire::ClaimAnswer& aAnswer) {
        this->Post(aFrom, [this, aFrom, aAnswer] {
          this->daemons[aFrom].client->HandleAnswer(aAnswer);
        });
      };
      this->daemons[to].writer->Handle(aRequest, reply);
    });
  }

  void Post(std::size_t aTo, const std::function<void()>& aRun)
  {
    if (RandomBelow(this->random, 100) < this->lossPercent) {
      return;
    }
    const Millis delay =
      1 + static_cast<Millis>(RandomBelow(this->random, this->maxDelay));
    this->messages.emplace(this->clock.View().Now() + delay,
                           std::pair(aTo, aRun));
  }

  void RunJob(std::size_t aIndex)
  {
    Daemon& daemon = this->daemons[aIndex];
    if (daemon.jobs.empty() || daemon.isPaused) {
      return;
    }
    const PlatformJob job = std::move(daemon.jobs.front());
    daemon.jobs.pop_front();
    if (RandomBelow(this->random, 100) < this->interleavePercent) {
      const std::size_t other = RandomBelow(this->random, this->daemons.size());
      this->platform.beforePut = [this, other] { this->RunJob(other); };
    }
    if (RandomBelow(this->random, 100) < this->lostAnswerPercent) {
      this->platform.putAnswersToLose = 1;
    }
    job(this->platform.Hooks())();
  }

  void Run(Millis aMillis)
  {
    for (Millis step = 0; step < aMillis; step += 10) {
      this->clock.Advance(10);
      this->Deliver();
      for (std::size_t index = 0; index < this->daemons.size(); ++index) {
        if (!this->daemons[index].isPaused) {
          this->RunJob(index);
          this->daemons[index].writer->Tick();
          this->daemons[index].client->Tick();
        }
      }
    }
  }

  void Deliver()
  {
    while (!this->messages.empty() &&
           this->messages.begin()->first <= this->clock.View().Now()) {
      const auto [to, run] = this->messages.begin()->second;
      this->messages.erase(this->messages.begin());
      Daemon& daemon = this->daemons[to];
      if (daemon.isPaused) {
        daemon.deferred.push_back(run);
      } else {
        run();
      }
    }
  }

  void Resume(std::size_t aIndex)
  {
    Daemon& daemon = this->daemons[aIndex];
    daemon.isPaused = false;
    for (const auto& run : std::exchange(daemon.deferred, {})) {
      run();
    }
  }

  std::optional<ClaimResult::type> Claim(std::size_t aDaemon,
                                         std::int64_t aKey,
                                         const std::string& aHolder,
                                         Millis aWait = 3000)
  {
    auto result = std::make_shared<std::optional<ClaimResult::type>>();
    this->daemons[aDaemon].client->Claim(
      aKey, aHolder, 2500, [result](auto aResult) { *result = aResult; });
    this->Run(aWait);
    return *result;
  }

  ManualClock clock{ 1000000 };
  Random random;
  FakePlatform platform;
  unsigned lossPercent = 0;
  unsigned interleavePercent = 0;
  unsigned lostAnswerPercent = 0;
  std::uint64_t maxDelay = 1;
  std::vector<Daemon> daemons;
  std::multimap<Millis, std::pair<std::size_t, std::function<void()>>> messages;
};

void
SilenceLogs()
{
  // The tests cause malformed values and full queues, which are logged.
  Log::SetLevel(LogLevel::Error);
}

} // namespace

TestSuite(claims, .init = SilenceLogs);

// Two writers that read the same version of a shard must not both grant a key.
Test(claims, TwoWritersAtOnceGrantAKeyOnce)
{
  Fleet fleet(2);
  std::vector<ClaimResult::type> results;
  for (std::size_t index = 0; index < 2; ++index) {
    wire::ClaimRequest request;
    request.keyHash = 5;
    request.holder = fmt::format("call-{}", index);
    request.wanted = wire::ClaimState::HELD;
    fleet.daemons[index].writer->Handle(
      request,
      [&results](const auto& aAnswer) { results.push_back(aAnswer.result); });
  }
  fleet.platform.beforePut = [&fleet] { fleet.RunJob(1); };
  fleet.RunJob(0);
  cr_assert_eq(results.size(), 2U);
  cr_assert_eq(std::ranges::count(results, ClaimResult::GRANTED), 1);
  cr_assert_eq(std::ranges::count(results, ClaimResult::DUPLICATE), 1);
}

// A claim whose write took effect but whose answer was lost must not be refused
// as a duplicate of itself.
Test(claims, ClaimIsGrantedWhenTheAnswerToItsWriteIsLost)
{
  Fleet fleet(3);
  fleet.platform.putAnswersToLose = 1;
  cr_assert_eq(fleet.Claim(0, 5, "call-1"), ClaimResult::GRANTED);
  cr_assert_eq(fleet.platform.puts, 1);
  cr_assert_eq(fleet.Claim(1, 5, "call-2"), ClaimResult::DUPLICATE);
}

// The claim is written, but its answer is lost and the platform becomes
// unreachable. The caller must get an answer within the time limit, and the key
// must become free later, because its call was never sent.
Test(claims, UnavailableKeyIsUsableAfterTheOutage)
{
  Fleet fleet(3);
  fleet.platform.isDownAfterPut = true;
  fleet.platform.putAnswersToLose = 1;
  cr_assert_eq(fleet.Claim(0, 5, "call-1"), ClaimResult::UNAVAILABLE);
  cr_assert_eq(fleet.platform.puts, 1);
  fleet.Run(5000);
  fleet.platform.isDownAfterPut = false;
  fleet.platform.isDown = false;
  fleet.Run(5000);
  cr_assert_eq(fleet.daemons[0].client->PendingUpdateCount(), 0U);
  cr_assert_eq(fleet.Claim(1, 5, "call-2"), ClaimResult::GRANTED);
}

// A cached shard may be out of date because another writer changed it, so a
// refusal must be checked by a read.
Test(claims, RefusalFromTheCacheIsCheckedByARead)
{
  FakePlatform platform;
  ClaimWork work;
  work.shard = 5;
  work.requests.resize(1);
  wire::ClaimRequest& request = work.requests.front();
  request.keyHash = 5;
  const auto run = [&](const char* aHolder, wire::ClaimState::type aWanted) {
    request.holder = aHolder;
    request.wanted = aWanted;
    RunClaimWork(platform.Hooks(), ManualClock(1000).View(), work);
    return work.results.front();
  };
  cr_assert_eq(run("call-1", wire::ClaimState::HELD), ClaimResult::GRANTED);
  const auto cached = std::make_shared<ClaimShard>(*work.value);
  const std::int64_t revision = work.revision;
  cr_assert_eq(run("call-1", wire::ClaimState::RELEASED), ClaimResult::GRANTED);
  work.value = cached;
  work.revision = revision;
  cr_assert_eq(run("call-2", wire::ClaimState::HELD), ClaimResult::GRANTED);
}

// A claim request that arrives late must not take its key again after the
// release.
Test(claims, ReleasedKeyIsNotTakenByALateClaim)
{
  Fleet fleet(3);
  cr_assert_eq(fleet.Claim(0, 5, "call-1"), ClaimResult::GRANTED);
  fleet.daemons[0].client->Release(5, "call-1");
  fleet.Run(4000);
  cr_assert_eq(fleet.Claim(1, 5, "call-1"), ClaimResult::UNAVAILABLE);
  cr_assert_eq(fleet.Claim(1, 5, "call-2"), ClaimResult::GRANTED);
  fleet.daemons[1].client->MarkDone(5, "call-2");
  fleet.Run(4000);
  cr_assert_eq(fleet.Claim(2, 5, "call-3"), ClaimResult::DUPLICATE);
}

// After a pause, a writer must not answer from a shard that it cached before.
Test(claims, PausedWriterDoesNotAnswerFromItsCache)
{
  Fleet fleet(4);
  const std::int64_t first = 5;
  const std::int64_t second = first + kClaimShards; // In the same shard.
  const auto order = fleet.WriterOrder(first);
  const std::size_t paused = order[0];
  const std::size_t client = order[3];
  cr_assert_eq(fleet.Claim(client, first, "call-1"), ClaimResult::GRANTED);
  fleet.daemons[paused].isPaused = true;
  cr_assert_eq(fleet.Claim(client, second, "call-2"), ClaimResult::GRANTED);
  fleet.daemons[client].client->Release(first, "call-1");
  fleet.Run(10000);
  fleet.Resume(paused);
  // A new claim of the released key and one of the key granted during the
  // pause.
  cr_assert_eq(fleet.Claim(client, first, "call-3"), ClaimResult::GRANTED);
  cr_assert_eq(fleet.Claim(client, second, "call-4"), ClaimResult::DUPLICATE);
}

// A damaged object must not be overwritten with an empty one.
Test(claims, MalformedShardIsLeftAsItIs)
{
  Log::SetLevel(LogLevel::Error);
  Fleet fleet(1);
  const std::string name = ClaimShardName(ClaimShardOf(5));
  fleet.platform.objects[name] = { name, 3, "not a shard", false };
  fleet.platform.revision = 3;
  cr_assert_eq(fleet.Claim(0, 5, "call-1"), ClaimResult::UNAVAILABLE);
  cr_assert_eq(fleet.platform.objects[name].value, "not a shard");
}

namespace {

/** Runs one random schedule and returns how many keys were granted twice. */
std::size_t
CountKeysGrantedTwice(std::uint64_t aSeed, bool aIsNaive)
{
  Fleet fleet(4, aSeed);
  fleet.platform.ignoresRevisions = aIsNaive;
  fleet.lossPercent = 10;
  fleet.interleavePercent = 30;
  fleet.lostAnswerPercent = 10;
  fleet.maxDelay = 400;
  std::map<std::int64_t, std::set<std::string>> granted;
  for (int round = 0; round < 30; ++round) {
    const std::size_t daemon = RandomBelow(fleet.random, 4);
    const auto key = static_cast<std::int64_t>(RandomBelow(fleet.random, 6));
    const std::string holder = fmt::format("call-{}", round);
    // All keys are in one shard, so that the writers conflict.
    fleet.daemons[daemon].client->Claim(
      key * kClaimShards, holder, 2500, [&granted, key, holder](auto aResult) {
        if (aResult == ClaimResult::GRANTED) {
          granted[key].insert(holder);
        }
      });
    const std::size_t other = RandomBelow(fleet.random, 4);
    fleet.daemons[other].isPaused = RandomBelow(fleet.random, 4) == 0;
    fleet.Run(static_cast<Millis>(RandomBelow(fleet.random, 300)));
    fleet.Resume(RandomBelow(fleet.random, 4));
  }
  for (std::size_t index = 0; index < 4; ++index) {
    fleet.Resume(index);
  }
  fleet.Run(10000);
  return static_cast<std::size_t>(std::ranges::count_if(
    granted, [](const auto& aItem) { return aItem.second.size() > 1; }));
}

} // namespace

// No interleaving may grant one key twice. The naive version writes shards
// without comparing the revision.
Test(claims, NoScheduleGrantsAKeyTwice)
{
  std::size_t naive = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    cr_assert_eq(CountKeysGrantedTwice(seed, false), 0U, "seed %lu", seed);
    naive += CountKeysGrantedTwice(seed, true);
  }
  cr_assert_gt(naive, 0U, "the naive version must grant a key twice");
}
