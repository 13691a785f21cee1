#pragma once

#include "common/random.h"
#include "distribution/distributor.h"
#include "distribution/fakestore.h"
#include "distribution/wireconversion.h"

#include <fmt/format.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lacewingwharf {

inline constexpr int kServices = 270;
inline constexpr int kRoutes = 400;
inline constexpr int kDomains = 4;
inline constexpr int kChangeCount = 4;
inline constexpr double kDomainLatencyMillis = 0.5;
inline constexpr double kRegionLatencyMillis = 8;
inline constexpr double kTickIntervalMillis = 250;
inline constexpr double kChangeIntervalMillis = 4000;
inline constexpr std::uint64_t kFrameHeaderBytes = 4;

inline std::string
ServiceText(int aIndex)
{
  return fmt::format(
    R"({{"kind":"service","owner":"owner-{}","class":"interactive"}})",
    aIndex % 40);
}

inline std::string
RouteText(int aIndex, int aConcurrency)
{
  return fmt::format(
    R"({{"kind":"route","owner":"owner-{}","class":"interactive",)"
    R"("service":"service-{}","match":{{"path":"/service-{}/part-{}",)"
    R"("methods":["GET","POST"]}},"idempotent":false,)"
    R"("limits":{{"concurrency":{},"rate":200,"deadline_ms":2000,)"
    R"("queue_ms":200,"body_bytes":1048576,"retries":1}}}})",
    aIndex % 40,
    aIndex % kServices,
    aIndex % kServices,
    aIndex,
    aConcurrency);
}

inline void
FillCatalogue(FakeStore& aStore, int aServices, int aRoutes)
{
  for (int index = 0; index < aServices; ++index) {
    aStore.Edit(fmt::format("catalogue/service-{}", index), ServiceText(index));
  }
  for (int index = 0; index < aRoutes; ++index) {
    aStore.Edit(fmt::format("catalogue/route-{}", index), RouteText(index, 24));
  }
}

inline std::uint64_t
EncodedBytes(const wire::Envelope& aEnvelope)
{
  const auto buffer =
    std::make_shared<apache::thrift::transport::TMemoryBuffer>();
  apache::thrift::protocol::TCompactProtocol protocol(buffer);
  aEnvelope.write(&protocol);
  return buffer->available_read() + kFrameHeaderBytes;
}

inline wire::Envelope
MakePush(const Delta& aDelta)
{
  wire::ConfigPush push;
  push.root = "h0000";
  push.body = ToWire(aDelta);
  wire::Envelope envelope;
  envelope.__set_configPush(push);
  return envelope;
}

/**
 * Cost of a run of changes. MeasureTree() divides the totals by the number of
 * changes.
 */
struct Traffic
{
  double messages = 0;
  double bytes = 0;
  double linkBytes = 0; // Between the regions, including platform calls.
  double platformCalls = 0;
  double platformBytes = 0;
  double largestSender = 0; // Bytes sent by the daemon that sends most.
  double slowestMillis = 0; // Time until the last daemon has the change.
};

/**
 * Simulates daemons in four failure domains of two regions. The platform is in
 * the first region. The catalogue is small because the size of a delta does not
 * depend on it, and because every one of the thousands of daemons holds a copy.
 */
class Fleet
{
public:
  explicit Fleet(int aMembers)
    : random(SeededRandom(1))
    , sentBytes(static_cast<std::size_t>(aMembers))
  {
    FillCatalogue(this->store, 3, 3);
    for (int index = 0; index < aMembers; ++index) {
      this->members[DomainOf(index)].push_back(NameOf(index));
    }
    for (int index = 0; index < aMembers; ++index) {
      this->daemons.push_back(this->MakeDaemon(index));
    }
    this->RunFor(4000);
  }

  Traffic Measure(std::uint64_t aLossPercent)
  {
    this->traffic = {};
    std::ranges::fill(this->sentBytes, 0);
    this->lossPercent = aLossPercent;
    for (int change = 0; change < kChangeCount; ++change) {
      this->store.Edit("catalogue/route-1", RouteText(1, 30 + change));
      this->changedAt = this->now;
      this->DeliverCatalogueChange();
      this->RunFor(kChangeIntervalMillis);
    }
    this->traffic.largestSender =
      *std::max_element(this->sentBytes.begin(), this->sentBytes.end());
    return this->traffic;
  }

