#include "daemon/controlservice.h"

#include "common/hash.h"
#include "common/log.h"
#include "common/random.h"
#include "daemon/serverprobe.h"
#include "store/httpobjectstore.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr Log kLog("control");
constexpr std::size_t kRingCapacity = 16384;
constexpr std::size_t kJobCapacity = 256;
constexpr Millis kTickInterval = 50;

// How late the answer to a watch may be on a site, where versions are due
// within seconds. It is several times the response time of a slow store.
constexpr Millis kSiteWatchGrace = 600;

ObjectStore
MakeStore(const Settings& aSettings,
          const DaemonProtocol& aProtocol,
          const std::atomic<bool>& aIsStopping)
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
  return aProtocol.makeStore(std::move(config));
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
  constexpr Millis kSiteMaxRetryDelay = 1000; // Between failed attempts.
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
  , store(MakeStore(aSettings, aProtocol, this->isStopping))
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
  , aggregator(
      aSettings.domain,
      Clock::Wall(),
      [this](const StoredObject& aObject) { this->WriteStatus(aObject); })
  , acceptedWatch(this->store,
                  MakeVersionWatchConfig(aProtocol),
                  this->WatchHook(false))
  , catalogueWatch(this->store,
                   MakeWatchConfig("catalogue/"),
                   this->WatchHook(true))
  , loop("control", kRingCapacity, kTickInterval, [this] { this->Tick(); })
{
  this->membership.SetServing(false);
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
  this->platform.Stop();
  this->claimPlatform.Stop();
  this->loop.Stop();
}

void
ControlService::HandlePeerEvent(PeerEvent aEvent)
{
  // If the event is dropped here, the next gossip round repeats its content.
  this->loop.Post([this, event = std::move(aEvent)] {
    if (event.kind == PeerEventKind::Datagram) {
      this->HandleDatagram(event);
    } else if (event.kind == PeerEventKind::Message) {
      this->HandleMessage(event);
    }
  });
}

void
ControlService::HandleDatagram(const PeerEvent& aEvent)
{
  if (aEvent.envelope.__isset.relayHeartbeat) {
    this->distributor.HandleRelayHeartbeat(aEvent.envelope.relayHeartbeat);
    return;
  }
  this->membership.HandleDatagram(aEvent.remote, aEvent.envelope);
}

void
ControlService::HandleMessage(const PeerEvent& aEvent)
{
  const wire::Envelope& envelope = aEvent.envelope;
  const std::string& from = aEvent.hello.host;
  if (envelope.__isset.configPush) {
    this->distributor.HandlePush(from, envelope.configPush);
  } else if (envelope.__isset.configFetch) {
    this->distributor.HandleFetch(aEvent.session, from, envelope.configFetch);
  } else if (envelope.__isset.configAnswer) {
    this->distributor.HandleAnswer(from, envelope.configAnswer);
  } else if (envelope.__isset.claimRequest || envelope.__isset.claimAnswer) {
    this->HandleClaimMessage(aEvent);
  } else if (envelope.__isset.statusReport) {
    this->aggregator.Merge(envelope.statusReport);
  } else {
    this->membership.HandleControl(aEvent.session, from, envelope);
  }
}

void
ControlService::HandleClaimMessage(const PeerEvent& aEvent)
{
  if (aEvent.envelope.__isset.claimAnswer) {
    this->claimClient.HandleAnswer(aEvent.envelope.claimAnswer);
    return;
  }
  const SessionId session = aEvent.session;
  this->claimWriter.Handle(aEvent.envelope.claimRequest,
                           [this, session](const wire::ClaimAnswer& aAnswer) {
                             wire::Envelope envelope;
                             envelope.__set_claimAnswer(aAnswer);
                             this->hooks.reply(session, std::move(envelope));
                           });
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
  this->RetryLostStore();
  this->PublishEndpoints();
  this->PublishConfiguration();
}

void
ControlService::SetWatches()
{
  const bool isSettled = !this->HasDocuments() || this->directory.HasSettled();
  const bool isWatcher =
    this->distributor.IsRelay() || this->distributor.IsRelaySubstitute();
  this->acceptedWatch.SetActive((isSettled && isWatcher) ||
                                this->distributor.IsAcceptor());
  this->catalogueWatch.SetActive(this->distributor.IsAcceptor());
}

} // namespace lacewingwharf
