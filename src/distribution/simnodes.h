#pragma once

#include "distribution/fleetsim.h"
#include "distribution/pushtree.h"
#include "distribution/wireconversion.h"

#include <memory>
#include <string>

namespace lacewingwharf {

inline Content
ContentOf(const Snapshot& aSnapshot)
{
  Content content;
  for (const auto& [name, accepted] : aSnapshot.Entries()) {
    content[name] = accepted->text;
  }
  return content;
}

/**
 * A simulated daemon that runs a Distributor and its watches of the platform.
 */
class RealNode : public SimNode
{
public:
  /** aCandidates are the hosts that may be the acceptor. */
  RealNode(FleetSim& aSim,
           const std::string& aHost,
           std::vector<std::string> aCandidates)
    : sim(aSim)
    , host(aHost)
    , distributor(MakeConfig(aSim, aHost),
                  aSim.clock.View(),
                  SeededRandom(aSim.RandomNumberBelow(1U << 30U)),
                  this->MakeHooks(std::move(aCandidates)))
  {
  }

  void Tick() override
  {
    this->distributor.Tick();
    if (this->distributor.IsRelay() || this->distributor.IsRelaySubstitute()) {
      this->Watch("accepted/", this->acceptedSince);
    }
    if (this->distributor.IsAcceptor()) {
      this->Watch("catalogue/", this->catalogueSince);
    }
  }

  void Deliver(const std::string& aFrom,
               const wire::Envelope& aEnvelope) override
  {
    if (aEnvelope.__isset.configPush) {
      this->distributor.HandlePush(aFrom, aEnvelope.configPush);
    } else if (aEnvelope.__isset.configFetch) {
      this->distributor.HandleFetch(
        SessionOf(aFrom), aFrom, aEnvelope.configFetch);
    } else if (aEnvelope.__isset.configAnswer) {
      this->distributor.HandleAnswer(aFrom, aEnvelope.configAnswer);
    } else if (aEnvelope.__isset.relayHeartbeat) {
      this->distributor.HandleRelayHeartbeat(aEnvelope.relayHeartbeat);
    }
  }

  void HandleGossip(const std::string& aFrom, std::int64_t aVersion) override
  {
    this->distributor.HandlePeerVersion(aFrom, aVersion);
  }

  std::int64_t Version() const override
  {
    return this->distributor.HeldSnapshot()->Version();
  }

  const Distributor& Get() const { return this->distributor; }

private:
  static DistributorConfig MakeConfig(const FleetSim& aSim,
                                      const std::string& aHost)
  {
    DistributorConfig config;
    config.host = aHost;
    config.incarnation = aSim.hosts.at(aHost).generation;
    config.group = "d";
    config.fanout = 2;        // So that a small tree has several levels.
    config.maxKeptDeltas = 8; // So that whole snapshots are needed too.
    return config;
  }

  static SessionId SessionOf(const std::string& aHost)
  {
    return std::stoull(aHost.substr(1)) + 1;
  }

  DistributorHooks MakeHooks(std::vector<std::string> aCandidates)
  {
    DistributorHooks hooks{
      [this](const std::string& aTo, const wire::Envelope& aEnvelope) {
        this->sim.Send(this->host, aTo, aEnvelope);
      },
      [this](SessionId aSession, const wire::Envelope& aEnvelope) {
        this->sim.Send(
          this->host, "h" + std::to_string(aSession - 1), aEnvelope);
      },
      [this] { return this->sim.names; },
      [candidates = std::move(aCandidates)] { return candidates; },
      [this](PlatformJob aJob) {
        this->sim.Submit(this->host, std::move(aJob));
        return true;
      },
      [this](const SnapshotPtr& aHeld) {
        this->sim.Check(this->host, aHeld->Version(), ContentOf(*aHeld));
      }
    };
    hooks.sendDatagram = [this](const std::string& aTo,
                                const wire::Envelope& aEnvelope) {
      this->sim.SendDatagram(this->host, aTo, aEnvelope);
    };
    hooks.isWatchWorking = [this] { return this->isWatchWorking; };
    return hooks;
  }