  bool IsConverged() const
  {
    return std::ranges::all_of(this->daemons, [this](const auto& aDaemon) {
      return aDaemon->HeldSnapshot()->Version() ==
             this->daemons.front()->HeldSnapshot()->Version();
    });
  }

private:
  static int DomainOf(int aIndex) { return aIndex % kDomains; }
  static int RegionOf(int aIndex) { return DomainOf(aIndex) / 2; }
  static std::string NameOf(int aIndex)
  {
    return fmt::format("h{:04}", aIndex);
  }
  static int IndexOf(const std::string& aName)
  {
    return std::stoi(aName.substr(1));
  }

  std::unique_ptr<Distributor> MakeDaemon(int aIndex)
  {
    DistributorConfig config;
    config.host = NameOf(aIndex);
    config.group = fmt::format("domain-{}", DomainOf(aIndex));
    config.startWait = 1000;
    const auto random = SeededRandom(static_cast<std::uint64_t>(aIndex) + 1);
    return std::make_unique<Distributor>(
      config, this->clock.View(), random, this->MakeHooks(aIndex));
  }

  DistributorHooks MakeHooks(int aIndex)
  {
    return {
      [this, aIndex](const std::string& aTo, const wire::Envelope& aEnvelope) {
        this->Send(aIndex, IndexOf(aTo), aEnvelope);
      },
      [this, aIndex](SessionId aSession, const wire::Envelope& aEnvelope) {
        this->Send(aIndex, static_cast<int>(aSession), aEnvelope);
      },
      [this, aIndex] { return this->members.at(DomainOf(aIndex)); },
      // All daemons use the first one as the only acceptor candidate.
      [] { return std::vector<std::string>{ NameOf(0) }; },
      [this, aIndex](const PlatformJob& aJob) {
        aJob(this->MakeCountingStore(aIndex))();
        return true;
      },
      [this](const SnapshotPtr&) {
        this->traffic.slowestMillis =
          std::max(this->traffic.slowestMillis, this->now - this->changedAt);
      }
    };
  }

  void CountPlatformCall(int aIndex, double aBytes)
  {
    ++this->traffic.platformCalls;
    this->traffic.platformBytes += aBytes;
    this->traffic.linkBytes += RegionOf(aIndex) == 0 ? 0 : aBytes;
  }

  ObjectStore MakeCountingStore(int aIndex)
  {
    ObjectStore hooks = this->store.Hooks();
    const ObjectStore originalStore = hooks;
    hooks.get = [this, aIndex, originalStore](const std::string& aName) {
      auto result = originalStore.get(aName);
      this->CountPlatformCall(
        aIndex, result ? double(result.assume_value().value.size()) : 0);
      return result;
    };
    hooks.put = [this, aIndex, originalStore](const std::string& aName,
                                              const std::string& aValue,
                                              std::int64_t aExpected) {
      this->CountPlatformCall(aIndex, double(aValue.size()));
      return originalStore.put(aName, aValue, aExpected);
    };
    hooks.list = [this, aIndex, originalStore](const std::string& aPrefix) {
      auto result = originalStore.list(aPrefix);
      double bytes = 0;
      for (const StoredObject& object : result.assume_value().objects) {
        bytes += double(object.value.size());
      }
      this->CountPlatformCall(aIndex, bytes);
      return result;
    };
    return hooks;
  }

  void Send(int aFrom, int aTo, const wire::Envelope& aEnvelope)
  {
    const auto bytes = double(EncodedBytes(aEnvelope));
    const bool isBetweenRegions = RegionOf(aFrom) != RegionOf(aTo);
    ++this->traffic.messages;
    this->traffic.bytes += bytes;
    this->traffic.linkBytes += isBetweenRegions ? bytes : 0;
    this->sentBytes[static_cast<std::size_t>(aFrom)] += bytes;
    if (RandomBelow(this->random, 100) < this->lossPercent) {
      return;
    }
    this->Schedule(
      isBetweenRegions ? kRegionLatencyMillis : kDomainLatencyMillis,
      [this, aFrom, aTo, aEnvelope] { this->Deliver(aFrom, aTo, aEnvelope); });
  }

