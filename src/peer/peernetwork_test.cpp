#include "peer/peernetwork.h"

#include "common/testsocket.h"
#include "peer/codec.h"
#include "peer_constants.h"

#include <criterion/criterion.h>

#include <sys/resource.h>

#include <algorithm>
#include <memory>
#include <mutex>
#include <vector>

using namespace lacewingwharf;
using loopback::Eventually;
using loopback::Socket;

namespace {

/** A network that records the events it reports. */
struct Node
{
  explicit Node(const std::string& aAddress,
                const std::function<void(PeerNetworkConfig&)>& aAdjust = {})
  {
    PeerNetworkConfig config;
    config.listen = { aAddress, loopback::FreePort(aAddress) };
    config.self.host = "host-" + aAddress;
    config.self.incarnation = 7;
    if (aAdjust) {
      aAdjust(config);
    }
    this->address = config.listen;
    const auto recordEvent = [this](PeerEvent aEvent) {
      const std::lock_guard lock(this->mutex);
      this->events.push_back(std::move(aEvent));
    };
    this->network = std::make_unique<PeerNetwork>(
      config, PeerHandlers{ recordEvent, recordEvent });
    cr_assert(this->network->Start());
  }

  std::vector<PeerEvent> Events(PeerEventKind aKind)
  {
    const std::lock_guard lock(this->mutex);
    std::vector<PeerEvent> found;
    std::ranges::copy_if(
      this->events, std::back_inserter(found), [aKind](const auto& aEvent) {
        return aEvent.kind == aKind;
      });
    return found;
  }

  bool WaitForEvents(PeerEventKind aKind, std::size_t aCount = 1)
  {
    return Eventually(
      [this, aKind, aCount] { return this->Events(aKind).size() >= aCount; });
  }

  PeerAddress address;
  std::mutex mutex;
  std::vector<PeerEvent> events;
  std::unique_ptr<PeerNetwork> network;
};

wire::Envelope
CancelEnvelope(const std::string& aCallId)
{
  wire::CallCancel cancel;
  cancel.callId = aCallId;
  wire::Envelope envelope;
  envelope.__set_callCancel(cancel);
  return envelope;
}

std::string
HelloFrame(int aProtocol)
{
  wire::Hello hello;
  hello.protocol = aProtocol;
  hello.host = "raw";
  hello.kind = wire::SessionKind::CALLS;
  wire::Envelope envelope;
  envelope.__set_hello(hello);
  return EncodeFrame(envelope, 4096).value();
}

std::string
ValidHelloFrame()
{
  return HelloFrame(wire::g_peer_constants.PROTOCOL_VERSION);
}

std::string
CancelFrame(const std::string& aCallId)
{
  return EncodeFrame(CancelEnvelope(aCallId), 1U << 20U).value();
}

/**
 * Expects that the session is closed and no message is reported. A loss is
 * reported only when a Hello had opened the session.
 */
void
ExpectRejected(const std::string& aBytes, std::size_t aLosses)
{
  Node node("127.71.0.1");
  Socket socket;
  cr_assert(socket.Connect(node.address.address, node.address.port));
  cr_assert(socket.Send(aBytes));
  cr_assert(socket.IsClosedByPeer());
  cr_assert_geq(node.network->Counters().framesRejected, 1U);
  // The network reports the loss after it has closed the socket.
  cr_assert(node.WaitForEvents(PeerEventKind::SessionLost, aLosses));
  node.network->Stop();
  cr_assert(node.Events(PeerEventKind::Message).empty());
  cr_assert(node.WaitForEvents(PeerEventKind::SessionLost, aLosses));
  cr_assert_eq(node.Events(PeerEventKind::SessionLost).size(), aLosses);
}

} // namespace

