#include "daemon/daemon.h"

#include "common/log.h"

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr Log kLog("daemon");

// Gives peers time to receive the shutdown notice before their calls are
// refused.
constexpr Millis kShutdownNoticeTime = 300;

// Calls that peers still send are refused as not run for at least this long.
// If the sessions closed at once, these calls would be lost. Other failure
// domains are notified by the next summary, which is sent at most once a second
// and then forwarded along a tree.
constexpr Millis kMinRefusalTime = 1500;

// The sessions stay open until no call was refused for this long.
constexpr Millis kQuietTime = 500;
constexpr Millis kMaxRefusalTime = 5000;

constexpr std::chrono::milliseconds kPollInterval(20);

// Several round trips between regions. The calls of a site must not wait
// longer for a connection.
constexpr Millis kSiteConnectTimeout = 300;

// Time for calls that were accepted just before the end of the intake.
constexpr Millis kLastCallsTime = 500;

EndpointState
StateOf(wire::EndpointState::type aState)
{
  switch (aState) {
    case wire::EndpointState::READY:
      return EndpointState::Ready;
    case wire::EndpointState::DRAINING:
      return EndpointState::Draining;
    default:
      return EndpointState::Starting;
  }
}

} // namespace

Daemon::Daemon(const Settings& aSettings, const DaemonProtocol& aProtocol)
  : settings(aSettings)
  , protocol(aProtocol)
  , incarnation(Clock::Wall().Now())
  , network(this->NetworkConfig(),
            { [this](PeerEvent aEvent) {
               this->control.HandlePeerEvent(std::move(aEvent));
             },
              [this](PeerEvent aEvent) {
                this->calls.HandlePeerEvent(std::move(aEvent));
              } })
  , calls(aSettings,
          aProtocol,
          this->incarnation,
          this->metrics,
          this->CallsHooks())
  , control(aSettings,
            aProtocol,
            this->incarnation,
            this->metrics,
            this->ControlHooks())
  , admin(aSettings, this->AdministrationHooks())
{
  if (this->protocol.siteHttpInterface) {
    this->site.emplace(
      aSettings.site, *this->protocol.siteHttpInterface, this->SiteHooks());
  }
}

SiteServiceHooks
Daemon::SiteHooks()
{
  SiteServiceHooks hooks;
  hooks.isReady = [this] { return this->control.IsReady(); };
  hooks.handleServerReport = [this](ServerReport aReport,
                                    std::function<void(ReportDecision)> aDone) {
    this->control.HandleServerReport(std::move(aReport), std::move(aDone));
  };
  return hooks;
}

PeerNetworkConfig
Daemon::NetworkConfig() const
{
  PeerNetworkConfig config;
  config.listen = { this->settings.address, this->settings.peerPort };
  config.self.host = this->settings.host;
  config.self.incarnation = this->incarnation;
  config.self.region = this->settings.region;
  config.self.domain = this->settings.domain;
  if (this->protocol.siteHttpInterface) {
    config.connectTimeout = kSiteConnectTimeout;
  }
  std::ranges::for_each(
    this->settings.forwards, [&config](const PeerForward& aForward) {
      config.forwards[{ aForward.peer.address, aForward.peer.port }] = {
        aForward.forwarder.address, aForward.forwarder.port
      };
    });
  return config;
}

CallsServiceHooks
Daemon::CallsHooks()
{
  CallsServiceHooks hooks;
  hooks.send = [this](const PeerAddress& aTo, wire::Envelope aEnvelope) {
    return this->network.Send(
      aTo, wire::SessionKind::CALLS, std::move(aEnvelope));
  };
  hooks.reply = [this](SessionId aSession, wire::Envelope aEnvelope) {
    return this->network.Reply(aSession, std::move(aEnvelope));
  };
  hooks.claim = [this](std::uint64_t aKeyHash, const std::string& aHolder) {
    return this->control.Claim(aKeyHash, aHolder);
  };
  hooks.settleClaim = [this](std::uint64_t aKeyHash,
                             const std::string& aHolder,
                             Outcome aOutcome) {
    this->control.SettleClaim(aKeyHash, aHolder, aOutcome);
  };
  if (this->protocol.siteHttpInterface) {
    hooks.serverGone = [this](const std::string& aService, int aPort) {
      this->control.WithdrawServer(aService, aPort);
    };
  }
  hooks.report = [this](std::vector<wire::EntryReport> aReports) {
    this->control.Report(std::move(aReports));
  };
  hooks.sendRolloutReport = [this](const std::string& aDecider,
                                   wire::RolloutReport aReport) {
    this->control.SendRolloutReport(aDecider, std::move(aReport));
  };
  return hooks;
}

