#pragma once

#include "common/clock.h"
#include "rollout/rolloutorders.h"
#include "rollout/rollouttraffic.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

// A fleet of daemons with rollouts, a fake network, store and servers, in one
// thread and on a manual clock. Used by rolloutmodel_test.cpp.

namespace lacewingwharf::rolloutmodel {

/** How the new version behaves. */
enum class Quality
{
  Good,
  BadAtOnce,
  BadLater,
  BadUnderLoad,
  BadRoute,
  SlowAnswers
};

struct Schedule
{
  std::uint64_t seed = 1;
  Quality quality = Quality::Good;
  int daemons = 8;
  double rate = 100; // Requests a second.

  // Disturbances.
  bool losesMessages = false;
  bool killsDecider = false;
  bool cutsDecider = false;
  bool cutsMember = false;        // Another daemon.
  std::optional<Millis> cutAfter; // The order; at any time if empty.
  bool stopsStore = false;
  bool slowsStore = false;
  int restores = 0; // Of the store, from copies that are some seconds old.

  // Deliberate faults, which the checks must detect.
  int limitFactor = 1;
  Millis extraValidity = 0;
  bool hidesBadAnswers = false;
  bool hidesRestores = false;
};

struct Outcome
{
  std::string state = "none";
  std::string firstEnd;  // The first state with which the order ended.
  Millis endedAfter = 0; // Since the order.
  std::int64_t requests = 0;
  std::int64_t exposed = 0;
  std::int64_t badAnswers = 0;
  std::int64_t exposedBefore = 0;  // Before the order.
  std::int64_t exposedAfter = 0;   // After the end without success.
  std::int64_t exposedTooLate = 0; // Later than 5 s after the 50th bad answer.
  std::int64_t lostAtEnd = 0;      // On old servers when it succeeded.
};

class Fleet
{
public:
  explicit Fleet(const Schedule& aSchedule);
  Outcome Run();

private:
  static constexpr Millis kStep = 10;
  static constexpr Millis kTick = 50;
  static constexpr Millis kNewServersAt = 1000;
  static constexpr Millis kOrderAt = 3000;
  static constexpr Millis kDuration = 12000;
  static constexpr Millis kRollback = 5000;
  static constexpr int kServers = 4;
  static constexpr const char* kService = "orders";

  struct Daemon
  {
    std::string host;
    std::int64_t incarnation = 0;
    bool isAlive = true;
    bool isWatcher = false;
    bool isCut = false; // From the other daemons and the store.
    Millis changedAt = -10000;
    std::int64_t readRevision = -1;
    std::int64_t readEra = 0;
    Millis skew = 0;
    std::unique_ptr<RolloutTraffic> traffic;
    std::unique_ptr<RolloutOrders> orders;
  };

  double Uniform() { return std::uniform_real_distribution<>(0, 1)(random); }
  bool Chance(double aChance) { return Uniform() < aChance; }
  Millis Between(Millis aLow, Millis aHigh)
  {
    return aLow + static_cast<Millis>(Uniform() * double(aHigh - aLow));
  }
  Millis Now() const { return now; }
  void At(Millis aTime, std::function<void()> aEvent)
  {
    events.emplace(std::max(aTime, now + 1), std::move(aEvent));
  }

  void StartDaemon(std::size_t aIndex);
  RolloutOrdersHooks Hooks(std::size_t aIndex);
  bool Reach(std::size_t aFrom, std::size_t aTo) const;
  bool HasStore(std::size_t aIndex) const;
  bool IsSeenAlive(std::size_t aIndex) const;
  std::optional<std::size_t> IndexOf(const std::string& aHost) const;
  void Deliver(std::size_t aFrom,
               std::size_t aTo,
               const std::function<void(Daemon&)>& aHandler);
  std::vector<RolloutMember> Members() const;
  ObjectStore Store(std::size_t aIndex);
  bool Submit(std::size_t aIndex, PlatformJob aJob);
  EndpointView View() const;
  void PublishView();
  void Request(std::size_t aIndex);
  ServerResult Answer(const std::string& aRoute, bool aIsNew);
  void Disturb();
  void PlanRestores();
  void Restore(const StoredObject& aCopy, std::int64_t aRevision);
  void WriteOrder();
  void ReadOrders(Daemon& aDaemon);
  void TickDaemons();
  std::string State() const;

  Schedule schedule;
  std::mt19937_64 random;
  ManualClock clock;
  Millis now = 0;
  std::multimap<Millis, std::function<void()>> events;
  std::vector<Daemon> daemons;
  EndpointView view;
  StoredObject object;
  std::int64_t revision = 10;
  std::int64_t era = 1;

