#pragma once

#include "membership/membership.h"
#include "membership/wiresize.h"

#include <fmt/format.h>

#include <algorithm>
#include <ctime>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace lacewingwharf {

/** Faults of the simulated network. */
struct NetworkFaults
{
  // Loss and duplication affect datagrams only; sessions are reliable.
  unsigned lossPercent = 0;
  unsigned duplicatePercent = 0;
  Millis minDelay = 1;
  Millis maxDelay = 1;
};

/**
 * Membership instances on a shared manual clock, connected by an in-memory
 * message queue; for tests and benchmarks.
 */
class MemoryNetwork
{
public:
  /** Called for every message before its receiver handles it. */
  using MessageObserver =
    std::function<void(std::size_t aTo, const wire::Envelope&)>;

  /** A simulated daemon; its state and traffic counts survive restarts. */
  struct Node
  {
    MembershipConfig config;
    std::unique_ptr<Membership> membership;
    std::map<std::pair<std::string, int>, Announcement> announcements;
    bool isFrozen = false;
    bool isDown = false;
    std::vector<std::function<void()>> queuedMessages; // Received while frozen.
    std::uint64_t datagramBytes = 0;
    std::uint64_t controlBytes = 0;
    std::uint64_t otherDomainBytes = 0;
    std::uint64_t otherRegionBytes = 0;
    int restarts = 0;
    bool isMeasured = false;
    double busyMillis = 0; // CPU time; counted only while isMeasured is set.
  };

  explicit MemoryNetwork(std::uint64_t aSeed)
    : clock(1000000)
    , random(SeededRandom(aSeed))
  {
  }

  /** Adds and starts a node whose seeds are the first aSeedCount nodes. */
  std::size_t Add(const std::string& aRegion,
                  const std::string& aDomain,
                  std::size_t aSeedCount = 3)
  {
    Node node;
    const std::size_t index = this->nodes.size();
    node.config.host = fmt::format("{}-{:04}", aDomain, index);
    node.config.address = fmt::format("10.0.{}.{}", index / 250, index % 250);
    node.config.peerPort = 7000;
    node.config.region = aRegion;
    node.config.domain = aDomain;
    for (std::size_t seed = 0; seed < aSeedCount; ++seed) {
      node.config.peers.push_back(
        { fmt::format("10.0.{}.{}", seed / 250, seed % 250), 7000 });
    }
    this->byAddress[{ node.config.address, 7000 }] = index;
    this->nodes.push_back(std::move(node));
    this->Start(index);
    return index;
  }

  /** Starts a new process, as after a crash or a replacement. */
  void Start(std::size_t aNode)
  {
    Node& node = this->nodes[aNode];
    node.isDown = false;
    node.isFrozen = false;
    node.queuedMessages.clear();
    ++node.restarts;
    MembershipConfig config = node.config;
    config.incarnation = this->clock.View().Now();
    if (this->adjustConfig) {
      this->adjustConfig(config);
    }
    node.membership = std::make_unique<Membership>(config,
                                                   this->clock.View(),
                                                   this->clock.View(),
                                                   SeededRandom(this->random()),
                                                   this->MakeHooks(aNode));
  }

  void Crash(std::size_t aNode)
  {
    this->nodes[aNode].isDown = true;
    this->nodes[aNode].isFrozen = false;
    this->nodes[aNode].membership.reset();
  }

  void Freeze(std::size_t aNode) { this->nodes[aNode].isFrozen = true; }

  /** Ends a freeze; runs either the timers or the queued messages first. */
  void Unfreeze(std::size_t aNode, bool aRunTimersFirst)
  {
    Node& node = this->nodes[aNode];
    node.isFrozen = false;
    auto queuedMessages = std::exchange(node.queuedMessages, {});
    if (aRunTimersFirst) {
      node.membership->Tick();
    }
    for (auto& deliver : queuedMessages) {
      deliver();
    }
  }