  void Deliver(int aFrom, int aTo, const wire::Envelope& aEnvelope)
  {
    Distributor& daemon = *this->daemons[static_cast<std::size_t>(aTo)];
    const std::string from = NameOf(aFrom);
    if (aEnvelope.__isset.configPush) {
      daemon.HandlePush(from, aEnvelope.configPush);
    } else if (aEnvelope.__isset.configFetch) {
      daemon.HandleFetch(
        static_cast<SessionId>(aFrom), from, aEnvelope.configFetch);
    } else {
      daemon.HandleAnswer(from, aEnvelope.configAnswer);
    }
  }

  void Schedule(double aDelayMillis, std::function<void()> aAction)
  {
    this->events.emplace(this->now + aDelayMillis, std::move(aAction));
  }

  void DeliverCatalogueChange()
  {
    this->CountPlatformCall(0, 0);
    this->daemons.front()->HandleCatalogueChange(ObjectList{}, false);
    this->DeliverAcceptedVersions();
  }

  /** Answers the pending watch of accepted/ of each relay with new versions. */
  void DeliverAcceptedVersions()
  {
    const auto list =
      this->store.Hooks().watch("accepted/", this->watchedRevision, 0);
    this->watchedRevision = this->store.Revision();
    const ObjectList& changes = list.assume_value();
    if (changes.objects.empty()) {
      return;
    }
    for (std::size_t index = 0; index < this->daemons.size(); ++index) {
      if (this->daemons[index]->IsRelay()) {
        const int host = static_cast<int>(index);
        this->CountPlatformCall(host, double(changes.objects[0].value.size()));
        this->Schedule(
          RegionOf(host) == 0 ? kDomainLatencyMillis : kRegionLatencyMillis,
          [this, index, changes] {
            this->daemons[index]->HandleAcceptedVersions(changes, false);
          });
      }
    }
  }

  void TickAll()
  {
    const bool isGossipTick = ++this->ticks % 4 == 0; // Once a second.
    for (std::size_t index = 0; index < this->daemons.size(); ++index) {
      Distributor& daemon = *this->daemons[index];
      daemon.Tick();
      if (isGossipTick) {
        const auto& peers = this->members.at(DomainOf(static_cast<int>(index)));
        const auto& peer = peers[RandomBelow(this->random, peers.size())];
        const auto from = static_cast<std::size_t>(IndexOf(peer));
        daemon.HandlePeerVersion(
          peer, this->daemons[from]->HeldSnapshot()->Version());
      }
    }
    this->DeliverAcceptedVersions();
  }

  void AdvanceTo(double aTimeMillis)
  {
    this->clock.Advance(aTimeMillis - this->now);
    this->now = aTimeMillis;
  }

  void RunFor(double aTimeMillis)
  {
    const double end = this->now + aTimeMillis;
    for (double tick = this->now + kTickIntervalMillis; tick <= end;
         tick += kTickIntervalMillis) {
      while (!this->events.empty() && this->events.begin()->first <= tick) {
        const auto event = this->events.extract(this->events.begin());
        this->AdvanceTo(event.key());
        event.mapped()();
      }
      this->AdvanceTo(tick);
      this->TickAll();
    }
  }

  ManualClock clock;
  double now = 0;
  double changedAt = 0;
  Random random;
  FakeStore store;
  std::uint64_t lossPercent = 0;
  int ticks = 0;
  std::int64_t watchedRevision = 0;
  Traffic traffic;
  std::vector<double> sentBytes;
  std::map<int, std::vector<std::string>> members;
  std::vector<std::unique_ptr<Distributor>> daemons;
  std::multimap<double, std::function<void()>> events;
};

} // namespace lacewingwharf
