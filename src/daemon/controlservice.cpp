#include "daemon/controlservice.h"

#include "common/hash.h"
#include "common/log.h"
#include "common/random.h"
#include "daemon/serverprobe.h"
#include "distribution/storetries.h"
#include "store/httpobjectstore.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr std::size_t kRingCapacity = 16384;
constexpr std::size_t kJobCapacity = 256;
constexpr Millis kTickInterval = 50;

// How late the answer to a watch may be on a site, where versions are due
// within seconds. It is several times the response time of a slow store.
constexpr Millis kSiteWatchGrace = 600;

// Longest time between two answers to a watch for versions with teams. An
// answer is evidence that the version is current for 12 s, so one may be late.
constexpr Millis kTeamsWatchTimeout = 5000;

ObjectStore
MakeStore(const Settings& aSettings,
          const DaemonProtocol& aProtocol,
          const std::atomic<bool>& aIsStopping,
          std::shared_ptr<StoreEra> aEra)
{
  HttpStoreConfig config;
  config.baseUrl = fmt::format(
    "http://{}:{}", aSettings.platform.address, aSettings.platform.port);
  config.connectTimeout = std::min<Millis>(1000, aSettings.platformTimeout);
  config.requestTimeout = aSettings.platformTimeout;
  if (aProtocol.documents) {
    config.watchGrace = kSiteWatchGrace;
  }
  config.shouldStop = [&aIsStopping] { return aIsStopping.load(); };
  return GuardEra(aProtocol.makeStore(std::move(config)), std::move(aEra));
}

CallBudgetConfig
MakeCallBudget(int aCallsPerSecond)
{
  CallBudgetConfig budget;
  budget.callsPerSecond = aCallsPerSecond;
  return budget;
}

PlatformWatchConfig
MakeWatchConfig(std::string aPrefix)
{
  PlatformWatchConfig config;
  config.prefix = std::move(aPrefix);
  return config;
}

/** The watch through which this daemon finds new versions. */
PlatformWatchConfig
MakeVersionWatchConfig(const DaemonProtocol& aProtocol)
{
  // The rollout time divided by this is left for the list that follows a watch
  // without an answer and for the push.
  constexpr Millis kReadTimeDivisor = 4;
  constexpr Millis kMinWatchTimeout = 500; // The store charges for each watch.
  // Between failed attempts. A store that is back must be noticed well within
  // the 2 s after which all entries are back in it.
  constexpr Millis kSiteMaxRetryDelay = 400;
  if (!aProtocol.documents) {
    return MakeWatchConfig(std::string(kAcceptedPrefix));
  }
  PlatformWatchConfig config = MakeWatchConfig(aProtocol.documents->prefix);
  // A store may drop a pending watch without an answer. That is detected when
  // this timeout and the grace time have passed.
  const Millis target = aProtocol.bounds.versionRolloutTime;
  config.watchTimeout = std::max(
    target - target / kReadTimeDivisor - kSiteWatchGrace, kMinWatchTimeout);
  config.backoff.maxDelay = kSiteMaxRetryDelay;
  return config;
}

DirectoryEntry
MakeOwnDirectoryEntry(const Settings& aSettings, std::int64_t aIncarnation)
{
  DirectoryEntry self;
  self.host = aSettings.host;
  self.address = { aSettings.address, aSettings.peerPort };
  self.region = aSettings.region;
  self.domain = aSettings.domain;
  self.incarnation = aIncarnation;
  return self;
}

ClaimWriterConfig
WriterConfig(const Settings& aSettings)
{
  ClaimWriterConfig config;
  config.limits.retention = aSettings.claimRetention;
  return config;
}

ClaimClientConfig
ClientConfig(const Settings& aSettings)
{
  ClaimClientConfig config;
  config.self = aSettings.host;
  config.totalTimeout = aSettings.claimWait;
  config.tryTimeout = std::max<Millis>(aSettings.claimWait / 3, 1);
  return config;
}

} // namespace

