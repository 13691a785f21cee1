#include "membership/localserver.h"

#include "common/log.h"

#include <utility>

namespace lacewingwharf {

namespace {

constexpr Log kLog("membership");

// The slots bound the connections of a daemon that is the server's only caller.
constexpr int kNoConnectionLimit = 100000;

} // namespace

LocalServer::LocalServer(std::string aService, SocketAddress aAddress)
  : service(std::move(aService))
  , address(std::move(aAddress))
{
}

ReportVerdict
LocalServer::Take(const ServerReport& aReport)
{
  const bool isHeartbeat = aReport.kind == ServerReportKind::Heartbeat;
  if (isHeartbeat && (aReport.service != this->service ||
                      aReport.address.port != this->address.port ||
                      aReport.address.address != this->address.address)) {
    return ReportVerdict::Foreign;
  }
  if (this->IsOld(aReport)) {
    return ReportVerdict::Old;
  }
  if (!isHeartbeat) {
    this->leaving =
      LeavingServer{ aReport.id, aReport.startedAt.value_or(this->startedAt) };
    if (this->current && aReport.id == this->id) {
      this->current->state = wire::EndpointState::DRAINING;
    }
    return ReportVerdict::Taken;
  }
  this->id = aReport.id;
  this->startedAt = aReport.startedAt.value_or(this->startedAt);
  this->sequence = aReport.sequence;
  if (aReport.state == wire::EndpointState::DRAINING) {
    this->leaving = LeavingServer{ this->id, this->startedAt };
  }
  const auto state = this->IsLeaving(aReport) ? wire::EndpointState::DRAINING
                                              : aReport.state;
  this->current = Announcement{ this->service,
                                this->address.port,
                                aReport.slots,
                                kNoConnectionLimit,
                                state };
  return ReportVerdict::Taken;
}

bool
LocalServer::IsOld(const ServerReport& aReport) const
{
  if (this->id.empty()) {
    return false;
  }
  const std::int64_t started = aReport.startedAt.value_or(this->startedAt);
  if (started != this->startedAt) {
    return started < this->startedAt;
  }
  // A process keeps its id, so another id without a later start is older.
  const bool isKnownId = aReport.id == this->id;
  if (!isKnownId) {
    return aReport.startedAt.has_value() ||
           aReport.kind == ServerReportKind::Leaving;
  }
  return aReport.kind == ServerReportKind::Heartbeat &&
         aReport.sequence <= this->sequence;
}

bool
LocalServer::IsLeaving(const ServerReport& aReport) const
{
  return this->leaving && this->leaving->id == aReport.id &&
         aReport.startedAt.value_or(0) <= this->leaving->startedAt;
}

void
LocalServer::Recall(const LeavingServer& aLeaving)
{
  if (this->leaving) {
    return;
  }
  kLog.Decision("leaving-server-recalled",
                "server={} started={}",
                aLeaving.id,
                aLeaving.startedAt);
  this->leaving = aLeaving;
  const bool isCurrent =
    this->id == aLeaving.id && this->startedAt <= aLeaving.startedAt;
  if (this->current && isCurrent) {
    this->current->state = wire::EndpointState::DRAINING;
  }
}

} // namespace lacewingwharf