// Messages must arrive completely, in order and with the host of their sender.
Test(peernetwork, MessagesTravelBothWays)
{
  Node left("127.71.0.2");
  Node right("127.71.0.3");
  constexpr std::size_t kMessages = 200;
  for (std::size_t i = 0; i < kMessages; ++i) {
    cr_assert(left.network->Send(right.address,
                                 wire::SessionKind::CALLS,
                                 CancelEnvelope(std::to_string(i))));
  }
  cr_assert(right.WaitForEvents(PeerEventKind::Message, kMessages));
  const auto received = right.Events(PeerEventKind::Message);
  for (std::size_t i = 0; i < kMessages; ++i) {
    cr_assert_eq(received[i].envelope.callCancel.callId, std::to_string(i));
    cr_assert_eq(received[i].hello.host, "host-127.71.0.2");
    cr_assert_eq(received[i].remote.address, "127.71.0.2");
  }
  cr_assert(right.network->Reply(received[0].session, CancelEnvelope("back")));
  cr_assert(left.WaitForEvents(PeerEventKind::Message));
  const auto reply = left.Events(PeerEventKind::Message).front();
  cr_assert_eq(reply.envelope.callCancel.callId, "back");
  cr_assert(reply.remote == right.address);
  cr_assert_eq(left.network->Counters().sessionsOpen, 1U);
}

// Partial reads and writes must not truncate a large frame.
Test(peernetwork, LargeFramesArriveWhole)
{
  Node left("127.71.0.4");
  Node right("127.71.0.5");
  const std::string large(6U << 20U, 'x');
  for (int i = 0; i < 3; ++i) {
    cr_assert(left.network->Send(
      right.address, wire::SessionKind::CALLS, CancelEnvelope(large)));
  }
  cr_assert(right.WaitForEvents(PeerEventKind::Message, 3));
  cr_assert_eq(
    right.Events(PeerEventKind::Message)[2].envelope.callCancel.callId, large);
}

// A datagram must be reported as a datagram, and one above the size limit must
// not be sent.
Test(peernetwork, DatagramsArriveAndOversizedOnesAreRejected)
{
  Node left("127.71.0.6");
  Node right("127.71.0.7");
  cr_assert_not(left.network->SendDatagram(
    right.address, CancelEnvelope(std::string(1200, 'x'))));
  cr_assert_eq(left.network->Counters().sendsRejected, 1U);
  cr_assert(
    left.network->SendDatagram(right.address, CancelEnvelope("gossip")));
  cr_assert(right.WaitForEvents(PeerEventKind::Datagram));
  const auto datagram = right.Events(PeerEventKind::Datagram).front();
  cr_assert_eq(datagram.session, 0U);
  cr_assert(datagram.remote == left.address);
  cr_assert_eq(datagram.envelope.callCancel.callId, "gossip");
}

// A caller must be notified at once when a host cannot be reached, both when
// the dial fails and when the backoff prevents it.
Test(peernetwork, DialFailureReportsTheDialledAddress)
{
  Node node("127.71.0.8");
  const PeerAddress unreachable{ "127.71.0.9",
                                 loopback::FreePort("127.71.0.9") };
  for (int i = 0; i < 2; ++i) { // The backoff prevents the second.
    cr_assert(node.network->Send(
      unreachable, wire::SessionKind::CALLS, CancelEnvelope("lost")));
    cr_assert(node.WaitForEvents(PeerEventKind::SessionLost, i + 1U));
  }
  for (const auto& event : node.Events(PeerEventKind::SessionLost)) {
    cr_assert(event.remote == unreachable);
    cr_assert_not(event.wasConnected);
    cr_assert_eq(event.unsent.size(), 1U);
    cr_assert_eq(event.unsent.front().callCancel.callId, "lost");
  }
}

// The backoff after a failed dial must end, so that a host that starts later is
// reached.
Test(peernetwork, DialSucceedsOnceTheHostListens)
{
  Node node("127.71.0.10");
  const PeerAddress lateAddress{ "127.71.0.11",
                                 loopback::FreePort("127.71.0.11") };
  cr_assert(node.network->Send(
    lateAddress, wire::SessionKind::CALLS, CancelEnvelope("a")));
  cr_assert(node.WaitForEvents(PeerEventKind::SessionLost));
  Node other("127.71.0.11", [&lateAddress](PeerNetworkConfig& aConfig) {
    aConfig.listen = lateAddress;
  });
  cr_assert(Eventually([&] {
    node.network->Send(
      lateAddress, wire::SessionKind::CALLS, CancelEnvelope("b"));
    return !other.Events(PeerEventKind::Message).empty();
  }));
}