  void Announce(std::size_t aNode, const Announcement& aAnnouncement)
  {
    Node& node = this->nodes[aNode];
    node.announcements[{ aAnnouncement.service, aAnnouncement.port }] =
      aAnnouncement;
    node.membership->Announce(aAnnouncement);
  }

  void Run(Millis aMillis)
  {
    const Millis end = this->clock.View().Now() + aMillis;
    while (this->clock.View().Now() < end) {
      this->clock.Advance(static_cast<double>(kStep));
      this->Deliver();
      this->TickDue();
    }
  }

  Membership& At(std::size_t aNode) { return *this->nodes[aNode].membership; }

  bool IsUp(std::size_t aNode) const
  {
    return !this->nodes[aNode].isDown && !this->nodes[aNode].isFrozen;
  }

  ManualClock clock;
  Random random;
  NetworkFaults faults;
  std::vector<Node> nodes;
  std::function<bool(const Node&, const Node&)> isBlocked;
  MessageObserver onMessage;
  std::function<void(std::size_t aNode, MembershipHooks&)> extendHooks;
  std::function<void(MembershipConfig&)> adjustConfig;
  std::size_t largestDatagram = 0;

private:
  static constexpr Millis kStep = 10;
  static constexpr Millis kTickInterval = 100;

  struct Session
  {
    std::size_t dialler = 0;
    std::size_t listener = 0;
  };

  MembershipHooks MakeHooks(std::size_t aNode)
  {
    MembershipHooks hooks;
    hooks.sendDatagram = [this, aNode](const auto& aTo, const auto& aEnvelope) {
      this->SendDatagram(aNode, aTo, aEnvelope);
    };
    hooks.sendControl = [this, aNode](const auto& aTo, const auto& aEnvelope) {
      const auto to = this->byAddress.find(aTo);
      if (to != this->byAddress.end()) {
        this->SendControl(
          aNode, to->second, this->SessionOf(aNode, to->second), aEnvelope);
      }
    };
    hooks.reply = [this, aNode](SessionId aSession, const auto& aEnvelope) {
      const Session& session = this->sessions[aSession];
      const std::size_t to =
        session.dialler == aNode ? session.listener : session.dialler;
      this->SendControl(aNode, to, aSession, aEnvelope);
    };
    if (this->extendHooks) {
      this->extendHooks(aNode, hooks);
    }
    return hooks;
  }

  SessionId SessionOf(std::size_t aFrom, std::size_t aTo)
  {
    const auto [position, isNew] =
      this->sessionIds.try_emplace({ aFrom, aTo }, this->sessions.size());
    if (isNew) {
      this->sessions.push_back({ aFrom, aTo });
    }
    return position->second;
  }

  void CountBytes(std::size_t aFrom, std::size_t aTo, std::size_t aBytes)
  {
    Node& from = this->nodes[aFrom];
    const Node& to = this->nodes[aTo];
    if (from.config.domain != to.config.domain) {
      from.otherDomainBytes += aBytes;
    }
    if (from.config.region != to.config.region) {
      from.otherRegionBytes += aBytes;
    }
  }

  void SendDatagram(std::size_t aFrom,
                    const PeerAddress& aTo,
                    const wire::Envelope& aEnvelope)
  {
    const auto to = this->byAddress.find(aTo);
    if (to == this->byAddress.end()) {
      return;
    }
    const std::size_t bytes = EncodedSize(aEnvelope);
    this->largestDatagram = std::max(this->largestDatagram, bytes);
    this->nodes[aFrom].datagramBytes += bytes;
    this->CountBytes(aFrom, to->second, bytes);
    if (RandomBelow(this->random, 100) < this->faults.lossPercent) {
      return;
    }
    const bool isDuplicated =
      RandomBelow(this->random, 100) < this->faults.duplicatePercent;
    const auto shared = std::make_shared<wire::Envelope>(aEnvelope);
    for (int copy = 0; copy < (isDuplicated ? 2 : 1); ++copy) {
      this->Enqueue(aFrom, to->second, [this, aFrom, to = to->second, shared] {
        const MembershipConfig& from = this->nodes[aFrom].config;
        this->NotifyObserver(to, *shared);
        this->nodes[to].membership->HandleDatagram(
          { from.address, from.peerPort }, *shared);
      });
    }
  }

