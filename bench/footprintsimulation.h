#pragma once

#include "footprintdomain.h"
#include "footprintsockets.h"

#include "catalogue/delta.h"
#include "common/random.h"
#include "distribution/acceptor.h"
#include "distribution/fakestore.h"
#include "distribution/fetchserver.h"
#include "distribution/versionholder.h"
#include "distribution/wireconversion.h"
#include "membership/membersyncer.h"
#include "membership/membertable.h"
#include "membership/updatequeue.h"
#include "peer/peernetwork.h"
#include "peer_constants.h"

#include <fmt/format.h>

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace lacewingwharf::bench {

constexpr const char* kDaemonAddress = "127.84.8.1";
constexpr const char* kPusherAddress = "127.84.8.2";
constexpr int kFleetDomains = 4;

/** Sizes of the simulated state, and event rates of the whole fleet. */
struct SimulationLoad
{
  int members = 1575; // In the daemon's own failure domain.
  int services = 270;
  int routes = 540;
  double changesPerSecond = 0;
  double restartsPerSecond = 0;
  double failuresPerSecond = 0;
  double pingsPerSecond = 1; // Received by the daemon.
};

/**
 * Simulates the rest of a large fleet for one daemon. Members of its failure
 * domain ping it and answer its pings. They repeat record updates in these
 * messages as often as gossip does. The simulation also sends summaries of the
 * other failure domains and pushes of catalogue changes, and answers syncs and
 * fetches.
 */
class FootprintSimulation
{
public:
  explicit FootprintSimulation(const SimulationLoad& aLoad)
    : load(aLoad)
    , clock(Clock::Steady())
    , wall(Clock::Wall())
    , random(SeededRandom(1))
    , table("domain-0")
    , fetchServer(this->clock, 2)
  {
    this->FillOwnDomain();
    this->FillOtherDomains();
    this->FillCatalogue();
    this->OpenNetwork();
  }

  ~FootprintSimulation() { this->pusher->Stop(); }

  FootprintSimulation(const FootprintSimulation&) = delete;
  FootprintSimulation& operator=(const FootprintSimulation&) = delete;

  bool IsOpen() const { return this->sockets->IsOpen() && this->isOpen; }
  std::uint64_t Datagrams() const { return this->sockets->Datagrams(); }
  std::uint64_t Frames() const { return this->sockets->Frames(); }
  int Changes() const { return this->changes; }
  int RecordChanges() const { return this->recordChanges; }
  std::int64_t Version() const
  {
    return this->holder.HeldSnapshot()->Version();
  }

  void SetRates(const SimulationLoad& aLoad)
  {
    this->load.changesPerSecond = aLoad.changesPerSecond;
    this->load.restartsPerSecond = aLoad.restartsPerSecond;
    this->load.failuresPerSecond = aLoad.failuresPerSecond;
    this->load.pingsPerSecond = aLoad.pingsPerSecond;
  }

  static std::string PeersSetting()
  {
    return fmt::format("{}:{}, {}:{}",
                       SimulatedAddress(0),
                       kFootprintPort,
                       SimulatedAddress(1),
                       kFootprintPort);
  }

  void Run(Millis aTime)
  {
    const Millis end = this->clock.Now() + aTime;
    Millis last = this->clock.Now();
    while (this->clock.Now() < end) {
      this->sockets->Poll(1);
      const Millis now = this->clock.Now();
      this->GenerateEvents(static_cast<double>(now - last) / 1000);
      last = now;
    }
  }

private:
  void FillOwnDomain()
  {
    for (int index = 0; index + 1 < this->load.members; ++index) {
      this->records.push_back(SimulatedRecord("region-0",
                                              "domain-0",
                                              static_cast<std::size_t>(index),
                                              this->load.services,
                                              this->wall.Now()));
      this->table.Merge(this->records.back(), 0);
    }
  }

  void FillOtherDomains()
  {
    for (int domain = 1; domain < kFleetDomains; ++domain) {
      this->otherDomains.emplace_back(domain < kFleetDomains / 2 ? "region-0"
                                                                 : "region-1",
                                      fmt::format("domain-{}", domain),
                                      this->load.members,
                                      this->load.services,
                                      this->wall);
    }
  }

  static std::string RouteText(int aRoute, int aServices, int aConcurrency)
  {
    return fmt::format(
      R"({{"kind":"route","owner":"shop","class":"interactive",)"
      R"("service":"service-{}","match":{{"path":"/part-{}"}},)"
      R"("limits":{{"concurrency":{},"rate":200,"deadline_ms":2000}}}})",
      aRoute % aServices,
      aRoute,
      aConcurrency);
  }

  void FillCatalogue()
  {
    for (int service = 0; service < this->load.services; ++service) {
      this->store.Edit(
        fmt::format("catalogue/service-{}", service),
        R"({"kind":"service","owner":"engraving","class":"interactive"})");
    }
    for (int route = 0; route < this->load.routes; ++route) {
      this->store.Edit(fmt::format("catalogue/route-{}", route),
                       RouteText(route, this->load.services, 10));
    }
    this->AcceptCatalogue();
  }

  Delta AcceptCatalogue()
  {
    const auto list = this->store.Hooks().list(std::string(kCataloguePrefix));
    const Decision decision =
      DecideNext(*this->holder.HeldSnapshot(), list.assume_value());
    this->holder.Offer(*decision.delta);
    return *decision.delta;
  }

  static wire::Hello MakeHello(const wire::MemberRecord& aRecord)
  {
    wire::Hello hello;
    hello.protocol = wire::g_peer_constants.PROTOCOL_VERSION;
    hello.host = aRecord.host;
    hello.incarnation = aRecord.incarnation;
    hello.region = aRecord.region;
    hello.domain = aRecord.domain;
    return hello;
  }

  void OpenNetwork()
  {
    std::vector<wire::Hello> hellos;
    std::vector<std::string> addresses;
    for (const wire::MemberRecord& record : this->records) {
      hellos.push_back(MakeHello(record));
      addresses.push_back(record.address);
    }
    this->sockets = std::make_unique<PeerSockets>(
      hellos,
      addresses,
      kFootprintPort,
      PeerSockets::Handlers{
        [this](std::size_t aPeer, const wire::Envelope& aEnvelope) {
          this->HandleDatagram(aPeer, aEnvelope);
        },
        [this](std::size_t, int aSession, const wire::Envelope& aEnvelope) {
          this->HandleMessage(aSession, aEnvelope);
        } });
    // Parent of the daemon in the distribution trees.
    this->pusher = std::make_unique<PeerNetwork>(
      PeerNetworkConfig{ .listen = { kPusherAddress, kFootprintPort },
                         .self = MakeHello(this->records.front()) },
      PeerHandlers{ [](const PeerEvent&) {}, [](const PeerEvent&) {} });
    this->isOpen = this->pusher->Start();
    this->daemonAddress.sin_family = AF_INET;
    this->daemonAddress.sin_port = htons(kFootprintPort);
    inet_pton(AF_INET, kDaemonAddress, &this->daemonAddress.sin_addr);
  }

  void HandleDatagram(std::size_t aPeer, const wire::Envelope& aEnvelope)
  {
    if (aEnvelope.__isset.ping) {
      wire::Envelope answer;
      answer.__set_ack(
        this->MakeGossipMessage<wire::Ack>(aPeer, aEnvelope.ping.sequence));
      this->sockets->SendDatagram(aPeer, this->daemonAddress, answer);
    }
  }

  template<typename Message>
  Message MakeGossipMessage(std::size_t aPeer, std::int64_t aSequence)
  {
    constexpr std::size_t kUpdateBytes = 1000;
    Message message;
    message.sequence = aSequence;
    message.host = this->records[aPeer].host;
    message.version = this->holder.HeldSnapshot()->Version();
    message.updates = this->queue.Take(
      kUpdateBytes, static_cast<std::size_t>(this->load.members));
    return message;
  }

  void HandleMessage(int aSession, const wire::Envelope& aEnvelope)
  {
    wire::Envelope answer;
    if (aEnvelope.__isset.memberSync && !aEnvelope.memberSync.isReply) {
      answer.__set_memberSync(
        MemberSyncer::AnswerTo(aEnvelope.memberSync, this->table));
      this->sockets->Send(aSession, answer);
      if (aEnvelope.memberSync.buckets.empty()) {
        this->SendAllSummaries(aSession);
      }
    } else if (aEnvelope.__isset.configFetch) {
      answer.__set_configAnswer(
        this->fetchServer.Answer(this->holder, aEnvelope.configFetch.held));
      this->sockets->Send(aSession, answer);
    }
  }

  void SendAllSummaries(int aSession)
  {
    for (const SimulatedDomain& other : this->otherDomains) {
      wire::Envelope envelope;
      envelope.__set_domainSummary(other.WholeSummary());
      this->sockets->Send(aSession, envelope);
    }
  }

  void GenerateEvents(double aSeconds)
  {
    const auto isDue = [aSeconds](double& aDue, double aRate) {
      aDue += aSeconds * aRate;
      if (aDue < 1) {
        return false;
      }
      aDue -= 1;
      return true;
    };
    if (isDue(this->dueHeartbeats, 1)) {
      this->sockets->SendHeartbeats();
    }
    if (isDue(this->duePings, this->load.pingsPerSecond)) {
      this->PingDaemon();
    }
    if (isDue(this->dueChanges, this->load.changesPerSecond)) {
      this->ChangeCatalogue();
    }
    // A restart changes the record three times: stopped, started, ready. So
    // does a failure: suspected, dead, replaced.
    constexpr double kRecordChanges = 3;
    if (isDue(this->dueRecordChanges,
              kRecordChanges * (this->load.restartsPerSecond +
                                this->load.failuresPerSecond))) {
      this->ChangeRecord();
    }
    this->SendSummaries();
  }

  void PingDaemon()
  {
    const std::size_t peer = RandomBelow(this->random, this->records.size());
    wire::Envelope envelope;
    envelope.__set_ping(
      this->MakeGossipMessage<wire::Ping>(peer, ++this->sequence));
    this->sockets->SendDatagram(peer, this->daemonAddress, envelope);
  }

  void ChangeCatalogue()
  {
    ++this->changes;
    const int route = this->changes % this->load.routes;
    this->store.Edit(
      fmt::format("catalogue/route-{}", route),
      RouteText(route, this->load.services, 100 + this->changes));
    const wire::ConfigBody body = ToWire(this->AcceptCatalogue());
    // Each change arrives along the trees of both relays.
    for (const std::size_t root : { 0U, 1U }) {
      wire::ConfigPush push;
      push.root = this->records[root].host;
      push.body = body;
      wire::Envelope envelope;
      envelope.__set_configPush(push);
      this->PushToDaemon(envelope);
    }
  }

  void PushToDaemon(const wire::Envelope& aEnvelope)
  {
    this->pusher->Send({ kDaemonAddress, kFootprintPort },
                       wire::SessionKind::CONTROL,
                       aEnvelope);
  }

  void ChangeRecord()
  {
    ++this->recordChanges;
    const int domain = this->recordChanges % kFleetDomains;
    const std::size_t index = RandomBelow(this->random, this->records.size());
    if (domain == 0) {
      wire::MemberRecord& record = this->records[index];
      ToggleState(record);
      this->table.Merge(record, 0);
      this->queue.Add(record);
      this->PushRecord(index);
      return;
    }
    this->otherDomains[static_cast<std::size_t>(domain - 1)].ChangeRecord(
      index);
  }

  /** Sends a record as an urgent push, in addition to gossip. */
  void PushRecord(std::size_t aIndex)
  {
    wire::Ack push;
    push.host = this->records[aIndex].host;
    push.updates = { this->records[aIndex] };
    wire::Envelope envelope;
    envelope.__set_ack(push);
    this->sockets->SendDatagram(aIndex, this->daemonAddress, envelope);
  }

  void SendSummaries()
  {
    for (SimulatedDomain& other : this->otherDomains) {
      auto summary = other.TakeDueSummary(this->clock.Now());
      if (summary) {
        summary->root = this->records.front().host;
        wire::Envelope envelope;
        envelope.__set_domainSummary(*summary);
        this->PushToDaemon(envelope);
      }
    }
  }

  SimulationLoad load;
  Clock clock;
  Clock wall;
  Random random;
  MemberTable table;
  std::vector<wire::MemberRecord> records;
  std::deque<SimulatedDomain> otherDomains;
  UpdateQueue queue;
  FakeStore store;
  VersionHolder holder;
  FetchServer fetchServer;
  std::unique_ptr<PeerSockets> sockets;
  std::unique_ptr<PeerNetwork> pusher;
  sockaddr_in daemonAddress{};
  bool isOpen = false;
  std::int64_t sequence = 0;
  int changes = 0;
  int recordChanges = 0;
  double dueHeartbeats = 0;
  double duePings = 0;
  double dueChanges = 0;
  double dueRecordChanges = 0;
};

} // namespace lacewingwharf::bench
