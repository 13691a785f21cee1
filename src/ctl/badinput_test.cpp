#include "ctl/daemonharness.h"

#include <criterion/criterion.h>

using namespace lacewingwharf;

namespace {

/** Returns a record of a host that is not a member of the fleet. */
wire::MemberRecord
MakeUnknownMember(int aMemberState, int aEndpointState)
{
  wire::Endpoint endpoint;
  endpoint.serviceName = "orders";
  endpoint.port = 1;
  endpoint.state = static_cast<wire::EndpointState::type>(aEndpointState);
  wire::MemberRecord record;
  record.host = "stranger";
  record.address = "127.85.9.2";
  record.peerPort = 1;
  record.region = "region";
  record.domain = "domain";
  record.incarnation = 1;
  record.state = static_cast<wire::MemberState::type>(aMemberState);
  record.endpoints = { endpoint };
  return record;
}

int
CountOccurrences(const std::string& aText, const std::string& aPart)
{
  int count = 0;
  for (auto at = aText.find(aPart); at != std::string::npos;
       at = aText.find(aPart, at + 1)) {
    ++count;
  }
  return count;
}

std::string
MakeSyncFrame(const wire::MemberRecord& aRecord)
{
  wire::MemberSync sync;
  sync.records = { aRecord };
  sync.isReply = true;
  wire::Envelope envelope;
  envelope.__set_memberSync(sync);
  return DaemonHarness::MakeFrame(envelope);
}

} // namespace

// Malformed or oversized requests must get an error status and a log line. They
// must not crash or block the server.
Test(badinput, RefusesInvalidHttpRequests)
{
  const DaemonHarness daemon;
  cr_assert(daemon.isUp);
  const std::string answer =
    daemon.SendToCallPort("this is no request\r\n\r\n");
  cr_expect(answer.starts_with("HTTP/1.1 400 "), "%s", answer.c_str());
  cr_expect(
    daemon.LogEventuallyContains("refused with status 400: bad version"),
    "%s",
    daemon.Log().c_str());
  int refusalCount = 1;
  const auto expectStatus = [&](const std::string& aBytes, int aStatus) {
    const std::string got = daemon.SendToCallPort(aBytes);
    cr_expect(got.starts_with(fmt::format("HTTP/1.1 {} ", aStatus)),
              "%d expected: %s",
              aStatus,
              got.substr(0, 200).c_str());
    ++refusalCount;
    cr_expect(WaitUntil([&] {
                return CountOccurrences(daemon.Log(), "refused with status") ==
                       refusalCount;
              }),
              "%d not logged: %s",
              aStatus,
              aBytes.substr(0, 40).c_str());
  };
  expectStatus("GET relative HTTP/1.1\r\nHost: a\r\n\r\n", 400);
  expectStatus("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n"
               "Content-Length: 2\r\n\r\nab",
               400);
  expectStatus("GET / HTTP/1.1\r\nHost: a\r\nX-Long: " +
                 std::string(20000, 'x') + "\r\n\r\n",
               431);
  expectStatus("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 70000\r\n\r\n",
               413);
  cr_expect(daemon.IsUnaffected());
}

// An announcement with invalid fields must be refused with the reason and must
// not add or change an endpoint.
Test(badinput, RefusesInvalidAnnouncements)
{
  const DaemonHarness daemon;
  cr_assert(daemon.isUp);
  const std::string rest = R"("slots":1,"connections":1,"state":"ready"})";
  const auto expectRefusal = [&daemon](const std::string& aService,
                                       const std::string& aBody,
                                       const std::string& aReason) {
    const auto answer = SendTestRequest(
      "PUT", daemon.AdminUrl("/v1/endpoints/" + aService), aBody);
    cr_expect_eq(answer.status, 400, "%ld", answer.status);
    cr_expect(answer.body.find(aReason) != std::string::npos,
              "%s",
              answer.body.c_str());
    cr_expect(daemon.LogEventuallyContains(aReason));
  };
  expectRefusal("orders", "{", "JSON object");
  expectRefusal("orders", R"({"port":0,)" + rest, "expected port, slots");
  expectRefusal(
    "orders", R"({"port":18446744073709551615,)" + rest, "expected port");
  expectRefusal("orders",
                R"({"port":1,"slots":1,"connections":1,"state":"asleep"})",
                "state must be");
  expectRefusal("", R"({"port":1,)" + rest, "expected a service");
  expectRefusal(
    std::string(200, 'a'), R"({"port":1,)" + rest, "service's name");
  expectRefusal("a%0ab", R"({"port":1,)" + rest, "service's name");
  const auto large = SendTestRequest(
    "PUT", daemon.AdminUrl("/v1/endpoints/orders"), std::string(70000, ' '));
  cr_expect_eq(large.status, 413);
  cr_expect(daemon.IsUnaffected());
}