  /**
   * Starts a watch, unless one is active for the prefix. The first call reads a
   * full list instead.
   */
  void Watch(const std::string& aPrefix, std::int64_t& aSince)
  {
    if (!this->activeWatches.insert(aPrefix).second) {
      return;
    }
    const std::weak_ptr<int> guard = this->alive;
    const std::int64_t since = aSince;
    const auto job =
      [this, guard, aPrefix, since, &aSince, clock = this->sim.clock.View()](
        const ObjectStore& aStore) -> Completion {
      const bool isFull = since == 0;
      const Millis now = clock.Now();
      auto result =
        isFull ? aStore.list(aPrefix) : aStore.watch(aPrefix, since, 0);
      return [this, guard, aPrefix, isFull, &aSince, result, now] {
        if (!guard.expired()) {
          this->activeWatches.erase(aPrefix);
          this->HandleWatchResult(aPrefix, aSince, result, isFull);
          if (result && aPrefix == "accepted/") {
            this->distributor.HandleWatchAnswer(now);
          }
        }
      };
    };
    this->sim.Submit(this->host, job);
  }

  void HandleWatchResult(const std::string& aPrefix,
                         std::int64_t& aSince,
                         const PlatformResult<ObjectList>& aResult,
                         bool aIsFull)
  {
    this->isWatchWorking = aResult.has_value();
    if (aResult) {
      aSince = aResult.assume_value().revision;
      if (!aIsFull && aResult.assume_value().objects.empty()) {
        return;
      }
    }
    if (aPrefix == "accepted/") {
      this->distributor.HandleAcceptedVersions(aResult, aIsFull);
    } else {
      this->distributor.HandleCatalogueChange(aResult, aIsFull);
    }
  }

  FleetSim& sim;
  std::string host;
  std::shared_ptr<int> alive = std::make_shared<int>(0);
  std::set<std::string> activeWatches;
  bool isWatchWorking = false;
  std::int64_t acceptedSince = 0;
  std::int64_t catalogueSince = 0;
  Distributor distributor;
};

/** The naive baseline: applies each version that arrives, without any check. */
class NaiveNode : public SimNode
{
public:
  NaiveNode(FleetSim& aSim, std::string aHost)
    : sim(aSim)
    , host(std::move(aHost))
  {
  }

  void Tick() override {}

  void Deliver(const std::string& aFrom,
               const wire::Envelope& aEnvelope) override
  {
    if (aEnvelope.__isset.configPush) {
      this->ApplyUnchecked(aEnvelope.configPush.body);
      for (const std::string& child : PushTreeChildren(
             this->sim.names, aEnvelope.configPush.root, this->host, 2)) {
        this->sim.Send(this->host, child, aEnvelope);
      }
    } else if (aEnvelope.__isset.configFetch) {
      wire::Envelope reply;
      wire::ConfigAnswer answer;
      answer.held = this->version;
      reply.__set_configAnswer(answer);
      this->sim.Send(this->host, aFrom, reply);
    }
    for (const wire::ConfigBody& body : aEnvelope.configAnswer.bodies) {
      this->ApplyUnchecked(body);
    }
  }

  void HandleGossip(const std::string& aFrom, std::int64_t aVersion) override
  {
    if (aVersion > this->version) {
      wire::ConfigFetch fetch;
      fetch.held = this->version;
      wire::Envelope envelope;
      envelope.__set_configFetch(fetch);
      this->sim.Send(this->host, aFrom, envelope);
    }
  }

  std::int64_t Version() const override { return this->version; }

private:
  void ApplyUnchecked(const wire::ConfigBody& aBody)
  {
    const Delta delta = FromWire(aBody).assume_value();
    if (delta.isWhole) {
      this->content.clear();
    }
    for (const std::string& name : delta.removed) {
      this->content.erase(name);
    }
    for (const ChangedEntry& changed : delta.changed) {
      this->content[changed.name] = changed.text;
    }
    this->version = delta.stamp.version;
    this->sim.Check(this->host, this->version, this->content);
  }

  FleetSim& sim;
  std::string host;
  std::int64_t version = 0;
  Content content;
};

} // namespace lacewingwharf