// A session must not stay open when the other side stops sending: the raw
// socket sends a Hello and one frame, then neither sends nor closes.
Test(peernetwork, SilentSessionIsReportedLost)
{
  Node node("127.71.0.12", [](PeerNetworkConfig& aConfig) {
    aConfig.heartbeatInterval = 50;
    aConfig.silenceTimeout = 300;
  });
  Socket socket;
  cr_assert(socket.Connect(node.address.address, node.address.port));
  cr_assert(socket.Send(ValidHelloFrame() + CancelFrame("only")));
  cr_assert(node.WaitForEvents(PeerEventKind::Message));
  cr_assert(node.WaitForEvents(PeerEventKind::SessionLost));
  cr_assert_eq(node.Events(PeerEventKind::SessionLost).front().session,
               node.Events(PeerEventKind::Message).front().session);
  cr_assert_eq(node.network->Counters().sessionsOpen, 0U);
}

// An idle session must not be closed as silent while heartbeats arrive.
Test(peernetwork, HeartbeatsKeepAnIdleSessionOpen)
{
  const auto shortTimeouts = [](PeerNetworkConfig& aConfig) {
    aConfig.heartbeatInterval = 50;
    aConfig.silenceTimeout = 1000;
  };
  Node left("127.71.0.13", shortTimeouts);
  Node right("127.71.0.14", shortTimeouts);
  left.network->Send(
    right.address, wire::SessionKind::CONTROL, CancelEnvelope("a"));
  cr_assert(right.WaitForEvents(PeerEventKind::Message));
  std::this_thread::sleep_for(std::chrono::milliseconds(2500));
  cr_assert(left.Events(PeerEventKind::SessionLost).empty());
  cr_assert(right.Events(PeerEventKind::SessionLost).empty());
}

// A dial must not wait forever for a host that accepts the connection but sends
// no Hello.
Test(peernetwork, DialWithoutHelloIsReportedLost)
{
  Node node("127.71.0.15", [](PeerNetworkConfig& aConfig) {
    aConfig.heartbeatInterval = 50;
    aConfig.silenceTimeout = 300;
  });
  Socket listener;
  cr_assert(listener.Listen("127.71.0.16"));
  const PeerAddress silentPeer{ "127.71.0.16", listener.Port() };
  node.network->Send(silentPeer, wire::SessionKind::CALLS, CancelEnvelope("a"));
  cr_assert(node.WaitForEvents(PeerEventKind::SessionLost));
  cr_assert(node.Events(PeerEventKind::SessionLost).front().remote ==
            silentPeer);
}

// Queued frames must not use unbounded memory when the other side stops
// reading.
Test(peernetwork, FullQueueClosesTheSession)
{
  Node node("127.71.0.17", [](PeerNetworkConfig& aConfig) {
    aConfig.silenceTimeout = 600000;
    aConfig.maxQueuedBytes = 1U << 20U;
  });
  Socket listener;
  cr_assert(listener.Listen("127.71.0.18"));
  const PeerAddress slow{ "127.71.0.18", listener.Port() };
  node.network->Send(slow, wire::SessionKind::CALLS, CancelEnvelope("first"));
  Socket accepted = listener.Accept();
  cr_assert(accepted.Send(ValidHelloFrame()));
  cr_assert(Eventually([&] {
    node.network->Send(
      slow, wire::SessionKind::CALLS, CancelEnvelope(std::string(200000, 'x')));
    return !node.Events(PeerEventKind::SessionLost).empty();
  }));
  cr_assert_geq(node.network->Counters().sendsRejected, 1U);
}

// A session that its user closes must not stay open on either side.
Test(peernetwork, ClosingASessionEndsItOnBothSides)
{
  Node left("127.71.0.19");
  Node right("127.71.0.20");
  left.network->Send(
    right.address, wire::SessionKind::CALLS, CancelEnvelope("a"));
  cr_assert(right.WaitForEvents(PeerEventKind::Message));
  right.network->CloseSession(
    right.Events(PeerEventKind::Message).front().session);
  cr_assert(left.WaitForEvents(PeerEventKind::SessionLost));
  cr_assert(right.WaitForEvents(PeerEventKind::SessionLost));
}

// Answers must not be lost when a daemon stops right after it queues them.
Test(peernetwork, StopFlushesQueuedFrames)
{
  Node left("127.71.0.21");
  Node right("127.71.0.22");
  left.network->Send(
    right.address, wire::SessionKind::CALLS, CancelEnvelope("a"));
  cr_assert(right.WaitForEvents(PeerEventKind::Message));
  const std::string large(4U << 20U, 'x');
  right.network->Reply(right.Events(PeerEventKind::Message).front().session,
                       CancelEnvelope(large));
  right.network->Stop();
  cr_assert(left.WaitForEvents(PeerEventKind::Message));
}