ControlService::ControlService(const Settings& aSettings,
                               const DaemonProtocol& aProtocol,
                               std::int64_t aIncarnation,
                               MetricsRegistry& aMetrics,
                               ControlServiceHooks aHooks)
  : settings(aSettings)
  , protocol(aProtocol)
  , metrics(aMetrics)
  , hooks(std::move(aHooks))
  , clock(Clock::Steady())
  , random(SystemRandom())
  , storeEra(std::make_shared<StoreEra>())
  , store(MakeStore(aSettings, aProtocol, this->isStopping, this->storeEra))
  , platform(
      this->store,
      kJobCapacity,
      [this](Completion aDone) { this->loop.Post(std::move(aDone)); },
      MakeCallBudget(aSettings.platformCallsPerSecond))
  , claimPlatform(
      this->store,
      kJobCapacity,
      [this](Completion aDone) { this->loop.Post(std::move(aDone)); },
      MakeCallBudget(aSettings.claimCallsPerSecond))
  , membership(this->MemberConfig(aIncarnation),
               this->clock,
               Clock::Wall(),
               SystemRandom(),
               this->MemberHooks())
  , distributor(this->DistributionConfig(aIncarnation),
                this->clock,
                SystemRandom(),
                this->DistributionHooks())
  , claimWriter(WriterConfig(aSettings),
                this->clock,
                Clock::Wall(),
                { [this](PlatformJob aJob) {
                   return this->claimPlatform.Submit(std::move(aJob));
                 },
                  [this] {
                    const auto writers = this->membership.ContactsOfRegion(
                      this->settings.platformRegion);
                    return std::max<std::size_t>(writers.size(), 1);
                  } })
  , claimClient(ClientConfig(aSettings), this->clock, this->ClaimHooks())
  , seeds(aSettings.domain,
          this->clock,
          [this](PlatformJob aJob) {
            return this->platform.Submit(std::move(aJob));
          })
  , directory(MakeOwnDirectoryEntry(aSettings, aIncarnation),
              this->clock,
              this->DirectoryHooks())
  , localServer(aSettings.site.service, aSettings.site.server)
  , leavingReports(this->clock,
                   [this](const LeavingServer& aLeaving) {
                     return this->directory.StoreLeaving(aLeaving);
                   })
  , startedAt(this->clock.Now())
  , storeAccess(this->clock,
                RefusedTime(aProtocol.bounds.versionRolloutTime,
                            aSettings.platformTimeout))
  , aggregator(
      aSettings.domain,
      Clock::Wall(),
      [this](const StoredObject& aObject) { this->WriteStatus(aObject); })
  , acceptedWatch(this->store,
                  this->VersionWatchConfig(),
                  this->WatchHook(false))
  , catalogueWatch(this->store,
                   MakeWatchConfig("catalogue/"),
                   this->WatchHook(true))
  , loop("control", kRingCapacity, kTickInterval, [this] { this->Tick(); })
{
  this->membership.SetServing(false);
  if (RolloutService::IsEnabled(aSettings) && this->store.putStatus) {
    this->rollouts.emplace(aSettings,
                           aProtocol.bounds,
                           aIncarnation,
                           this->store,
                           this->clock,
                           this->RolloutHooks());
  }
}

PlatformWatchConfig
ControlService::VersionWatchConfig()
{
  PlatformWatchConfig config = MakeVersionWatchConfig(this->protocol);
  config.onAnswered = [this](Millis aTime) {
    const auto handle = [this, aTime] {
      this->distributor.HandleWatchAnswer(aTime);
      this->HandleStoreAnswer();
      this->SetWatchTimeout();
    };
    if (this->HasDocuments()) {
      this->loop.Post(handle);
    } else {
      // Waits, so that the next watch begins with the timeout for the version
      // that this answer has brought.
      this->loop.Run(handle);
    }
  };
  return config;
}

/** Versions with teams need an answer more often, see kTeamsWatchTimeout. */
void
ControlService::SetWatchTimeout()
{
  if (!this->HasDocuments()) {
    const bool hasTeams = this->distributor.HeldSnapshot()->RequiresKeys();
    this->acceptedWatch.SetWatchTimeout(
      hasTeams ? kTeamsWatchTimeout : PlatformWatchConfig().watchTimeout);
  }
}

ControlService::~ControlService()
{
  this->Stop();
}

void
ControlService::Start()
{
  this->loop.Start();
  this->platform.Start();
  this->acceptedWatch.Start();
  if (this->rollouts) {
    this->rollouts->Start();
  }
  if (!this->HasDocuments()) {
    this->claimPlatform.Start();
    this->catalogueWatch.Start();
  }
}

void
ControlService::Leave()
{
  this->loop.Run([this] {
    this->membership.Leave();
    const auto& leaving = this->localServer.Leaving();
    const SocketAddress& server = this->settings.site.server;
    if (this->HasDocuments() && leaving &&
        leaving->id == this->localServer.Id() &&
        !IsListening(server.address, server.port)) {
      // The server has ended, so this host is no longer in use. As long as it
      // runs, the entry shows a restarted daemon that it is leaving.
      this->directory.Remove();
    }
  });
}

