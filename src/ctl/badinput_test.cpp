#include "ctl/daemonharness.h"

#include <criterion/criterion.h>

using namespace lacewingwharf;

namespace {

/** A record of a member that does not exist. */
wire::MemberRecord
Stranger(int aMemberState, int aEndpointState)
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
CountOf(const std::string& aText, const std::string& aPart)
{
  int count = 0;
  for (auto at = aText.find(aPart); at != std::string::npos;
       at = aText.find(aPart, at + 1)) {
    ++count;
  }
  return count;
}

std::string
SyncFrame(const wire::MemberRecord& aRecord)
{
  wire::MemberSync sync;
  sync.records = { aRecord };
  sync.isReply = true;
  wire::Envelope envelope;
  envelope.__set_memberSync(sync);
  return DaemonHarness::Frame(envelope);
}

} // namespace

// Guards against requests that crash or stall the server, are answered without
// a reason, or leave no trace for operators.
Test(badinput, HttpRequests)
{
  const DaemonHarness daemon;
  cr_assert(daemon.isUp);
  const std::string answer = daemon.SendToCallers("this is no request\r\n\r\n");
  cr_expect(answer.starts_with("HTTP/1.1 400 "), "%s", answer.c_str());
  cr_expect(daemon.Logs("libmicrohttpd: "), "%s", daemon.Log().c_str());
  int refused = 0;
  const auto answers = [&](const std::string& aBytes, int aStatus) {
    const std::string got = daemon.SendToCallers(aBytes);
    cr_expect(got.starts_with(fmt::format("HTTP/1.1 {} ", aStatus)),
              "%d expected: %s",
              aStatus,
              got.substr(0, 200).c_str());
    ++refused;
    cr_expect(WaitUntil([&] {
                return CountOf(daemon.Log(), "refused with status") == refused;
              }),
              "%d not logged: %s",
              aStatus,
              aBytes.substr(0, 40).c_str());
  };
  answers("GET relative HTTP/1.1\r\nHost: a\r\n\r\n", 400);
  answers("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n"
          "Content-Length: 2\r\n\r\nab",
          400);
  answers("GET / HTTP/1.1\r\nHost: a\r\nX-Long: " + std::string(20000, 'x') +
            "\r\n\r\n",
          431);
  answers("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 70000\r\n\r\n", 413);
  cr_expect(daemon.IsUnharmed());
}

// Guards against endpoints that appear or change on an announcement that was
// not understood.
Test(badinput, Announcements)
{
  const DaemonHarness daemon;
  cr_assert(daemon.isUp);
  const std::string rest = R"("slots":1,"connections":1,"state":"ready"})";
  const auto refuses = [&daemon](const std::string& aService,
                                 const std::string& aBody,
                                 const std::string& aReason) {
    const auto answer = SendTestRequest(
      "PUT", daemon.AdminUrl("/v1/endpoints/" + aService), aBody);
    cr_expect_eq(answer.status, 400, "%ld", answer.status);
    cr_expect(answer.body.find(aReason) != std::string::npos,
              "%s",
              answer.body.c_str());
    cr_expect(daemon.Logs(aReason));
  };
  refuses("orders", "{", "JSON object");
  refuses("orders", R"({"port":0,)" + rest, "expected port, slots");
  refuses("orders", R"({"port":18446744073709551615,)" + rest, "expected port");
  refuses("orders",
          R"({"port":1,"slots":1,"connections":1,"state":"asleep"})",
          "state must be");
  refuses("", R"({"port":1,)" + rest, "expected a service");
  refuses(std::string(200, 'a'), R"({"port":1,)" + rest, "service's name");
  refuses("a%0ab", R"({"port":1,)" + rest, "service's name");
  const auto large = SendTestRequest(
    "PUT", daemon.AdminUrl("/v1/endpoints/orders"), std::string(70000, ' '));
  cr_expect_eq(large.status, 413);
  cr_expect(daemon.IsUnharmed());
}

