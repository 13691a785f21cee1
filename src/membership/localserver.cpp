#include "membership/localserver.h"

#include "common/log.h"

#include <utility>

namespace lacewingwharf {

namespace {

constexpr Log kLog("membership");

// The daemon is the only caller of the server, so the slots already limit its
// connections.
constexpr int kNoConnectionLimit = 100000;

} // namespace

LocalServer::LocalServer(std::string aService, SocketAddress aAddress)
  : service(std::move(aService))
  , address(std::move(aAddress))
{
}

ReportDecision
LocalServer::HandleReport(const ServerReport& aReport)
{
  const bool isHeartbeat = aReport.kind == ServerReportKind::Heartbeat;
  if (isHeartbeat && (aReport.service != this->service ||
                      aReport.address.port != this->address.port ||
                      aReport.address.address != this->address.address)) {
    return ReportDecision::Foreign;
  }
  if (this->IsOld(aReport)) {
    return ReportDecision::Old;
  }
  if (!isHeartbeat) {
    this->leaving =
      LeavingServer{ aReport.id, aReport.startedAt.value_or(this->startedAt) };
    if (this->current && aReport.id == this->id) {
      this->current->state = wire::EndpointState::DRAINING;
    }
    return ReportDecision::Taken;
  }
  this->id = aReport.id;
  this->startedAt = aReport.startedAt.value_or(this->startedAt);
  this->sequence = aReport.sequence;
  if (aReport.state == wire::EndpointState::DRAINING) {
    this->leaving = LeavingServer{ this->id, this->startedAt };
  }
  const auto state = this->IsLeaving(aReport.id, aReport.startedAt.value_or(0))
                       ? wire::EndpointState::DRAINING
                       : aReport.state;
  this->current = Announcement{ this->service, this->address.port,
                                aReport.slots, kNoConnectionLimit,
                                state,         aReport.version };
  return ReportDecision::Taken;
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
  // The id of a process never changes, so a report with a different id and the
  // same start time comes from an earlier process. A heartbeat with a different
  // id and no start time comes from a new one.
  const bool isKnownId = aReport.id == this->id;
  if (!isKnownId) {
    return aReport.startedAt.has_value() ||
           aReport.kind == ServerReportKind::Leaving;
  }
  return aReport.kind == ServerReportKind::Heartbeat &&
         aReport.sequence <= this->sequence;
}

bool
LocalServer::IsLeaving(const std::string& aId, std::int64_t aStartedAt) const
{
  return this->leaving && this->leaving->id == aId &&
         aStartedAt <= this->leaving->startedAt;
}

void
LocalServer::Restore(const std::optional<ServerProcess>& aServer,
                     const std::optional<LeavingServer>& aLeaving)
{
  const bool isSameServer = aServer && aServer->service == this->service &&
                            aServer->port == this->address.port;
  if (this->leaving && this->leaving->startedAt == 0 && isSameServer &&
      aServer->id == this->leaving->id) {
    // The report came before the process was known, and names no start time.
    this->leaving->startedAt = aServer->startedAt;
  }
  if (aLeaving && !this->leaving) {
    this->leaving = aLeaving;
  }
  if (!this->current && isSameServer) {
    this->id = aServer->id;
    this->startedAt = aServer->startedAt;
    this->current = Announcement{
      this->service,      this->address.port,         aServer->slots,
      kNoConnectionLimit, wire::EndpointState::READY, aServer->version
    };
  }
  if (this->current && this->IsLeaving(this->id, this->startedAt)) {
    this->current->state = wire::EndpointState::DRAINING;
  }
  kLog.Decision("server-recalled",
                "server={} started={} leaving={}",
                this->id,
                this->startedAt,
                this->leaving ? this->leaving->id : "-");
}

std::optional<ServerProcess>
LocalServer::CurrentProcess() const
{
  if (!this->current || this->id.empty()) {
    return std::nullopt;
  }
  return ServerProcess{
    this->id,           this->startedAt,      this->service,
    this->address.port, this->current->slots, this->current->version
  };
}

} // namespace lacewingwharf
