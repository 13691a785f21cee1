// The part of ControlService for sites whose platform defines the protocol.

#include "common/log.h"
#include "daemon/controlservice.h"

#include <algorithm>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr Log kLog("control");

} // namespace

MemberDirectoryHooks
ControlService::DirectoryHooks()
{
  MemberDirectoryHooks hooks;
  hooks.submit = [this](PlatformJob aJob) {
    return this->platform.Submit(std::move(aJob));
  };
  hooks.onRestored = [this](const DirectoryEntry& aOwn) {
    this->localServer.Restore(aOwn.server, aOwn.leaving);
    if (const auto& leaving = this->localServer.Leaving()) {
      this->directory.StoreLeaving(*leaving); // It may have a start time now.
    }
    this->PublishServer();
  };
  hooks.onMembers = [this](const std::vector<DirectoryEntry>& aOthers) {
    std::ranges::for_each(aOthers, [this](const DirectoryEntry& aOther) {
      this->membership.AddStoredMember(RecordOf(aOther));
    });
  };
  hooks.onLeavingStored = [this](const LeavingServer& aLeaving) {
    this->leavingReports.HandleStored(aLeaving);
  };
  return hooks;
}

void
ControlService::HandleServerReport(ServerReport aReport,
                                   std::function<void(ReportDecision)> aDone)
{
  if (!this->rollouts) {
    aReport.version.clear(); // Versions of servers are ignored.
  }
  this->loop.Post([this, report = std::move(aReport), done = std::move(aDone)] {
    // A leaving that the store has lost must not be acknowledged as stored.
    this->HandleStoreRise();
    const auto leaving = this->localServer.Leaving();
    const ReportDecision decision = this->localServer.HandleReport(report);
    const bool isNoteworthy = decision != ReportDecision::Taken ||
                              leaving != this->localServer.Leaving();
    if (isNoteworthy || report.kind == ServerReportKind::Leaving) {
      kLog.Decision("server-report",
                    "server={} kind={} state={} sequence={} started={} "
                    "verdict={}",
                    report.id,
                    report.kind == ServerReportKind::Leaving ? "leaving"
                                                             : "heartbeat",
                    wire::to_string(report.state),
                    report.sequence,
                    report.startedAt.value_or(0),
                    kReportDecisionNames.NameOf(decision));
    }
    if (decision != ReportDecision::Taken) {
      done(decision);
      return;
    }
    this->PublishServer();
    const auto& current = this->localServer.Leaving();
    if (current && current->id == report.id) {
      this->leavingReports.Handle(*current, done);
    } else {
      done(decision);
    }
  });
}

void
ControlService::PublishServer()
{
  const auto& current = this->localServer.CurrentAnnouncement();
  if (!current) {
    return;
  }
  // A late heartbeat may come from a server that reported to the previous
  // process of this daemon that it is leaving. The announcement waits until the
  // stored entry is read, at most startWait. If the store does not answer by
  // then, the next heartbeat of the server reports again that it is leaving.
  const Millis age = this->clock.Now() - this->startedAt;
  this->isServerPending =
    !this->directory.HasRead() && age < this->settings.startWait;
  if (this->isServerPending) {
    return;
  }
  this->hooks.onServerId(current->port, this->localServer.Id());
  if (const auto process = this->localServer.CurrentProcess()) {
    this->directory.StoreServer(*process);
  }
  this->membership.Announce(*current);
  this->membership.PublishChanges(); // At once, before the acknowledgement.
  this->PublishEndpoints();
  this->PublishConfiguration();
}

void
ControlService::WithdrawServer(const std::string& aService, int aPort)
{
  this->loop.Post([this, aService, aPort] {
    this->membership.Withdraw(aService, aPort);
    this->membership.PublishChanges();
    this->PublishEndpoints();
    this->PublishConfiguration();
  });
}

PlatformResult<std::optional<CatalogueDocument>>
ControlService::ReadDocument(const ObjectStore& aStore) const
{
  const DocumentSource& source = *this->protocol.documents;
  const auto object = aStore.get(source.object);
  if (!object && object.error().code == PlatformErrorCode::NotFound) {
    return std::optional<CatalogueDocument>();
  }
  if (!object) {
    return failure(object.error());
  }
  auto document = source.read(object.value().value);
  if (!document) {
    return failure(PlatformError{ PlatformErrorCode::Malformed,
                                  document.assume_error().detail });
  }
  return std::optional(std::move(document).assume_value());
}

