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

/** A network with the events that it reported. */
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
    const auto keep = [this](PeerEvent aEvent) {
      const std::lock_guard lock(this->mutex);
      this->events.push_back(std::move(aEvent));
    };
    this->network =
      std::make_unique<PeerNetwork>(config, PeerHandlers{ keep, keep });
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

  bool Has(PeerEventKind aKind, std::size_t aCount = 1)
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
Cancel(const std::string& aCallId)
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
GoodHello()
{
  return HelloFrame(wire::g_peer_constants.PROTOCOL_VERSION);
}

std::string
CancelFrame(const std::string& aCallId)
{
  return EncodeFrame(Cancel(aCallId), 1U << 20U).value();
}

/**
 * The session is closed and no message is reported; a loss is reported only
 * when the session had been opened by a Hello.
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
  // The loss is reported after the socket has been closed.
  cr_assert(node.Has(PeerEventKind::SessionLost, aLosses));
  node.network->Stop();
  cr_assert(node.Events(PeerEventKind::Message).empty());
  // The loss is reported just after the socket is closed.
  cr_assert(node.Has(PeerEventKind::SessionLost, aLosses));
  cr_assert_eq(node.Events(PeerEventKind::SessionLost).size(), aLosses);
}

} // namespace

// Guards against messages lost, reordered or attributed to another host.
Test(peernetwork, MessagesTravelBothWays)
{
  Node left("127.71.0.2");
  Node right("127.71.0.3");
  constexpr std::size_t kMessages = 200;
  for (std::size_t i = 0; i < kMessages; ++i) {
    cr_assert(left.network->Send(
      right.address, wire::SessionKind::CALLS, Cancel(std::to_string(i))));
  }
  cr_assert(right.Has(PeerEventKind::Message, kMessages));
  const auto received = right.Events(PeerEventKind::Message);
  for (std::size_t i = 0; i < kMessages; ++i) {
    cr_assert_eq(received[i].envelope.callCancel.callId, std::to_string(i));
    cr_assert_eq(received[i].hello.host, "host-127.71.0.2");
    cr_assert_eq(received[i].remote.address, "127.71.0.2");
  }
  cr_assert(right.network->Reply(received[0].session, Cancel("back")));
  cr_assert(left.Has(PeerEventKind::Message));
  const auto reply = left.Events(PeerEventKind::Message).front();
  cr_assert_eq(reply.envelope.callCancel.callId, "back");
  cr_assert(reply.remote == right.address);
  cr_assert_eq(left.network->Counters().sessionsOpen, 1U);
}

// Guards against a large frame that is cut by partial reads and writes.
Test(peernetwork, LargeFramesArriveWhole)
{
  Node left("127.71.0.4");
  Node right("127.71.0.5");
  const std::string large(6U << 20U, 'x');
  for (int i = 0; i < 3; ++i) {
    cr_assert(left.network->Send(
      right.address, wire::SessionKind::CALLS, Cancel(large)));
  }
  cr_assert(right.Has(PeerEventKind::Message, 3));
  cr_assert_eq(
    right.Events(PeerEventKind::Message)[2].envelope.callCancel.callId, large);
}

// Guards against gossip that is lost, oversized or mistaken for a session.
Test(peernetwork, DatagramsArriveAndOversizedOnesAreRejected)
{
  Node left("127.71.0.6");
  Node right("127.71.0.7");
  cr_assert_not(
    left.network->SendDatagram(right.address, Cancel(std::string(1200, 'x'))));
  cr_assert_eq(left.network->Counters().sendsRejected, 1U);
  cr_assert(left.network->SendDatagram(right.address, Cancel("gossip")));
  cr_assert(right.Has(PeerEventKind::Datagram));
  const auto datagram = right.Events(PeerEventKind::Datagram).front();
  cr_assert_eq(datagram.session, 0U);
  cr_assert(datagram.remote == left.address);
  cr_assert_eq(datagram.envelope.callCancel.callId, "gossip");
}

// Guards against a caller that waits for a host that cannot be reached.
Test(peernetwork, DialFailureReportsTheDialledAddress)
{
  Node node("127.71.0.8");
  const PeerAddress nobody{ "127.71.0.9", loopback::FreePort("127.71.0.9") };
  for (int i = 0; i < 2; ++i) { // The second falls into the backoff.
    cr_assert(
      node.network->Send(nobody, wire::SessionKind::CALLS, Cancel("lost")));
    cr_assert(node.Has(PeerEventKind::SessionLost, i + 1U));
  }
  for (const auto& event : node.Events(PeerEventKind::SessionLost)) {
    cr_assert(event.remote == nobody);
    cr_assert_not(event.wasConnected);
    cr_assert_eq(event.unsent.size(), 1U);
    cr_assert_eq(event.unsent.front().callCancel.callId, "lost");
  }
}

// Guards against the backoff being permanent.
Test(peernetwork, DialSucceedsOnceTheHostIsThere)
{
  Node node("127.71.0.10");
  const PeerAddress late{ "127.71.0.11", loopback::FreePort("127.71.0.11") };
  cr_assert(node.network->Send(late, wire::SessionKind::CALLS, Cancel("a")));
  cr_assert(node.Has(PeerEventKind::SessionLost));
  Node other("127.71.0.11",
             [&late](PeerNetworkConfig& aConfig) { aConfig.listen = late; });
  cr_assert(Eventually([&] {
    node.network->Send(late, wire::SessionKind::CALLS, Cancel("b"));
    return !other.Events(PeerEventKind::Message).empty();
  }));
}

// Guards against sessions that stay open without a partner: a raw socket
// says Hello, then neither answers nor closes.
Test(peernetwork, SilentSessionIsReportedLost)
{
  Node node("127.71.0.12", [](PeerNetworkConfig& aConfig) {
    aConfig.heartbeatInterval = 50;
    aConfig.silenceLimit = 300;
  });
  Socket socket;
  cr_assert(socket.Connect(node.address.address, node.address.port));
  cr_assert(socket.Send(GoodHello() + CancelFrame("only")));
  cr_assert(node.Has(PeerEventKind::Message));
  cr_assert(node.Has(PeerEventKind::SessionLost));
  cr_assert_eq(node.Events(PeerEventKind::SessionLost).front().session,
               node.Events(PeerEventKind::Message).front().session);
  cr_assert_eq(node.network->Counters().sessionsOpen, 0U);
}

// Guards against idle sessions being taken for silent ones.
Test(peernetwork, HeartbeatsKeepAnIdleSessionOpen)
{
  const auto quick = [](PeerNetworkConfig& aConfig) {
    aConfig.heartbeatInterval = 50;
    aConfig.silenceLimit = 1000;
  };
  Node left("127.71.0.13", quick);
  Node right("127.71.0.14", quick);
  left.network->Send(right.address, wire::SessionKind::CONTROL, Cancel("a"));
  cr_assert(right.Has(PeerEventKind::Message));
  std::this_thread::sleep_for(std::chrono::milliseconds(2500));
  cr_assert(left.Events(PeerEventKind::SessionLost).empty());
  cr_assert(right.Events(PeerEventKind::SessionLost).empty());
}

// Guards against a dial that waits for a host that accepts but says nothing.
Test(peernetwork, MissingHelloEndsADial)
{
  Node node("127.71.0.15", [](PeerNetworkConfig& aConfig) {
    aConfig.heartbeatInterval = 50;
    aConfig.silenceLimit = 300;
  });
  Socket listener;
  cr_assert(listener.Listen("127.71.0.16"));
  const PeerAddress mute{ "127.71.0.16", listener.Port() };
  node.network->Send(mute, wire::SessionKind::CALLS, Cancel("a"));
  cr_assert(node.Has(PeerEventKind::SessionLost));
  cr_assert(node.Events(PeerEventKind::SessionLost).front().remote == mute);
}

// Guards against unbounded memory when the other side stops reading.
Test(peernetwork, FullQueueIsReported)
{
  Node node("127.71.0.17", [](PeerNetworkConfig& aConfig) {
    aConfig.silenceLimit = 600000;
    aConfig.maxQueuedBytes = 1U << 20U;
  });
  Socket listener;
  cr_assert(listener.Listen("127.71.0.18"));
  const PeerAddress slow{ "127.71.0.18", listener.Port() };
  node.network->Send(slow, wire::SessionKind::CALLS, Cancel("first"));
  Socket accepted = listener.Accept();
  cr_assert(accepted.Send(GoodHello()));
  cr_assert(Eventually([&] {
    node.network->Send(
      slow, wire::SessionKind::CALLS, Cancel(std::string(200000, 'x')));
    return !node.Events(PeerEventKind::SessionLost).empty();
  }));
  cr_assert_geq(node.network->Counters().sendsRejected, 1U);
}

// Guards against a session that lives on after its user dropped it.
Test(peernetwork, DropEndsTheSessionOnBothSides)
{
  Node left("127.71.0.19");
  Node right("127.71.0.20");
  left.network->Send(right.address, wire::SessionKind::CALLS, Cancel("a"));
  cr_assert(right.Has(PeerEventKind::Message));
  right.network->Drop(right.Events(PeerEventKind::Message).front().session);
  cr_assert(left.Has(PeerEventKind::SessionLost));
  cr_assert(right.Has(PeerEventKind::SessionLost));
}

// Guards against answers lost when a daemon stops right after sending them.
Test(peernetwork, StopSendsWhatIsQueued)
{
  Node left("127.71.0.21");
  Node right("127.71.0.22");
  left.network->Send(right.address, wire::SessionKind::CALLS, Cancel("a"));
  cr_assert(right.Has(PeerEventKind::Message));
  const std::string large(4U << 20U, 'x');
  right.network->Reply(right.Events(PeerEventKind::Message).front().session,
                       Cancel(large));
  right.network->Stop();
  cr_assert(left.Has(PeerEventKind::Message));
}

// Guard the session against bytes that a daemon never sends.
Test(peernetwork, OversizedFrameIsRejected)
{
  ExpectRejected(GoodHello() + std::string("\xff\xff\xff\xff", 4), 1);
}

Test(peernetwork, OversizedHelloIsRejected)
{
  ExpectRejected(std::string("\x00\x10\x00\x00", 4), 0);
}

Test(peernetwork, MalformedFrameIsRejected)
{
  ExpectRejected(GoodHello() + std::string("\x00\x00\x00\x03\xff\xff\xff", 7),
                 1);
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
  ExpectRejected(GoodHello() + GoodHello(), 1);
}

namespace {

wire::Envelope
Request(const std::string& aCallId)
{
  wire::CallRequest request;
  request.callId = aCallId;
  wire::Envelope envelope;
  envelope.__set_callRequest(request);
  return envelope;
}

wire::Envelope
AnswerTo(const std::string& aCallId)
{
  wire::CallAnswer answer;
  answer.callId = aCallId;
  answer.outcome = wire::CallOutcome::DONE;
  wire::Envelope envelope;
  envelope.__set_callAnswer(answer);
  return envelope;
}

} // namespace

// Guards against calls whose fate is unknown because the daemon they were sent
// to was stopped in order: what it did not answer, it did not run.
Test(peernetwork, an_orderly_end_tells_which_requests_were_not_run)
{
  Node entry("127.71.0.21");
  Node destination("127.71.0.22");
  const auto send = [&](const std::string& aId) {
    entry.network->Send(
      destination.address, wire::SessionKind::CALLS, Request(aId));
  };
  send("answered");
  send("unanswered");
  cr_assert(destination.Has(PeerEventKind::Message, 2));
  const auto received = destination.Events(PeerEventKind::Message);
  destination.network->Reply(received.front().session, AnswerTo("answered"));
  destination.network->Stop();
  cr_assert(entry.Has(PeerEventKind::SessionLost));
  const auto lost = entry.Events(PeerEventKind::SessionLost).front();
  cr_expect(lost.notTaken == std::vector<std::string>{ "unanswered" });
  cr_expect_eq(entry.Events(PeerEventKind::Message).size(), 1U);
}

// Guards against taking a broken session for an orderly end.
Test(peernetwork, a_broken_session_proves_nothing_about_its_requests)
{
  Node entry("127.71.0.23");
  Node destination("127.71.0.24");
  entry.network->Send(
    destination.address, wire::SessionKind::CALLS, Request("open"));
  cr_assert(destination.Has(PeerEventKind::Message));
  const auto received = destination.Events(PeerEventKind::Message);
  destination.network->Drop(received.front().session);
  cr_assert(entry.Has(PeerEventKind::SessionLost));
  const auto lost = entry.Events(PeerEventKind::SessionLost).front();
  cr_expect(lost.wasConnected);
  cr_expect(lost.notTaken.empty());
}

// Guards against a reactor that is opened for more descriptors than the process
// may have; ACE refuses that, and the daemon crashed when it used the reactor.
Test(peernetwork, starts_under_a_low_descriptor_limit)
{
  constexpr rlim_t kDescriptors = 512;
  const rlimit limit{ kDescriptors, kDescriptors };
  cr_assert_eq(setrlimit(RLIMIT_NOFILE, &limit), 0);
  Node node("127.71.0.25");
  Node other("127.71.0.26");
  node.network->Send(other.address, wire::SessionKind::CALLS, Cancel("any"));
  cr_expect(other.Has(PeerEventKind::Message));
}