ControlServiceHooks
Daemon::ControlHooks()
{
  ControlServiceHooks hooks;
  hooks.sendDatagram = [this](const PeerAddress& aTo,
                              wire::Envelope aEnvelope) {
    this->network.SendDatagram(aTo, std::move(aEnvelope));
  };
  hooks.sendControl = [this](const PeerAddress& aTo, wire::Envelope aEnvelope) {
    return this->network.Send(
      aTo, wire::SessionKind::CONTROL, std::move(aEnvelope));
  };
  hooks.reply = [this](SessionId aSession, wire::Envelope aEnvelope) {
    this->network.Reply(aSession, std::move(aEnvelope));
  };
  hooks.onConfiguration = [this](SnapshotPtr aSnapshot, EndpointViewPtr aView) {
    this->calls.SetConfiguration(std::move(aSnapshot), std::move(aView));
  };
  hooks.onVersionConfirmed = [this](std::optional<Millis> aTime) {
    this->calls.SetVersionConfirmed(aTime);
  };
  hooks.onEndpoint = [this](const wire::Endpoint& aEndpoint) {
    this->calls.SetEndpoint(aEndpoint.serviceName,
                            aEndpoint.port,
                            aEndpoint.slots,
                            aEndpoint.connections,
                            StateOf(aEndpoint.state));
  };
  hooks.onEndpointRemoved = [this](const std::string& aService, int aPort) {
    this->calls.RemoveEndpoint(aService, aPort);
  };
  hooks.onServerId = [this](int aPort, const std::string& aId) {
    this->calls.SetServerId(aPort, aId);
  };
  hooks.onClaim = [this](const std::string& aHolder,
                         wire::ClaimResult::type aResult) {
    this->calls.HandleClaim(aHolder, aResult);
  };
  hooks.onRolloutShare = [this](const wire::RolloutShare& aShare) {
    this->calls.HandleRolloutShare(aShare);
  };
  hooks.takeCrashReports = [this] { return this->calls.TakeCrashReports(); };
  hooks.mergeCrashReports =
    [this](std::vector<wire::QuarantineMark> aCrashReports) {
      this->calls.MergeCrashReports(std::move(aCrashReports));
    };
  return hooks;
}

AdminHooks
Daemon::AdministrationHooks()
{
  AdminHooks hooks;
  hooks.announce = [this](const Announcement& aAnnouncement) {
    this->control.Announce(aAnnouncement);
  };
  hooks.state = [this] { return this->State(); };
  hooks.members = [this] { return this->control.Members().dump() + "\n"; };
  hooks.entry = [this](const std::string& aName) -> std::optional<std::string> {
    auto entry = this->control.EntryState(aName);
    if (entry.is_null()) {
      return std::nullopt;
    }
    if (const auto usage = this->calls.UsageOf(aName)) {
      entry["usage"] = { { "rate", usage->rate },
                         { "burst", usage->burst },
                         { "requested", usage->counts.requested },
                         { "granted", usage->counts.granted },
                         { "returned", usage->counts.returned },
                         { "refused", usage->counts.refused },
                         { "accountants", usage->accountants },
                         { "halves", usage->halves },
                         { "left", usage->poolLeft } };
    }
    return entry.dump() + "\n";
  };
  hooks.team = [this](const std::string& aName) -> std::optional<std::string> {
    const auto team = this->calls.TeamState(aName);
    if (team.is_null()) {
      return std::nullopt;
    }
    return team.dump() + "\n";
  };
  hooks.metrics = [this] { return this->Metrics(); };
  return hooks;
}

bool
Daemon::Start()
{
  if (!this->network.Start()) {
    kLog.Error("cannot listen for peer connections on {}:{}",
               this->settings.address,
               this->settings.peerPort);
    return false;
  }
  this->control.Start();
  if (!this->calls.Start() || !this->admin.Start()) {
    return false;
  }
  if (this->site && !this->site->Start()) {
    return false;
  }
  kLog.Decision("start",
                "host={} domain={} region={} incarnation={} admin_port={}",
                this->settings.host,
                this->settings.domain,
                this->settings.region,
                this->incarnation,
                this->settings.adminPort);
  return true;
}

void
Daemon::Stop()
{
  // Taken first: leaving the fleet may take long on a slow host.
  const StopSchedule schedule =
    MakeStopSchedule(Clock::Steady().Now(), this->protocol.bounds.stopTimeout);
  // Before the leaving, which publishes a view without this host.
  this->calls.BeginStop();
  kLog.Decision("stop", "in_flight={}", this->calls.InFlight());
  this->control.Leave();
  if (this->site) {
    this->StopOnSite(schedule);
  } else {
    this->StopWithOwnProtocol();
  }
  this->admin.Stop();
  this->calls.Stop();
  this->control.Stop();
  this->network.Stop();
  kLog.Decision("stopped", "in_flight=0");
}

void
Daemon::StopWithOwnProtocol()
{
  std::this_thread::sleep_for(std::chrono::milliseconds(kShutdownNoticeTime));
  this->calls.StopAccepting();
  this->RefuseLateCalls();
  this->WaitForCalls(this->settings.stopLimit);
}

/**
 * The platform sends callers to this daemon until two readiness checks in a row
 * have failed, so the daemon serves them until then.
 */