// After an invalid frame, the daemon must close the connection. Otherwise, a
// faulty peer could make it buffer large frames, keep reading or crash.
Test(badinput, ClosesSessionsOnInvalidFrames)
{
  const DaemonHarness daemon;
  cr_assert(daemon.isUp);
  const auto expectClose = [&daemon](const std::string& aBytes,
                                     const std::string& aReason) {
    auto socket = daemon.ConnectToPeerPort();
    socket.Send(aBytes);
    cr_expect(socket.IsClosedByPeer());
    cr_expect(daemon.LogEventuallyContains(aReason), "%s", aReason.c_str());
  };
  using namespace std::string_literals;
  expectClose("\0\0\0\0"s, "frame rejected: empty frame");
  expectClose("\0\1\0\0"s, "frame rejected: frame of 65536 bytes");
  expectClose("\0\0\0\4\xff\xff\xff\xff"s, "closed: frame rejected: ");
  expectClose(MakeSyncFrame(MakeUnknownMember(1, 2)),
              "the first frame is not a Hello");
  expectClose(DaemonHarness::MakeHelloFrame(1) + "\1\0\0\0"s,
              "frame rejected: frame of 16777216 bytes");
  expectClose(DaemonHarness::MakeHelloFrame(1) +
                DaemonHarness::MakeHelloFrame(1),
              "a second Hello");
  const double rejected = daemon.Metric("lacewingwharf_frames_rejected");
  cr_expect_eq(rejected, 6, "%f", rejected);
  cr_expect(daemon.IsUnaffected());
}

// A peer with another protocol version must not get a session. The daemon sends
// its own Hello before it closes, so that the peer can see the difference.
Test(badinput, RefusesAnotherProtocolWithAHello)
{
  const DaemonHarness daemon;
  cr_assert(daemon.isUp);
  auto socket = daemon.ConnectToPeerPort();
  socket.Send(DaemonHarness::MakeHelloFrame(2));
  const std::string answer = socket.ReceiveAll();
  cr_expect(daemon.LogEventuallyContains("protocol 2 instead of 1"));
  cr_assert(answer.size() > 4, "no Hello came back");
  const auto hello = DecodeEnvelope(std::string_view(answer).substr(4));
  cr_assert(hello.has_value() && hello.value().__isset.hello);
  cr_expect_eq(hello.value().hello.protocol, 1);
  cr_expect(daemon.IsUnaffected());
}

// The generated Thrift code accepts unknown enum values. A member state above
// the known ones would take precedence in every merge of member records.
Test(badinput, ClosesSessionsOnUnknownEnumValues)
{
  const DaemonHarness daemon;
  cr_assert(daemon.isUp);
  constexpr int kUnknown = 99;
  for (const auto& [record, reason] :
       { std::pair(MakeUnknownMember(kUnknown, 2), "unknown MemberState 99"),
         std::pair(MakeUnknownMember(1, kUnknown),
                   "unknown EndpointState 99") }) {
    auto socket = daemon.ConnectToPeerPort();
    socket.Send(DaemonHarness::MakeHelloFrame(1) + MakeSyncFrame(record));
    cr_expect(socket.IsClosedByPeer());
    cr_expect(daemon.LogEventuallyContains(reason), "%s", reason);
  }
  cr_expect(daemon.IsUnaffected());
}

// Invalid datagrams must not crash the daemon or change its member table.
Test(badinput, IgnoresInvalidDatagrams)
{
  const DaemonHarness daemon;
  cr_assert(daemon.isUp);
  loopback::Socket socket(::socket(AF_INET, SOCK_DGRAM, 0));
  cr_assert(socket.Connect(DaemonHarness::kAddress, daemon.peerPort));
  wire::Ping ping;
  ping.host = "stranger";
  constexpr int kUnknown = 99;
  ping.updates = { MakeUnknownMember(kUnknown, 2) };
  wire::Envelope envelope;
  envelope.__set_ping(ping);
  constexpr std::size_t kMaxDatagram = 1200;
  socket.Send("no message");
  socket.Send(std::string(4000, 'x'));
  socket.Send(EncodeEnvelope(envelope, kMaxDatagram).value());
  cr_expect(WaitUntil([&daemon] {
              return daemon.Metric("lacewingwharf_frames_rejected") >= 3;
            }),
            "%f",
            daemon.Metric("lacewingwharf_frames_rejected"));
  cr_expect(daemon.IsUnaffected());
}

// An entry that is not JSON must not block the acceptance of other entries. Its
// status object must give the reason for the rejection.
Test(badinput, ReportsUnparsableEntries)
{
  const DaemonHarness daemon;
  cr_assert(daemon.isUp);
  const ObjectStore store = MakeHttpObjectStore(daemon.platform.StoreConfig());
  cr_assert(store.put("catalogue/broken", "{", kAnyRevision).has_value());
  cr_assert(store
              .put("catalogue/good",
                   R"({"kind":"owner","owner":"shop","limits":{}})",
                   kAnyRevision)
              .has_value());
  cr_expect(WaitUntil([&daemon] {
    return daemon.ReadJson("/v1/entries/good").value("revision", 0) == 2;
  }));
  std::string status;
  cr_expect(WaitUntil([&] {
    const auto object = store.get("status/broken/acceptance");
    status = object ? object.value().value : "";
    return object.has_value();
  }));
  cr_expect(status.find("the text is not valid JSON") != std::string::npos,
            "%s",
            status.c_str());
  cr_expect(daemon.LogEventuallyContains("broken"), "%s", daemon.Log().c_str());
  const auto entry =
    SendTestRequest("GET", daemon.AdminUrl("/v1/entries/broken"));
  cr_expect_eq(entry.status, 404);
}