// The next tests send bytes that a correct daemon never sends. The session must
// be closed without reporting a message.
Test(peernetwork, OversizedFrameIsRejected)
{
  ExpectRejected(ValidHelloFrame() + std::string("\xff\xff\xff\xff", 4), 1);
}

Test(peernetwork, OversizedHelloIsRejected)
{
  ExpectRejected(std::string("\x00\x10\x00\x00", 4), 0);
}

Test(peernetwork, MalformedFrameIsRejected)
{
  ExpectRejected(
    ValidHelloFrame() + std::string("\x00\x00\x00\x03\xff\xff\xff", 7), 1);
}

Test(peernetwork, AnotherProtocolNumberIsRejected)
{
  ExpectRejected(HelloFrame(wire::g_peer_constants.PROTOCOL_VERSION + 1), 0);
}

Test(peernetwork, FirstFrameThatIsNotHelloIsRejected)
{
  ExpectRejected(CancelFrame("early"), 0);
}

Test(peernetwork, SecondHelloIsRejected)
{
  ExpectRejected(ValidHelloFrame() + ValidHelloFrame(), 1);
}

namespace {

wire::Envelope
RequestEnvelope(const std::string& aCallId)
{
  wire::CallRequest request;
  request.callId = aCallId;
  wire::Envelope envelope;
  envelope.__set_callRequest(request);
  return envelope;
}

wire::Envelope
AnswerEnvelope(const std::string& aCallId)
{
  wire::CallAnswer answer;
  answer.callId = aCallId;
  answer.outcome = wire::CallOutcome::DONE;
  wire::Envelope envelope;
  envelope.__set_callAnswer(answer);
  return envelope;
}

} // namespace

// A daemon that stops in order does not run requests that it has not answered.
// The shutdown notice must report them as not run, so that their status is
// known.
Test(peernetwork, shutdown_notice_reports_requests_not_run)
{
  Node entry("127.71.0.21");
  Node destination("127.71.0.22");
  const auto send = [&](const std::string& aId) {
    entry.network->Send(
      destination.address, wire::SessionKind::CALLS, RequestEnvelope(aId));
  };
  send("answered");
  send("unanswered");
  cr_assert(destination.WaitForEvents(PeerEventKind::Message, 2));
  const auto received = destination.Events(PeerEventKind::Message);
  destination.network->Reply(received.front().session,
                             AnswerEnvelope("answered"));
  destination.network->Stop();
  cr_assert(entry.WaitForEvents(PeerEventKind::SessionLost));
  const auto lost = entry.Events(PeerEventKind::SessionLost).front();
  cr_expect(lost.requestsNotRun == std::vector<std::string>{ "unanswered" });
  cr_expect_eq(entry.Events(PeerEventKind::Message).size(), 1U);
}

// A session that ends without a shutdown notice must not report its requests as
// not run.
Test(peernetwork, lost_session_reports_no_requests_as_not_run)
{
  Node entry("127.71.0.23");
  Node destination("127.71.0.24");
  entry.network->Send(
    destination.address, wire::SessionKind::CALLS, RequestEnvelope("open"));
  cr_assert(destination.WaitForEvents(PeerEventKind::Message));
  const auto received = destination.Events(PeerEventKind::Message);
  destination.network->CloseSession(received.front().session);
  cr_assert(entry.WaitForEvents(PeerEventKind::SessionLost));
  const auto lost = entry.Events(PeerEventKind::SessionLost).front();
  cr_expect(lost.wasConnected);
  cr_expect(lost.requestsNotRun.empty());
}

// ACE refuses to open a reactor for more descriptors than the process may have.
// The daemon once requested too many and crashed when it used the reactor.
Test(peernetwork, starts_under_a_low_descriptor_limit)
{
  constexpr rlim_t kDescriptors = 512;
  const rlimit limit{ kDescriptors, kDescriptors };
  cr_assert_eq(setrlimit(RLIMIT_NOFILE, &limit), 0);
  Node node("127.71.0.25");
  Node other("127.71.0.26");
  node.network->Send(
    other.address, wire::SessionKind::CALLS, CancelEnvelope("any"));
  cr_expect(other.WaitForEvents(PeerEventKind::Message));
}
