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
  Leaving // It serves for a short time yet and takes no new work.
};

/** What a backend server says of itself. */
struct ServerReport
{
  ServerReportKind kind = ServerReportKind::Heartbeat;
  std::string id; // Of the server process; mostly new at each start.

  /** Its start on its own clock; only compared with its other reports. */
  std::optional<std::int64_t> startedAt;

  // Heartbeats only.
  std::string service;
  SocketAddress address;
  wire::EndpointState::type state = wire::EndpointState::READY;
  std::int64_t sequence = 0;
  int slots = 0;
  Millis warmUpLeft = 0;
};

enum class ReportDecision
{
  Taken,
  Old,    // Of an earlier process, or overtaken by a later report.
  Foreign // Of another service or address than this host's.
};

inline constexpr auto kReportDecisionNames =
  MakeNameTable<ReportDecision>({ { ReportDecision::Taken, "taken" },
                                  { ReportDecision::Old, "old" },
                                  { ReportDecision::Foreign, "foreign" } });

/** A server process that was heard, as it is kept in the store. */
struct ServerProcess
{
  std::string id;
  std::int64_t startedAt = 0; // 0 when it was not told.
  std::string service;
  int port = 0;
  int slots = 0;

  bool operator==(const ServerProcess&) const = default;
};

/** A server process that said it leaves. */
struct LeavingServer
{
  std::string id;
  std::int64_t startedAt = 0; // 0 when it was not told.

  bool operator==(const LeavingServer&) const = default;
};

/**
 * The backend server on this host, from its reports. They may arrive late, out
 * of order and from a process that has ended.
 */
class LocalServer
{
public:
  LocalServer(std::string aService, SocketAddress aAddress);

  ReportDecision HandleReport(const ServerReport& aReport);

  /**
   * What a daemon before this one knew. The server may have ended since; calls
   * name the process that they are meant for, so no other one runs them.
   */
  void Restore(const std::optional<ServerProcess>& aServer,
               const std::optional<LeavingServer>& aLeaving);

  /** The present process; empty before its first heartbeat. */
  std::optional<ServerProcess> CurrentProcess() const;

  /** What the server announces now; empty before its first heartbeat. */
  const std::optional<Announcement>& CurrentAnnouncement() const;
  const std::string& Id() const;

  /** The process that leaves, for Recall() after a restart. */
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
