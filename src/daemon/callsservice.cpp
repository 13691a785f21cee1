#include "daemon/callsservice.h"

#include "common/log.h"
#include "common/random.h"
#include "daemon/callerlimits.h"
#include "daemon/callsserviceconfig.h"
#include "daemon/rolloutservice.h"

#include <algorithm>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr Log kLog("calls");
constexpr std::size_t kRingCapacity = 16384;
constexpr Millis kTickInterval = 10;
constexpr Millis kCrashReportInterval = 200;
constexpr std::size_t kMaxCrashReportsPerMessage = 8;
constexpr std::size_t kMaxAnswerBytes = 7U << 20U; // Fits a peer frame.

/** Returns the ids of a lost session's calls that certainly did not run. */
std::vector<std::string>
NotRunCallIds(const PeerEvent& aEvent)
{
  std::vector<std::string> ids = aEvent.requestsNotRun;
  std::ranges::for_each(aEvent.unsent, [&ids](const wire::Envelope& aMessage) {
    if (aMessage.__isset.callRequest) {
      ids.push_back(aMessage.callRequest.callId);
    } else if (aMessage.__isset.bodyPart) {
      ids.push_back(aMessage.bodyPart.callId);
    }
  });
  return ids;
}

} // namespace

CallsService::CallsService(const Settings& aSettings,
                           const DaemonProtocol& aProtocol,
                           std::int64_t aIncarnation,
                           MetricsRegistry& aMetrics,
                           CallsServiceHooks aHooks)
  : settings(aSettings)
  , protocol(aProtocol)
  , hooks(std::move(aHooks))
  , clock(Clock::Steady())
  , metrics(aMetrics)
  , quarantine(MakeQuarantineConfig(aSettings), this->clock)
  , stats(Clock::Wall())
  , server(CallServerConfig(aSettings, aProtocol.dialect),
           { [this](RequestId aRequest, HttpRequest aData) {
              this->BeginCall(aRequest, std::move(aData));
            },
             [this](RequestId aRequest) {
               this->loop.Post(
                 [this, aRequest] { this->entryCalls.CallerLeft(aRequest); });
             },
             [this](const HttpRequest& aData) {
               return this->MayRunBeside(aData);
             } })
  , client(
      [this](ExchangeResult aResult) {
        this->loop.Post([this, result = std::move(aResult)]() mutable {
          this->destinationCalls.HandleExchange(std::move(result));
        });
      },
      kMaxAnswerBytes)
  , usage(UsageConfig(aSettings, aProtocol, aIncarnation),
          Clock::SinceBoot(),
          this->UsageHooks())
  , usageMetrics(aMetrics)
  , teamSlots(aMetrics)
  , entryCalls(EntryConfig(aSettings, aProtocol, aIncarnation),
               this->clock,
               SystemRandom(),
               this->EntryHooks())
  , destinationCalls(DestinationConfig(aSettings, aProtocol, aIncarnation),
                     this->clock,
                     this->DestinationHooks())
  , loop("calls",
         kRingCapacity,
         kTickInterval,
         [this] { this->Tick(); },
         { [this] { this->client.RunOnce(); },
           [this](Millis aLimit) { this->client.Wait(aLimit); },
           [this] { this->client.Wake(); } })
{
  if (RolloutService::IsEnabled(aSettings)) {
    this->rollouts.emplace(
      aSettings.host, aIncarnation, this->clock, this->hooks.sendRolloutReport);
    this->entryCalls.SetRollouts(&*this->rollouts);
  }
}

CallsService::~CallsService()
{
  this->Stop();
}

bool
CallsService::Start()
{
  this->loop.Start();
  this->isStarted = true;
  if (this->server.Start()) {
    return true;
  }
  kLog.Error("cannot listen for caller connections on {}:{}",
             this->settings.address,
             this->settings.callPort);
  return false;
}

void
CallsService::BeginStop()
{
  this->loop.Post([this] { this->entryCalls.BeginStop(); });
}

void
CallsService::AnnounceClose()
{
  this->server.AnnounceClose();
}

void
CallsService::LimitIntake(Millis aEnd)
{
  this->loop.Post([this, aEnd] { this->entryCalls.SetIntakeEnd(aEnd); });
}

void
CallsService::EndCallsBy(Millis aEnd)
{
  this->loop.Post([this, aEnd] { this->entryCalls.SetCallsEnd(aEnd); });
}

void
CallsService::StopPeerIntake()
{
  this->loop.Post([this] { this->destinationCalls.StopAccepting(); });
}

