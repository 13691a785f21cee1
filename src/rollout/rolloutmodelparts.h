#pragma once

#include "rollout/rolloutmodel.h"

// The store, the servers, the disturbances and the run of rolloutmodel.h.

namespace lacewingwharf::rolloutmodel {

inline ObjectStore
Fleet::Store(std::size_t aIndex)
{
  const auto answer = [this](auto aResult) {
    aResult.era = schedule.hidesRestores ? 0 : era;
    return aResult;
  };
  const auto fail = [](PlatformErrorCode aCode) {
    return failure(PlatformError{ aCode, "model" });
  };
  ObjectStore store;
  store.get = [=, this](const std::string&) -> PlatformResult<StoredObject> {
    if (isStoreDown || daemons[aIndex].isCut) {
      return fail(PlatformErrorCode::Unreachable);
    }
    if (object.name.empty()) {
      return answer(
        PlatformResult<StoredObject>(fail(PlatformErrorCode::NotFound)));
    }
    return answer(PlatformResult<StoredObject>(StoredObject(object)));
  };
  store.putStatus =
    [=, this](const std::string&,
              const std::string& aStatus,
              std::int64_t aExpected) -> PlatformResult<std::int64_t> {
    using Written = PlatformResult<std::int64_t>;
    if (isStoreDown || daemons[aIndex].isCut) {
      return fail(PlatformErrorCode::Unreachable);
    }
    if (object.name.empty() || object.revision != aExpected) {
      return answer(Written(fail(PlatformErrorCode::Conflict)));
    }
    object.status = aStatus;
    isClaimed = true;
    object.revision = ++revision;
    const std::string state = State();
    if (state == "succeeded" && !hasOldStopped) {
      outcome.lostAtEnd += running["v1"];
    }
    if (state != "running" && !endedAt) {
      endedAt = now;
      outcome.firstEnd = state;
    }
    if (schedule.losesMessages && Chance(0.2)) {
      return answer(Written(fail(PlatformErrorCode::TimedOut)));
    }
    return answer(Written(std::int64_t{ object.revision }));
  };
  return store;
}

inline std::string
Fleet::State() const
{
  const auto rollout = ParseRollout(object);
  return rollout ? std::string(kRolloutStateNames.NameOf(rollout->status.state))
                 : "none";
}

inline bool
Fleet::Submit(std::size_t aIndex, PlatformJob aJob)
{
  const Millis delay = schedule.slowsStore ? Between(200, 1000) : Between(2, 8);
  const auto process = daemons[aIndex].incarnation;
  At(now + delay, [this, aIndex, process, delay, job = std::move(aJob)] {
    Completion done = job(Store(aIndex));
    At(now + delay, [this, aIndex, process, done = std::move(done)] {
      if (daemons[aIndex].isAlive && daemons[aIndex].incarnation == process) {
        done();
      }
    });
  });
  return true;
}

inline EndpointView
Fleet::View() const
{
  EndpointView present;
  ServiceView& service = present.services[kService];
  const auto add = [&service](const char* aPrefix, const char* aVersion) {
    for (int number = 0; number < kServers; ++number) {
      EndpointInfo info;
      info.host = fmt::format("{}{}", aPrefix, number);
      info.incarnation = aVersion[1] == '1' ? 1000 : 2000;
      info.port = 80;
      info.slots = 8;
      info.serverVersion = aVersion;
      service.endpoints.push_back(info);
    }
  };
  if (now >= kNewServersAt) {
    add("new", "v2");
  }
  if (!hasOldStopped) {
    add("old", "v1");
  }
  return present;
}

inline void
Fleet::PublishView()
{
  view = View();
  for (Daemon& daemon : daemons) {
    daemon.traffic->SetView(view);
  }
}

inline ServerResult
Fleet::Answer(const std::string& aRoute, bool aIsNew)
{
  constexpr double kBadShare = 0.4;
  ServerResult result;
  result.isAnswer = true;
  const double scale = aRoute == "a" ? 1 : aRoute == "b" ? 2 : 4;
  result.serviceMillis = scale * (10 + 30 * Uniform() * Uniform());
  result.isFailure = Chance(0.01);
  if (!aIsNew) {
    return result;
  }
  std::erase_if(newArrivals, [this](Millis aAt) { return now - aAt > 300; });
  newArrivals.push_back(now);
  const bool isLoaded = double(newArrivals.size()) > 0.5 * schedule.rate * 0.3;
  bool isBad = false;
  switch (schedule.quality) {
    case Quality::Good:
      break;
    case Quality::BadAtOnce:
      isBad = Chance(kBadShare);
      break;
    case Quality::BadLater:
      isBad = now - *firstNewAt > 4000 && Chance(kBadShare);
      break;
    case Quality::BadUnderLoad:
      isBad = isLoaded && Chance(kBadShare);
      break;
    case Quality::BadRoute:
      isBad = aRoute == "b" && Chance(kBadShare);
      break;
    case Quality::SlowAnswers:
      isBad = Chance(kBadShare);
  }
  const bool isSlow = schedule.quality == Quality::SlowAnswers;
  result.serviceMillis *= isBad && isSlow ? 4 : 1;
  result.isFailure = result.isFailure || (isBad && !isSlow);
  outcome.badAnswers += isBad ? 1 : 0;
  if (outcome.badAnswers == 50 && !fiftiethBadAt) {
    fiftiethBadAt = now + static_cast<Millis>(result.serviceMillis);
  }
  return result;
}

inline void
Fleet::Request(std::size_t aIndex)
{
  Daemon& daemon = daemons[aIndex];
  if (!daemon.isAlive) {
    return;
  }
  std::set<EndpointKey> excluded;
  const bool prefersNew = daemon.traffic->PrefersTarget(kService);
  daemon.traffic->Exclude(kService,
                          prefersNew ? VersionChoice::Target
                                     : VersionChoice::Base,
                          excluded);
  std::vector<EndpointInfo> usable;
  for (const EndpointInfo& info : view.services[kService].endpoints) {
    if (!excluded.contains({ info.host, info.port })) {
      usable.push_back(info);
    }
  }
  if (usable.empty()) {
    return;
  }
  const EndpointInfo server =
    usable[static_cast<std::size_t>(Uniform() * double(usable.size()))];
  const bool isNew = server.serverVersion == "v2";
  const bool isDuring = now >= kOrderAt && !endedAt;
  outcome.requests += isDuring ? 1 : 0;
  outcome.exposed += isDuring && isNew ? 1 : 0;
  if (isNew) {
    firstNewAt = firstNewAt.value_or(now);
    const bool hasSucceeded = outcome.firstEnd == "succeeded";
    const bool isOver = endedAt || now >= orderedAt + kDuration;
    outcome.exposedBefore += now < kOrderAt ? 1 : 0;
    outcome.exposedAfter += isOver && !hasSucceeded ? 1 : 0;
    outcome.exposedTooLate +=
      fiftiethBadAt && !hasSucceeded && now > *fiftiethBadAt + kRollback ? 1
                                                                         : 0;
  }
  const std::string route(1, "abc"[static_cast<std::size_t>(Uniform() * 3)]);
  const ServerResult result = Answer(route, isNew);
  const std::int64_t order = daemon.traffic->RecordStart(kService, server);
  ++running[server.serverVersion];
  const auto process = daemon.incarnation;
  At(now + static_cast<Millis>(result.serviceMillis), [=, this] {
    --running[server.serverVersion];
    Daemon& origin = daemons[aIndex];
    if (origin.isAlive && origin.incarnation == process) {
      origin.traffic->RecordEnd(kService, server, order, route, result);
    }
  });
}

inline void
Fleet::Disturb()
{
  const auto stored = ParseRollout(object);
  const auto decider = stored ? IndexOf(stored->status.decider) : std::nullopt;
  if (isDisturbed || now < kOrderAt || !decider) {
    return;
  }
  isDisturbed = true;
  const Millis at =
    schedule.cutAfter ? kOrderAt + *schedule.cutAfter : now + Between(0, 9000);
  if (schedule.killsDecider) {
    At(at, [this, index = *decider] {
      Daemon& daemon = daemons[index];
      daemon.isAlive = false;
      daemon.isWatcher = false;
      daemon.changedAt = now;
      At(now + 1200, [this] { daemons[2].isWatcher = true; });
      At(now + Between(500, 4000), [this, index] {
        Daemon& restarted = daemons[index];
        restarted.isAlive = true;
        restarted.changedAt = now;
        restarted.incarnation = now + 1000000000;
        StartDaemon(index);
      });
    });
  }
  if (schedule.cutsDecider || schedule.cutsMember) {
    const std::size_t last = daemons.size() - 1;
    At(at, [this, index = schedule.cutsDecider ? *decider : last] {
      daemons[index].isCut = true;
      daemons[index].changedAt = now;
      At(now + Between(500, 5000), [this, index] {
        daemons[index].isCut = false;
        daemons[index].changedAt = now;
      });
    });
  }
  if (schedule.stopsStore) {
    At(now + Between(0, 9000), [this] {
      isStoreDown = true;
      storeChangedAt = now;
      At(now + Between(300, 4000), [this] {
        isStoreDown = false;
        storeChangedAt = now;
      });
    });
  }
}

inline void
Fleet::TickDaemons()
{
  for (std::size_t index = 0; index < daemons.size(); ++index) {
    Daemon& daemon = daemons[index];
    if (!daemon.isAlive) {
      continue;
    }
    if (daemon.isWatcher && !isStoreDown && !daemon.isCut) {
      ReadOrders(daemon);
    }
    daemon.orders->Tick();
  }
}

/** A watch lists again after a restore. */
inline void
Fleet::ReadOrders(Daemon& aDaemon)
{
  const bool isFullList = aDaemon.readRevision < 0 || aDaemon.readEra != era;
  if (aDaemon.readRevision == revision && !isFullList) {
    return;
  }
  ObjectList list{ revision, {} };
  if (!object.name.empty()) {
    list.objects.push_back(object);
  }
  aDaemon.orders->HandleObjects(
    list, isFullList, schedule.hidesRestores ? 0 : era);
  aDaemon.readRevision = revision;
  aDaemon.readEra = era;
}

/** The store is away for some time and comes back as it was before. */
inline void
Fleet::PlanRestores()
{
  for (int restore = 0; restore < schedule.restores; ++restore) {
    const Millis at = kOrderAt + Between(300, kDuration + 2000);
    const Millis age = Between(300, 6000);
    const Millis outage = Between(0, 800);
    At(at - age - outage, [this, at, outage] {
      At(at - outage, [this] {
        isStoreDown = true;
        storeChangedAt = now;
      });
      At(at,
         [this, copy = object, copied = revision] { Restore(copy, copied); });
    });
  }
}

inline void
Fleet::Restore(const StoredObject& aCopy, std::int64_t aRevision)
{
  object = aCopy;
  revision = aRevision;
  ++era;
  isStoreDown = false;
  storeChangedAt = now;
  for (std::size_t index = 0; index < daemons.size(); ++index) {
    At(now + Between(0, 500), [this, index] {
      if (!schedule.hidesRestores) {
        daemons[index].orders->HandleRestore();
      }
    });
  }
  if (object.name.empty() && now >= kOrderAt) {
    At(now + Between(200, 1500), [this] {
      if (object.name.empty()) {
        WriteOrder();
      }
    });
  }
}

/** The operator writes the order, also after the store has lost it. */
inline void
Fleet::WriteOrder()
{
  object.name = std::string(kRolloutPrefix) + kService;
  object.value =
    R"({"service":"orders","target_version":"v2","duration":"12s"})";
  object.revision = ++revision;
  orderedAt = isClaimed ? orderedAt : now;
}

inline Outcome
Fleet::Run()
{
  // After the last restore, the end of the order is written again.
  const Millis end =
    kOrderAt + kDuration + (schedule.restores > 0 ? 6000 : 3000);
  double due = 0;
  for (; now < end; now += kStep) {
    clock.Advance(double(now) - clock.View().PreciseNow());
    while (!events.empty() && events.begin()->first <= now) {
      const auto event = std::move(events.begin()->second);
      events.erase(events.begin());
      event();
    }
    if (now == kNewServersAt) {
      PublishView();
    }
    if (now == kOrderAt) {
      WriteOrder();
    }
    if (State() == "succeeded" && !hasOldStopped) {
      hasOldStopped = true;
      PublishView();
    }
    Disturb();
    if (now % kTick == 0) {
      TickDaemons();
    }
    for (Daemon& daemon : daemons) {
      if (daemon.isAlive) {
        daemon.traffic->Tick();
      }
    }
    for (due += schedule.rate * kStep / 1000.0 * 2 * Uniform(); due >= 1;
         --due) {
      Request(static_cast<std::size_t>(Uniform() * double(daemons.size())));
    }
  }
  outcome.state = State();
  outcome.endedAfter = endedAt.value_or(end) - kOrderAt;
  return outcome;
}

} // namespace lacewingwharf::rolloutmodel