  // When the operator wrote the order, for the last time before it was claimed:
  // an order that the store lost before that is known to nobody.
  Millis orderedAt = kOrderAt;
  bool isClaimed = false;
  bool isStoreDown = false;
  Millis storeChangedAt = -10000;
  std::vector<Millis> newArrivals;
  std::optional<Millis> firstNewAt;
  std::optional<Millis> fiftiethBadAt;
  std::optional<Millis> endedAt;
  bool isDisturbed = false;
  std::map<std::string, std::int64_t> running; // By version.
  bool hasOldStopped = false;
  Outcome outcome;
};

inline Fleet::Fleet(const Schedule& aSchedule)
  : schedule(aSchedule)
  , random(aSchedule.seed)
{
  daemons.resize(static_cast<std::size_t>(schedule.daemons));
  for (std::size_t index = 0; index < daemons.size(); ++index) {
    daemons[index].host = fmt::format("d{}", index);
    daemons[index].isWatcher = index < 2;
    daemons[index].skew = Between(-200, 200);
    daemons[index].incarnation = 1;
    StartDaemon(index);
  }
  PublishView();
  PlanRestores();
}

inline void
Fleet::StartDaemon(std::size_t aIndex)
{
  Daemon& daemon = daemons[aIndex];
  daemon.readRevision = -1;
  daemon.traffic = std::make_unique<RolloutTraffic>(
    daemon.host,
    daemon.incarnation,
    clock.View(),
    [this, aIndex](const std::string& aTo, wire::RolloutReport aReport) {
      if (schedule.hidesBadAnswers) {
        for (wire::RolloutCounts& row : aReport.counts) {
          row.failures = 0;
          row.times.clear();
        }
      }
      if (const auto to = IndexOf(aTo)) {
        Deliver(aIndex, *to, [aReport](Daemon& aDaemon) {
          aDaemon.orders->HandleReport(aReport);
        });
      }
    });
  RolloutOrdersConfig config;
  config.host = daemon.host;
  config.incarnation = daemon.incarnation;
  const Clock steady = clock.View();
  const Clock wall([steady, skew = daemon.skew] {
    return steady.PreciseNow() + 1e9 + double(skew);
  });
  daemon.orders =
    std::make_unique<RolloutOrders>(config, steady, wall, Hooks(aIndex));
  daemon.traffic->SetView(View());
}

inline RolloutOrdersHooks
Fleet::Hooks(std::size_t aIndex)
{
  RolloutOrdersHooks hooks;
  hooks.submit = [this, aIndex](PlatformJob aJob) {
    return Submit(aIndex, std::move(aJob));
  };
  hooks.send = [this, aIndex](const std::string& aTo,
                              wire::RolloutShare aShare) {
    const auto to = IndexOf(aTo);
    aShare.limit *= schedule.limitFactor;
    if (aShare.validMillis > 0) {
      aShare.validMillis += static_cast<std::int32_t>(schedule.extraValidity);
    }
    if (to) {
      Deliver(aIndex, *to, [aShare](Daemon& aDaemon) {
        aDaemon.orders->HandleShare(aShare);
        aDaemon.traffic->HandleShare(aShare);
      });
    }
  };
  hooks.members = [this] { return Members(); };
  hooks.neighbours = [this] { return Members(); };
  hooks.slots = [this](const auto&, const auto&, const auto&) {
    const int target = now >= kNewServersAt ? kServers : 0;
    return VersionSlots{ kServers * 8, target * 8, target };
  };
  hooks.baseVersion = [](const auto&, const auto&) {
    return std::string("v1");
  };
  hooks.disputedVersions = [] { return std::map<std::string, std::string>(); };
  hooks.canDecide = [this](const std::string& aHost, std::int64_t aProcess) {
    const auto index = IndexOf(aHost);
    return index && IsSeenAlive(*index) &&
           daemons[*index].incarnation == aProcess;
  };
  hooks.hasStore = [this, aIndex] { return HasStore(aIndex); };
  return hooks;
}

inline std::optional<std::size_t>
Fleet::IndexOf(const std::string& aHost) const
{
  const auto found = std::ranges::find(daemons, aHost, &Daemon::host);
  if (found == daemons.end()) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(found - daemons.begin());
}

inline bool
Fleet::Reach(std::size_t aFrom, std::size_t aTo) const
{
  return aFrom == aTo || (!daemons[aFrom].isCut && !daemons[aTo].isCut);
}

/** A watch notices an outage of the store, and its end, with delay. */
inline bool
Fleet::HasStore(std::size_t aIndex) const
{
  const Daemon& daemon = daemons[aIndex];
  const bool isNew = now - storeChangedAt < 800;
  return daemon.isWatcher && (isStoreDown == isNew) &&
         !(daemon.isCut && now - daemon.changedAt > 800);
}

/** Membership notices deaths and cuts with delay. */
inline bool
Fleet::IsSeenAlive(std::size_t aIndex) const
{
  const Daemon& daemon = daemons[aIndex];
  const bool isPresent = daemon.isAlive && !daemon.isCut;
  return isPresent != (now - daemon.changedAt < 1000);
}

inline std::vector<RolloutMember>
Fleet::Members() const
{
  std::vector<RolloutMember> members;
  for (std::size_t index = 0; index < daemons.size(); ++index) {
    members.push_back(
      { daemons[index].host, daemons[index].incarnation, IsSeenAlive(index) });
  }
  return members;
}

inline void
Fleet::Deliver(std::size_t aFrom,
               std::size_t aTo,
               const std::function<void(Daemon&)>& aHandler)
{
  const bool isLossy = schedule.losesMessages && aFrom != aTo;
  const int copies = isLossy && Chance(0.05) ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    if (!Reach(aFrom, aTo) || (isLossy && Chance(0.15))) {
      continue;
    }
    const Millis delay =
      isLossy && Chance(0.05) ? Between(100, 1500) : Between(1, 9);
    At(now + delay, [this, aFrom, aTo, aHandler] {
      if (daemons[aTo].isAlive && Reach(aFrom, aTo)) {
        aHandler(daemons[aTo]);
      }
    });
  }
}

} // namespace lacewingwharf::rolloutmodel