/** Leaves the watch of the store to another daemon for a while. */
void
ControlService::HandleStoreFailure()
{
  const Millis answeredAt = this->acceptedWatch.LastAnswerTime();
  const bool wasRefused = this->storeAccess.IsRefused();
  this->storeAccess.RecordFailure(this->distributor.IsRelay());
  this->distributor.HandleStoreFailure();
  if (!wasRefused && this->storeAccess.IsRefused()) {
    kLog.Decision("store-lost",
                  "version={} answered_ms_ago={}",
                  this->distributor.HeldSnapshot()->Version(),
                  answeredAt == 0 ? -1 : this->clock.Now() - answeredAt);
    this->membership.SetStoreLost(true);
    this->membership.PublishChanges();
  }
}

/** An answer disproves an earlier failure, also one that has no changes. */
void
ControlService::HandleStoreAnswer()
{
  this->storeAccess.RecordAnswer();
  this->UpdateStoreAccess();
}

/** Takes back the report of a failure when it has expired or been disproved. */
void
ControlService::UpdateStoreAccess()
{
  if (this->membership.Self().isStoreLost && !this->storeAccess.IsRefused()) {
    kLog.Decision("store-tried-again",
                  "version={}",
                  this->distributor.HeldSnapshot()->Version());
    this->membership.SetStoreLost(false);
  }
}

void
ControlService::HandleDocumentChange(const PlatformResult<ObjectList>& aResult)
{
  if (!aResult) { // The watch logs the error and retries.
    const PlatformErrorCode code = aResult.assume_error().code;
    if (code != PlatformErrorCode::Compacted &&
        code != PlatformErrorCode::Stale) {
      this->HandleStoreFailure();
    }
    return;
  }
  const DocumentSource& source = *this->protocol.documents;
  for (const StoredObject& object : aResult.assume_value().objects) {
    if (object.name != source.object || object.isDeleted) {
      continue;
    }
    auto document = source.read(object.value);
    if (!document) {
      kLog.Error("refused document {}, revision {}: {} {}",
                 object.name,
                 object.revision,
                 document.assume_error().entry,
                 document.assume_error().detail);
      continue;
    }
    this->distributor.HandleDocument(std::move(document).assume_value());
  }
}

RolloutServiceHooks
ControlService::RolloutHooks()
{
  RolloutServiceHooks rollout;
  rollout.post = [this](Completion aTask) {
    this->loop.Post(std::move(aTask));
  };
  rollout.submit = [this](PlatformJob aJob) {
    return this->platform.Submit(std::move(aJob));
  };
  rollout.sendDatagram = [this](const std::string& aHost,
                                wire::Envelope aEnvelope) {
    if (const auto address = this->membership.AddressOf(aHost)) {
      this->hooks.sendDatagram(*address, std::move(aEnvelope));
    }
  };
  rollout.view = [this] { return this->membership.View(); };
  rollout.canDecide = [this](const std::string& aHost,
                             std::int64_t aIncarnation) {
    const wire::MemberRecord* const record =
      this->membership.Table().Find(aHost);
    return record != nullptr && record->incarnation == aIncarnation &&
           record->state == wire::MemberState::ALIVE && !record->isStoreLost;
  };
  rollout.isWatchWorking = [this] { return this->acceptedWatch.IsWorking(); };
  rollout.onShare = this->hooks.onRolloutShare;
  return rollout;
}

void
ControlService::HandleRolloutMessage(const wire::Envelope& aEnvelope)
{
  if (!this->rollouts) {
    return;
  }
  if (aEnvelope.__isset.rolloutReport) {
    this->rollouts->HandleReport(aEnvelope.rolloutReport);
  } else {
    this->rollouts->HandleShare(aEnvelope.rolloutShare);
  }
}

void
ControlService::SendRolloutReport(const std::string& aDecider,
                                  wire::RolloutReport aReport)
{
  this->loop.Post([this, aDecider, report = std::move(aReport)] {
    if (this->rollouts) {
      this->rollouts->SendReport(aDecider, report);
    }
  });
}

} // namespace lacewingwharf
