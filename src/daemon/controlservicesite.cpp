// The part of ControlService for sites whose platform sets the protocol.

#include "common/log.h"
#include "daemon/controlservice.h"

#include <algorithm>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr Log kLog("control");

// A server believes its report lost after a second, so an acknowledgement that
// waits for the store comes by then even if the store does not answer.
constexpr Millis kLongestReportWait = 600;

// How long a daemon that the store turned away leaves the watch to others. A
// store that is down turns away one after the other, and each tells all.
constexpr Millis kStoreLostTime = 8000;

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
    this->PublishServer();
  };
  hooks.onMembers = [this](const std::vector<DirectoryEntry>& aOthers) {
    std::ranges::for_each(aOthers, [this](const DirectoryEntry& aOther) {
      this->membership.AddStoredMember(RecordOf(aOther));
    });
  };
  return hooks;
}

void
ControlService::TakeReport(ServerReport aReport,
                           std::function<void(ReportDecision)> aDone)
{
  this->loop.Post([this, report = std::move(aReport), done = std::move(aDone)] {
    const auto leaving = this->localServer.Leaving();
    const ReportDecision verdict = this->localServer.HandleReport(report);
    const bool isNews = verdict != ReportDecision::Taken ||
                        leaving != this->localServer.Leaving();
    if (isNews || report.kind == ServerReportKind::Leaving) {
      kLog.Decision("server-report",
                    "server={} kind={} state={} sequence={} started={} "
                    "verdict={}",
                    report.id,
                    report.kind == ServerReportKind::Leaving ? "leaving"
                                                             : "heartbeat",
                    wire::to_string(report.state),
                    report.sequence,
                    report.startedAt.value_or(0),
                    kReportDecisionNames.NameOf(verdict));
    }
    if (verdict != ReportDecision::Taken) {
      done(verdict);
      return;
    }
    this->PublishServer();
    if (leaving == this->localServer.Leaving()) {
      done(verdict);
      return;
    }
    const std::uint64_t number = ++this->lastReport;
    this->pendingReports[number] = { done,
                                     this->clock.Now() + kLongestReportWait };
    this->directory.StoreLeaving(
      *this->localServer.Leaving(), [this, number](bool aIsStored) {
        if (!aIsStored) {
          kLog.Warning("that the server leaves could not be stored");
        }
        this->EndReport(number);
      });
  });
}

void
ControlService::EndReport(std::uint64_t aNumber)
{
  const auto pending = this->pendingReports.extract(aNumber);
  if (!pending.empty()) {
    pending.mapped().done(ReportDecision::Taken);
  }
}

void
ControlService::TickReports()
{
  const Millis now = this->clock.Now();
  std::vector<std::uint64_t> due;
  std::ranges::for_each(this->pendingReports, [&due, now](const auto& aPair) {
    if (now >= aPair.second.dueAt) {
      due.push_back(aPair.first);
    }
  });
  std::ranges::for_each(due, [this](std::uint64_t aNumber) {
    kLog.Warning("a report is acknowledged before the store has it");
    this->EndReport(aNumber);
  });
}

void
ControlService::PublishServer()
{
  const auto& current = this->localServer.CurrentAnnouncement();
  if (!current) {
    return;
  }
  // A late heartbeat may come from a server that told the process before this
  // one that it leaves. Without the store, its next heartbeat says so again.
  const Millis age = this->clock.Now() - this->startedAt;
  this->isServerPending =
    !this->directory.HasRead() && age < this->settings.startWait;
  if (this->isServerPending) {
    return;
  }
  this->hooks.onServerId(current->port, this->localServer.Id());
  if (const auto known = this->localServer.CurrentProcess()) {
    this->directory.StoreServer(*known);
  }
  this->membership.Announce(*current);
  this->membership.PublishChanges(); // Before the report is acknowledged.
  this->PublishEndpoints();
  this->PublishConfiguration();
}

void
ControlService::ServerGone(const std::string& aService, int aPort)
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

/** Another daemon watches the store until this one may try again. */
void
ControlService::StoreFailed()
{
  const Millis answeredAt = this->acceptedWatch.LastAnswerTime();
  if (!this->storeLostUntil) {
    kLog.Decision("store-lost",
                  "version={} answered_ms_ago={} retry_after_ms={}",
                  this->distributor.HeldSnapshot()->Version(),
                  answeredAt == 0 ? -1 : this->clock.Now() - answeredAt,
                  kStoreLostTime);
  }
  this->storeLostUntil = this->clock.Now() + kStoreLostTime;
  this->membership.SetStoreLost(true);
  this->membership.PublishChanges();
}

void
ControlService::TickStoreLost()
{
  if (this->storeLostUntil && this->clock.Now() >= *this->storeLostUntil) {
    kLog.Decision("store-tried-again",
                  "version={}",
                  this->distributor.HeldSnapshot()->Version());
    this->storeLostUntil.reset();
    this->membership.SetStoreLost(false);
  }
}

void
ControlService::DocumentsChanged(const PlatformResult<ObjectList>& aResult)
{
  if (!aResult) { // The watch has logged it and tries again.
    if (aResult.assume_error().code != PlatformErrorCode::Compacted) {
      this->StoreFailed();
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
      kLog.Error("document {} of revision {} refused: {}",
                 object.name,
                 object.revision,
                 document.assume_error().detail);
      continue;
    }
    this->distributor.HandleDocument(std::move(document).assume_value());
  }
}

} // namespace lacewingwharf
