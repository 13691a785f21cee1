#include "membership/localserver.h"

#include <criterion/criterion.h>

using namespace lacewingwharf;

namespace {

constexpr int kPort = 9000;
constexpr std::int64_t kStart = 1000000;

ServerReport
Heartbeat(const std::string& aId,
          std::int64_t aSequence,
          std::optional<std::int64_t> aStartedAt = kStart,
          wire::EndpointState::type aState = wire::EndpointState::READY)
{
  ServerReport report;
  report.id = aId;
  report.startedAt = aStartedAt;
  report.service = "orders";
  report.address = { "10.0.0.1", kPort };
  report.state = aState;
  report.sequence = aSequence;
  report.slots = 6;
  return report;
}

ServerReport
Leaving(const std::string& aId,
        std::optional<std::int64_t> aStartedAt = std::nullopt)
{
  ServerReport report;
  report.kind = ServerReportKind::Leaving;
  report.id = aId;
  report.startedAt = aStartedAt;
  return report;
}

LocalServer
Server()
{
  return { "orders", { "10.0.0.1", kPort } };
}

} // namespace

// A heartbeat that was sent before the server drained and arrives afterwards
// must not make the server ready again.
Test(localserver, an_out_of_order_heartbeat_changes_nothing)
{
  LocalServer server = Server();
  server.HandleReport(Heartbeat("a", 5));
  server.HandleReport(Heartbeat("a", 7, kStart, wire::EndpointState::DRAINING));
  cr_expect_eq(server.HandleReport(Heartbeat("a", 6)), ReportDecision::Old);
  cr_expect_eq(server.CurrentAnnouncement()->state,
               wire::EndpointState::DRAINING);
}

// Delayed reports of a process that has ended must not replace the state of the
// process that runs now.
Test(localserver, a_report_of_an_earlier_process_changes_nothing)
{
  LocalServer server = Server();
  server.HandleReport(Heartbeat("b", 1, kStart + 500));
  cr_expect_eq(server.HandleReport(Heartbeat("a", 90, kStart)),
               ReportDecision::Old);
  cr_expect_eq(server.HandleReport(Leaving("a", kStart)), ReportDecision::Old);
  cr_expect_eq(server.Id(), "b");
  cr_expect_eq(server.CurrentAnnouncement()->state, wire::EndpointState::READY);
}

// A server that restarts with the same id begins its sequence again. Its
// reports must not be rejected as old.
Test(localserver, a_new_start_under_the_same_id_is_taken)
{
  LocalServer server = Server();
  server.HandleReport(Heartbeat("a", 90));
  server.HandleReport(Leaving("a", kStart));
  cr_expect_eq(server.HandleReport(Heartbeat("a", 1, kStart + 500)),
               ReportDecision::Taken);
  cr_expect_eq(server.CurrentAnnouncement()->state, wire::EndpointState::READY);
}

// A server may report that it leaves without draining first. Later heartbeats
// of the same process must not make it ready again.
Test(localserver, a_leaving_server_stays_draining)
{
  LocalServer server = Server();
  server.HandleReport(Heartbeat("a", 5));
  cr_expect_eq(server.HandleReport(Leaving("a")), ReportDecision::Taken);
  cr_expect_eq(server.CurrentAnnouncement()->state,
               wire::EndpointState::DRAINING);
  server.HandleReport(Heartbeat("a", 6));
  cr_expect_eq(server.CurrentAnnouncement()->state,
               wire::EndpointState::DRAINING);
  cr_expect_eq(server.Leaving()->id, "a");
  cr_expect_eq(server.Leaving()->startedAt, kStart);
}

// A restarted daemon may handle a heartbeat before it has read from the store
// that the server is leaving. The server must then count as draining.
Test(localserver, a_restart_restores_the_leaving_server)
{
  LocalServer server = Server();
  server.HandleReport(Heartbeat("a", 4));
  server.Restore(std::nullopt, LeavingServer{ "a", kStart });
  cr_expect_eq(server.CurrentAnnouncement()->state,
               wire::EndpointState::DRAINING);
  server.HandleReport(Heartbeat("a", 5));
  cr_expect_eq(server.CurrentAnnouncement()->state,
               wire::EndpointState::DRAINING);
  server.HandleReport(Heartbeat("b", 1, kStart + 500));
  cr_expect_eq(server.CurrentAnnouncement()->state, wire::EndpointState::READY);
}

// Heartbeats that name another service or address must be ignored; calls would
// otherwise reach the wrong server.
Test(localserver, a_report_of_another_service_or_address_is_foreign)
{
  LocalServer server = Server();
  ServerReport report = Heartbeat("a", 1);
  report.service = "fonts";
  cr_expect_eq(server.HandleReport(report), ReportDecision::Foreign);
  report = Heartbeat("a", 1);
  report.address.port = kPort + 1;
  cr_expect_eq(server.HandleReport(report), ReportDecision::Foreign);
  cr_expect_not(server.CurrentAnnouncement().has_value());
}

// After a restart of all daemons, a service must not be without servers until
// the next heartbeats arrive. Later reports of the process are still accepted.
Test(localserver, a_restart_restores_the_server)
{
  LocalServer server = Server();
  server.Restore(ServerProcess{ "a", kStart, "orders", kPort, 6 },
                 std::nullopt);
  cr_assert(server.CurrentAnnouncement().has_value());
  cr_expect_eq(server.Id(), "a");
  cr_expect_eq(server.CurrentAnnouncement()->state, wire::EndpointState::READY);
  cr_expect_eq(server.HandleReport(Heartbeat("a", 1)), ReportDecision::Taken);
  cr_expect_eq(server.HandleReport(Heartbeat("old", 9, kStart - 1)),
               ReportDecision::Old);
}

// Stored state that is read after a report must not replace it, and a stored
// server of another service must not be restored.
Test(localserver, received_reports_take_precedence_over_stored_state)
{
  LocalServer server = Server();
  server.HandleReport(Heartbeat("b", 1, kStart + 500));
  server.Restore(ServerProcess{ "a", kStart, "orders", kPort, 6 },
                 LeavingServer{ "a", kStart });
  cr_expect_eq(server.Id(), "b");
  cr_expect_eq(server.CurrentAnnouncement()->state, wire::EndpointState::READY);
  LocalServer other = Server();
  other.Restore(ServerProcess{ "a", kStart, "fonts", kPort, 6 }, std::nullopt);
  cr_expect_not(other.CurrentAnnouncement().has_value());
}

// A restarted daemon may receive a report that its server is leaving before it
// has read its entry. The report has no start time, so the start time of the
// stored process must not make that process look newer than the report.
Test(localserver, a_leaving_server_is_recalled_as_draining)
{
  LocalServer server = Server();
  cr_expect_eq(server.HandleReport(Leaving("a")), ReportDecision::Taken);
  server.Restore(ServerProcess{ "a", kStart, "orders", kPort, 6 },
                 std::nullopt);
  cr_assert(server.CurrentAnnouncement().has_value());
  cr_expect_eq(server.CurrentAnnouncement()->state,
               wire::EndpointState::DRAINING);
  const auto leaving = server.Leaving();
  cr_assert(leaving.has_value());
  cr_expect_eq(leaving->startedAt, kStart);
  // A late heartbeat of that process, and a new process under the same id.
  server.HandleReport(Heartbeat("a", 3));
  cr_expect_eq(server.CurrentAnnouncement()->state,
               wire::EndpointState::DRAINING);
  server.HandleReport(Heartbeat("a", 1, kStart + 1));
  cr_expect_eq(server.CurrentAnnouncement()->state, wire::EndpointState::READY);
}