void
CallsService::StopAccepting()
{
  this->server.StopAccepting();
  this->loop.Post([this] {
    this->entryCalls.StopAccepting();
    this->destinationCalls.StopAccepting();
  });
}

void
CallsService::Stop()
{
  this->server.Stop();
  if (std::exchange(this->isStarted, false)) {
    // Runs on the loop's thread, so that cancelled exchanges still get answers.
    this->loop.Run([this] { this->client.Stop(); });
  }
  this->loop.Stop();
}

void
CallsService::BeginCall(RequestId aRequest, HttpRequest aRequestData)
{
  const bool isPosted =
    this->loop.Post([this, aRequest, data = std::move(aRequestData)]() mutable {
      this->entryCalls.Begin(aRequest, std::move(data));
    });
  if (isPosted) {
    return;
  }
  kLog.Warning("request {} not run: the task queue of the calls thread is full",
               aRequest);
  Ending ending;
  ending.outcome = Outcome::NotRun;
  ending.status = StatusOf(RefusalReason::Overload);
  ending.reason = kRefusalReasonNames.NameOf(RefusalReason::Overload);
  this->server.Answer(aRequest, MakeAnswer(ending, this->protocol.dialect));
}

void
CallsService::HandlePeerEvent(PeerEvent aEvent)
{
  this->loop.Post([this, event = std::move(aEvent)]() mutable {
    if (event.kind == PeerEventKind::SessionLost) {
      this->entryCalls.HandleSessionLost(
        event.remote, event.wasConnected, NotRunCallIds(event));
      return;
    }
    this->HandleMessage(event.session, std::move(event.envelope));
  });
}

void
CallsService::HandleMessage(SessionId aSession, wire::Envelope aEnvelope)
{
  if (aEnvelope.__isset.callRequest) {
    this->destinationCalls.HandleRequest(aSession,
                                         std::move(aEnvelope.callRequest));
  } else if (aEnvelope.__isset.callAnswer) {
    this->entryCalls.HandleAnswer(std::move(aEnvelope.callAnswer));
  } else if (aEnvelope.__isset.callCancel) {
    this->destinationCalls.HandleCancel(aEnvelope.callCancel.callId);
  } else if (aEnvelope.__isset.bodyGrant) {
    this->entryCalls.HandleGrant(aEnvelope.bodyGrant);
  } else if (aEnvelope.__isset.bodyPart) {
    this->destinationCalls.HandleBodyPart(aEnvelope.bodyPart);
  } else if (aEnvelope.__isset.callQuery) {
    this->destinationCalls.HandleQuery(aSession, aEnvelope.callQuery);
  } else if (aEnvelope.__isset.usageRequest) {
    this->HandleUsageRequest(aSession, aEnvelope.usageRequest);
  } else if (aEnvelope.__isset.usageGrant) {
    this->usage.HandleGrant(aEnvelope.usageGrant);
  } else {
    kLog.Warning(
      "session {} sent a message that the calls thread does not handle",
      aSession);
  }
}

void
CallsService::AnswerOrigin(SessionId aOrigin, wire::CallAnswer aAnswer)
{
  wire::Envelope envelope;
  // Assigns the field directly, because the generated setter copies the body.
  envelope.callAnswer = std::move(aAnswer);
  envelope.__isset.callAnswer = true;
  if (aOrigin != 0) {
    this->hooks.reply(aOrigin, std::move(envelope));
    return;
  }
  this->loop.Post([this, envelope = std::move(envelope)]() mutable {
    this->HandleMessage(0, std::move(envelope));
  });
}

void
CallsService::SetConfiguration(SnapshotPtr aSnapshot, EndpointViewPtr aView)
{
  {
    const std::lock_guard lock(this->routesMutex);
    this->routes = aSnapshot;
  }
  this->loop.Post(
    [this, snapshot = std::move(aSnapshot), view = std::move(aView)] {
      if (snapshot) { // Null until a version is in force.
        this->SetCallerLimits(*snapshot);
        this->teamStats.KeepTeams(*snapshot);
        this->teamSlots.KeepTeams(*snapshot);
      }
      this->snapshot = snapshot;
      this->SetRetryBudget(*view);
      this->usage.SetView(view);
      this->usage.SetSnapshot(snapshot);
      if (this->rollouts) {
        this->rollouts->SetView(*view);
      }
      this->entryCalls.SetSnapshot(snapshot);
      this->entryCalls.SetView(view);
      this->destinationCalls.SetConfiguration(snapshot, view);
    });
}