void
ControlService::CancelStoreCalls()
{
  this->isStopping = true;
}

void
ControlService::Stop()
{
  this->isStopping = true;
  this->acceptedWatch.Stop();
  this->catalogueWatch.Stop();
  if (this->rollouts) {
    this->rollouts->Stop();
  }
  this->platform.Stop();
  this->claimPlatform.Stop();
  this->loop.Stop();
}

void
ControlService::Announce(const Announcement& aAnnouncement)
{
  this->loop.Post([this, aAnnouncement] {
    this->membership.Announce(aAnnouncement);
    this->PublishEndpoints();
    this->PublishConfiguration();
  });
}

void
ControlService::Report(std::vector<wire::EntryReport> aReports)
{
  if (this->HasDocuments()) {
    return; // The metrics have these figures; writes to the store are costly.
  }
  this->loop.Post([this, reports = std::move(aReports)] {
    wire::StatusReport report;
    report.host = this->settings.host;
    report.domain = this->settings.domain;
    report.version = this->distributor.HeldSnapshot()->Version();
    report.entries = reports;
    const auto relays = this->membership.Relays();
    const auto address = relays.empty()
                           ? std::nullopt
                           : this->membership.AddressOf(relays.front());
    if (!address || relays.front() == this->settings.host) {
      this->aggregator.Merge(report);
      return;
    }
    wire::Envelope envelope;
    envelope.__set_statusReport(report);
    this->hooks.sendControl(*address, std::move(envelope));
  });
}

void
ControlService::WriteStatus(const StoredObject& aObject)
{
  this->platform.Submit([aObject](const ObjectStore& aStore) {
    // The next report replaces a write that fails.
    static_cast<void>(aStore.put(aObject.name, aObject.value, kAnyRevision));
    return Completion([] {});
  });
}

bool
ControlService::Claim(std::uint64_t aKeyHash, const std::string& aHolder)
{
  return this->loop.Post([this, aKeyHash, aHolder] {
    this->claimClient.Claim(static_cast<std::int64_t>(aKeyHash),
                            aHolder,
                            this->settings.claimWait,
                            [this, aHolder](wire::ClaimResult::type aResult) {
                              this->hooks.onClaim(aHolder, aResult);
                            });
  });
}

void
ControlService::SettleClaim(std::uint64_t aKeyHash,
                            const std::string& aHolder,
                            Outcome aOutcome)
{
  this->loop.Post([this, aKeyHash, aHolder, aOutcome] {
    const auto keyHash = static_cast<std::int64_t>(aKeyHash);
    if (aOutcome == Outcome::NotRun) {
      this->claimClient.Release(keyHash, aHolder);
    } else {
      this->claimClient.MarkDone(keyHash, aHolder);
    }
  });
}

void
ControlService::Tick()
{
  this->HandleStoreRise();
  this->membership.Tick();
  const auto table = this->membership.Table().Version();
  // With documents, the member table holds which hosts can reach the store and
  // so may be relays. A change of it therefore updates the roles at once.
  // Without documents the table has no such information, and it changes often.
  if (std::exchange(this->handledTableVersion, table) != table &&
      this->HasDocuments()) {
    this->distributor.HandleMembershipChange();
  }
  this->distributor.Tick();
  this->claimWriter.Tick();
  this->claimClient.Tick();
  this->aggregator.Tick();
  this->PublishMetrics();
  Log::Flush();
  this->SetWatches();
  this->PublishMembers();
  this->leavingReports.Tick();
  this->UpdateStoreAccess();
  this->PublishEndpoints();
  this->PublishConfiguration();
  this->PublishConfirmation();
}

void
ControlService::SetWatches()
{
  this->SetWatchTimeout();
  const bool isSettled = !this->HasDocuments() || this->directory.HasSettled();
  const bool isWatcher =
    this->distributor.IsRelay() || this->distributor.IsRelaySubstitute();
  // A daemon that decides a rollout needs to know whether the store answers.
  const bool isDeciding = this->rollouts && this->rollouts->IsDeciding();
  this->acceptedWatch.SetActive((isSettled && isWatcher) || isDeciding ||
                                this->distributor.IsAcceptor());
  if (this->rollouts) {
    this->rollouts->Tick(isSettled && isWatcher);
  }
  this->catalogueWatch.SetActive(this->distributor.IsAcceptor());
}

} // namespace lacewingwharf
