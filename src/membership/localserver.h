#pragma once

#include "common/clock.h"
#include "common/names.h"
#include "membership/endpointregistry.h"
#include "settings/settings.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lacewingwharf {

enum class ServerReportKind
{
  Heartbeat,
  Leaving // The server still serves for a short time but takes no new calls.
};

/** A report of a backend server about itself. */
struct ServerReport
{
  ServerReportKind kind = ServerReportKind::Heartbeat;
  std::string id; // Of the server process; usually new at each start.

  /**
   * Start time of the process by the server's clock. It is compared only with
   * the start times in other reports of the same server.
   */
  std::optional<std::int64_t> startedAt;

  // The fields below are set in heartbeats only.
  std::string service;
  SocketAddress address;
  wire::EndpointState::type state = wire::EndpointState::READY;
  std::int64_t sequence = 0;
  int slots = 0;
  Millis warmUpLeft = 0;
  std::string version; // Of the server's program; may be empty.
};

enum class ReportDecision
{
  Taken,
  Old,      // From an earlier process, or older than a report already handled.
  Foreign,  // Names another service or address than the server on this host.
  NotStored // In effect, but a restart of the daemon may still undo it.
};

inline constexpr auto kReportDecisionNames = MakeNameTable<ReportDecision>(
  { { ReportDecision::Taken, "taken" },
    { ReportDecision::Old, "old" },
    { ReportDecision::Foreign, "foreign" },
    { ReportDecision::NotStored, "not-stored" } });

/** A server process that has sent a heartbeat, as kept in the store. */
struct ServerProcess
{
  std::string id;
  std::int64_t startedAt = 0; // 0 if the server did not report it.
  std::string service;
  int port = 0;
  int slots = 0;
  std::string version;

  bool operator==(const ServerProcess&) const = default;
};

/** A server process that has reported that it is leaving. */
struct LeavingServer
{
  std::string id;
  std::int64_t startedAt = 0; // 0 if the server did not report it.

  bool operator==(const LeavingServer&) const = default;
};

/**
 * State of the backend server on this host, taken from its reports. Reports
 * may arrive late, out of order or from a process that has already ended.
 */
class LocalServer
{
public:
  LocalServer(std::string aService, SocketAddress aAddress);

  ReportDecision HandleReport(const ServerReport& aReport);

  /**
   * Restores what an earlier daemon process stored. The server process may have
   * ended since then. That is safe because a call names the server process that
   * it is sent to, so no other process runs it.
   */
  void Restore(const std::optional<ServerProcess>& aServer,
               const std::optional<LeavingServer>& aLeaving);

  /** The current server process; empty while none is known. */
  std::optional<ServerProcess> CurrentProcess() const;

  /** The announcement of the current process; empty while none is known. */
  const std::optional<Announcement>& CurrentAnnouncement() const;
  const std::string& Id() const;

  /** The process that is leaving; stored for Restore() after a restart. */
  const std::optional<LeavingServer>& Leaving() const;

private:
  bool IsOld(const ServerReport& aReport) const;
  bool IsLeaving(const std::string& aId, std::int64_t aStartedAt) const;

  std::string service;
  SocketAddress address;
  std::string id;
  std::int64_t startedAt = 0;
  std::int64_t sequence = 0;
  std::optional<Announcement> current;
  std::optional<LeavingServer> leaving;
};

inline const std::optional<Announcement>&
LocalServer::CurrentAnnouncement() const
{
  return this->current;
}

inline const std::string&
LocalServer::Id() const
{
  return this->id;
}

inline const std::optional<LeavingServer>&
LocalServer::Leaving() const
{
  return this->leaving;
}

} // namespace lacewingwharf