  void SendControl(std::size_t aFrom,
                   std::size_t aTo,
                   SessionId aSession,
                   const wire::Envelope& aEnvelope)
  {
    const std::size_t bytes = EncodedSize(aEnvelope) + 4;
    this->nodes[aFrom].controlBytes += bytes;
    this->CountBytes(aFrom, aTo, bytes);
    const auto shared = std::make_shared<wire::Envelope>(aEnvelope);
    this->Enqueue(aFrom, aTo, [this, aFrom, aTo, aSession, shared] {
      this->NotifyObserver(aTo, *shared);
      this->nodes[aTo].membership->HandleControl(
        aSession, this->nodes[aFrom].config.host, *shared);
    });
  }

  void NotifyObserver(std::size_t aTo, const wire::Envelope& aEnvelope)
  {
    if (this->onMessage) {
      this->onMessage(aTo, aEnvelope);
    }
  }

  void Enqueue(std::size_t aFrom, std::size_t aTo, std::function<void()> aRun)
  {
    if (this->isBlocked &&
        this->isBlocked(this->nodes[aFrom], this->nodes[aTo])) {
      return;
    }
    const auto spread = static_cast<std::uint64_t>(this->faults.maxDelay -
                                                   this->faults.minDelay + 1);
    const Millis delay = this->faults.minDelay +
                         static_cast<Millis>(RandomBelow(this->random, spread));
    const int restarts = this->nodes[aTo].restarts;
    this->queue.emplace(this->clock.View().Now() + delay,
                        [this, aTo, restarts, run = std::move(aRun)] {
                          Node& to = this->nodes[aTo];
                          // The sessions and sockets of an earlier process are
                          // closed.
                          if (to.isDown || to.restarts != restarts) {
                            return;
                          }
                          if (to.isFrozen) {
                            to.queuedMessages.push_back(run);
                            return;
                          }
                          RunMeasured(to, run);
                        });
  }

  static void RunMeasured(Node& aNode, const std::function<void()>& aRun)
  {
    if (!aNode.isMeasured) {
      aRun();
      return;
    }
    const std::clock_t start = std::clock();
    aRun();
    aNode.busyMillis +=
      1000.0 * static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
  }

  void Deliver()
  {
    const Millis now = this->clock.View().Now();
    while (!this->queue.empty() && this->queue.begin()->first <= now) {
      const auto run = std::move(this->queue.begin()->second);
      this->queue.erase(this->queue.begin());
      run();
    }
  }

  void TickDue()
  {
    const Millis phase = this->clock.View().Now() / kStep;
    const Millis steps = kTickInterval / kStep;
    for (std::size_t index = static_cast<std::size_t>(phase % steps);
         index < this->nodes.size();
         index += static_cast<std::size_t>(steps)) {
      if (this->IsUp(index)) {
        RunMeasured(this->nodes[index],
                    [this, index] { TickNode(this->nodes[index]); });
      }
    }
  }

  static void TickNode(Node& aNode)
  {
    // Renews on every tick. Renewals send nothing, so it does not matter that
    // they are more frequent than those of real servers, once a second.
    for (const auto& [key, announcement] : aNode.announcements) {
      aNode.membership->Announce(announcement);
    }
    aNode.membership->Tick();
  }

  std::multimap<Millis, std::function<void()>> queue;
  std::map<PeerAddress, std::size_t> byAddress;
  std::map<std::pair<std::size_t, std::size_t>, SessionId> sessionIds;
  std::vector<Session> sessions{ 1 };
};

/** Number of endpoints of the service "orders" in the view of a node. */
inline std::size_t
EndpointCount(MemoryNetwork& aNetwork, std::size_t aNode)
{
  const auto view = aNetwork.At(aNode).View();
  const auto service = view->services.find("orders");
  return service == view->services.end() ? 0 : service->second.endpoints.size();
}

} // namespace lacewingwharf