void
Daemon::StopOnSite(const StopSchedule& aSchedule)
{
  const Clock clock = Clock::Steady();
  const auto sleepUntil = [&clock](Millis aTime) {
    std::this_thread::sleep_for(std::chrono::milliseconds(aTime - clock.Now()));
  };
  this->site->SetLeaving();
  this->calls.AnnounceClose();
  this->calls.EndCallsBy(aSchedule.callsEnd);
  sleepUntil(std::min(clock.Now() + kShutdownNoticeTime, aSchedule.intakeEnd));
  this->calls.StopPeerIntake();
  sleepUntil(aSchedule.intakeEnd);
  // The backend server on this host may still make short calls for the requests
  // that it runs. Calls that could not end in time are refused.
  this->calls.LimitIntake(aSchedule.callsEnd);
  this->control.CancelStoreCalls();
  while (this->calls.InFlight() > 0 &&
         clock.Now() < aSchedule.end - kLastCallsTime) {
    std::this_thread::sleep_for(kPollInterval);
  }
  this->calls.StopAccepting();
  this->WaitForCalls(aSchedule.end - clock.Now());
  this->site->Stop();
}

void
Daemon::RefuseLateCalls()
{
  std::this_thread::sleep_for(std::chrono::milliseconds(kMinRefusalTime));
  const Clock clock = Clock::Steady();
  const Millis limit = clock.Now() + kMaxRefusalTime - kMinRefusalTime;
  while (this->calls.TimeSinceRefusal().value_or(kQuietTime) < kQuietTime &&
         clock.Now() < limit) {
    std::this_thread::sleep_for(kPollInterval);
  }
}

void
Daemon::WaitForCalls(Millis aLimit)
{
  const Clock clock = Clock::Steady();
  const Millis limit = clock.Now() + aLimit;
  std::size_t inFlight = this->calls.InFlight();
  while (inFlight > 0 && clock.Now() < limit) {
    std::this_thread::sleep_for(kPollInterval);
    inFlight = this->calls.InFlight();
  }
  if (inFlight > 0) {
    kLog.Warning("{} calls are still in flight after the stop limit of {} ms; "
                 "their outcome is unknown",
                 inFlight,
                 aLimit);
  }
}

std::string
Daemon::State()
{
  auto state = this->control.State();
  state["inFlight"] = this->calls.InFlight();
  return state.dump() + "\n";
}

std::string
Daemon::Metrics()
{
  const PeerCounters counters = this->network.Counters();
  const auto set = [this](const char* aName, const char* aHelp, double aValue) {
    this->metrics.Gauge(aName, aHelp)->Set(aValue);
  };
  set("lacewingwharf_control_bytes_sent",
      "Bytes sent on control sessions and in datagrams",
      static_cast<double>(counters.controlBytesSent));
  set("lacewingwharf_control_bytes_received",
      "Bytes received on control sessions and in datagrams",
      static_cast<double>(counters.controlBytesReceived));
  set("lacewingwharf_call_bytes_sent",
      "Bytes sent on call sessions",
      static_cast<double>(counters.callBytesSent));
  set("lacewingwharf_call_bytes_received",
      "Bytes received on call sessions",
      static_cast<double>(counters.callBytesReceived));
  set("lacewingwharf_sessions_open",
      "Open sessions with other daemons",
      static_cast<double>(counters.sessionsOpen));
  set("lacewingwharf_sessions_lost",
      "Sessions with other daemons that were lost",
      static_cast<double>(counters.sessionsLost));
  set("lacewingwharf_frames_rejected",
      "Malformed or oversized frames and datagrams from peers",
      static_cast<double>(counters.framesRejected));
  set("lacewingwharf_sends_rejected",
      "Messages to peers that were not sent because a queue was full",
      static_cast<double>(counters.sendsRejected));
  set("lacewingwharf_calls_in_flight",
      "Calls that entered or run here and have not ended",
      static_cast<double>(this->calls.InFlight()));
  set("lacewingwharf_answers_lost",
      "Requests whose connection was closed before their whole answer was sent",
      static_cast<double>(this->calls.AnswersLost()));
  const PipelineCounts pipelining = this->calls.Pipelining();
  set("lacewingwharf_pipeline_requests",
      "Requests that were read before the one before them was answered",
      static_cast<double>(pipelining.requestsReadAhead));
  set("lacewingwharf_pipeline_answers_waited",
      "Answers that waited for earlier ones of their connection",
      static_cast<double>(pipelining.answersWaited));
  set("lacewingwharf_pipeline_wait_ms",
      "Time that answers waited for earlier ones, in milliseconds",
      static_cast<double>(pipelining.millisWaited));
  set("lacewingwharf_pipeline_bytes",
      "Bytes held of requests behind the first of their connections",
      static_cast<double>(pipelining.heldBytes));
  set("lacewingwharf_calls_overflows",
      "Items that the calls thread's ring rejected",
      static_cast<double>(this->calls.Overflows()));
  this->calls.SetMemoryMetrics();
  return this->metrics.Text();
}

} // namespace lacewingwharf