void
CallsService::SetVersionConfirmed(std::optional<Millis> aTime)
{
  this->loop.Post(
    [this, aTime] { this->entryCalls.SetVersionConfirmed(aTime); });
}

void
CallsService::HandleRolloutShare(const wire::RolloutShare& aShare)
{
  this->loop.Post([this, aShare] {
    if (this->rollouts) {
      this->rollouts->HandleShare(aShare);
    }
  });
}

void
CallsService::SetEndpoint(const std::string& aService,
                          int aPort,
                          int aSlots,
                          int aConnections,
                          EndpointState aState)
{
  this->loop.Post([=, this] {
    this->destinationCalls.GetAdmission().SetEndpoint(
      aService, aPort, aSlots, aConnections, aState);
  });
}

void
CallsService::RemoveEndpoint(const std::string& aService, int aPort)
{
  this->loop.Post([=, this] {
    this->destinationCalls.GetAdmission().RemoveEndpoint(aService, aPort);
  });
}

void
CallsService::SetServerId(int aPort, const std::string& aId)
{
  this->loop.Post(
    [=, this] { this->destinationCalls.SetServerId(aPort, aId); });
}

void
CallsService::SetCallerLimits(const Snapshot& aSnapshot)
{
  const ListenerLimits limits = aSnapshot.CallerLimits();
  if (limits == this->listenerLimits) {
    return;
  }
  this->listenerLimits = limits;
  this->server.SetLimits(CallerLimits(OwnCallerLimits(this->settings), limits));
  kLog.Decision("caller-limits",
                "version={} head_bytes={} body_bytes={} head_ms={} idle_ms={}",
                aSnapshot.Version(),
                limits.headBytes,
                limits.bodyBytes,
                limits.headTime,
                limits.idleTime);
}

/**
 * Gives this daemon its share of the site's retry budget. The servers are
 * counted, because each of them has one daemon.
 */
void
CallsService::SetRetryBudget(const EndpointView& aView)
{
  if (this->settings.site.protocol == ProtocolKind::Own) {
    return;
  }
  std::size_t servers = 0;
  for (const auto& [service, view] : aView.services) {
    servers += view.endpoints.size();
  }
  this->entryCalls.SetRetryBudget(
    SiteRetryBudget(this->protocol.bounds, servers));
}

void
CallsService::HandleClaim(const std::string& aHolder,
                          wire::ClaimResult::type aResult)
{
  this->loop.Post(
    [=, this] { this->entryCalls.HandleClaim(aHolder, aResult); });
}

void
CallsService::MergeCrashReports(std::vector<wire::QuarantineMark> aCrashReports)
{
  if (aCrashReports.empty()) {
    return;
  }
  this->loop.Post([this, incoming = std::move(aCrashReports)] {
    this->quarantine.Merge(incoming);
  });
}

std::vector<wire::QuarantineMark>
CallsService::TakeCrashReports()
{
  const std::lock_guard lock(this->crashReportsMutex);
  return std::exchange(this->crashReports, {});
}

QuarantineDecision
CallsService::CheckQuarantine(std::uint64_t aDigest)
{
  return this->quarantine.Check(static_cast<std::int64_t>(aDigest));
}

std::size_t
CallsService::InFlight()
{
  std::size_t count = 0;
  this->loop.Run([this, &count] {
    count = this->entryCalls.InFlight() + this->destinationCalls.InFlight();
  });
  return count + this->server.InFlight();
}

std::optional<Millis>
CallsService::TimeSinceRefusal()
{
  std::optional<Millis> since;
  this->loop.Run([this, &since] {
    if (const Millis at = this->destinationCalls.RefusedAt(); at > 0) {
      since = this->clock.Now() - at;
    }
  });
  return since;
}

void
CallsService::Tick()
{
  this->usage.Tick();
  this->entryCalls.Tick();
  this->destinationCalls.Tick();
  this->SendReports();
  if (this->rollouts) {
    this->rollouts->Tick();
  }
  if (this->clock.Now() < this->crashReportsDueAt) {
    return;
  }
  this->crashReportsDueAt = this->clock.Now() + kCrashReportInterval;
  const std::lock_guard lock(this->crashReportsMutex);
  if (this->crashReports.empty()) {
    this->crashReports =
      this->quarantine.TakeCrashReports(kMaxCrashReportsPerMessage);
  }
}

} // namespace lacewingwharf