// Guards against peers that make a daemon buffer, read on or crash.
Test(badinput, PeerFrames)
{
  const DaemonHarness daemon;
  cr_assert(daemon.isUp);
  const auto closes = [&daemon](const std::string& aBytes,
                                const std::string& aReason) {
    auto socket = daemon.DialPeer();
    socket.Send(aBytes);
    cr_expect(socket.IsClosedByPeer());
    cr_expect(daemon.Logs(aReason), "%s", aReason.c_str());
  };
  using namespace std::string_literals;
  closes("\0\0\0\0"s, "frame rejected: empty frame");
  closes("\0\1\0\0"s, "frame rejected: frame of 65536 bytes");
  closes("\0\0\0\4\xff\xff\xff\xff"s, "closed: frame rejected: ");
  closes(SyncFrame(Stranger(1, 2)), "the first frame is not a Hello");
  closes(DaemonHarness::Hello(1) + "\1\0\0\0"s,
         "frame rejected: frame of 16777216 bytes");
  closes(DaemonHarness::Hello(1) + DaemonHarness::Hello(1), "a second Hello");
  const double rejected = daemon.Metric("lacewingwharf_frames_rejected");
  cr_expect_eq(rejected, 6, "%f", rejected);
  cr_expect(daemon.IsUnharmed());
}

// Guards against a session with a daemon that speaks another protocol, and
// against one that is closed without telling the other side why.
Test(badinput, PeerOfAnotherProtocol)
{
  const DaemonHarness daemon;
  cr_assert(daemon.isUp);
  auto socket = daemon.DialPeer();
  socket.Send(DaemonHarness::Hello(2));
  const std::string answer = socket.ReceiveAll();
  cr_expect(daemon.Logs("protocol 2 instead of 1"));
  cr_assert(answer.size() > 4, "no Hello came back");
  const auto hello = DecodeEnvelope(std::string_view(answer).substr(4));
  cr_assert(hello.has_value() && hello.value().__isset.hello);
  cr_expect_eq(hello.value().hello.protocol, 1);
  cr_expect(daemon.IsUnharmed());
}

// Guards against unknown enum values in member records: the generated code
// lets them through, and a state above the known ones would win every merge.
Test(badinput, UnknownEnumValues)
{
  const DaemonHarness daemon;
  cr_assert(daemon.isUp);
  constexpr int kUnknown = 99;
  for (const auto& [record, reason] :
       { std::pair(Stranger(kUnknown, 2), "unknown MemberState 99"),
         std::pair(Stranger(1, kUnknown), "unknown EndpointState 99") }) {
    auto socket = daemon.DialPeer();
    socket.Send(DaemonHarness::Hello(1) + SyncFrame(record));
    cr_expect(socket.IsClosedByPeer());
    cr_expect(daemon.Logs(reason), "%s", reason);
  }
  cr_expect(daemon.IsUnharmed());
}

// Guards against datagrams that crash the daemon or enter its member table.
Test(badinput, Datagrams)
{
  const DaemonHarness daemon;
  cr_assert(daemon.isUp);
  loopback::Socket socket(::socket(AF_INET, SOCK_DGRAM, 0));
  cr_assert(socket.Connect(DaemonHarness::kAddress, daemon.peerPort));
  wire::Ping ping;
  ping.host = "stranger";
  constexpr int kUnknown = 99;
  ping.updates = { Stranger(kUnknown, 2) };
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
  cr_expect(daemon.IsUnharmed());
}

// Guards against an unparsable entry that stops the acceptance of others, or
// whose author is not told.
Test(badinput, CatalogueEntries)
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
    return daemon.Read("/v1/entries/good").value("revision", 0) == 2;
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
  cr_expect(daemon.Logs("broken"), "%s", daemon.Log().c_str());
  const auto entry =
    SendTestRequest("GET", daemon.AdminUrl("/v1/entries/broken"));
  cr_expect_eq(entry.status, 404);
}
