#pragma once

#include "rollout/rolloutorders.h"

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

// A store with an order and daemons that watch it, in one thread.

namespace lacewingwharf::rollouttest {

inline constexpr const char* kRolledBack =
  R"({"state":"rolled_back","target_version":"v2","base_version":"v1",)"
  R"("order":5000,"sequence":1,"duration_ms":12000})";

/** A store with one order, which may lose responses. */
struct OneOrder
{
  StoredObject object{ "rollouts/orders",
                       10,
                       R"({"service":"orders","target_version":"v2",)"
                       R"("duration":"12s"})",
                       false,
                       {} };
  int writes = 0;
  bool losesResponse = false;
  std::int64_t era = 1;

  template<typename Value>
  PlatformResult<Value> InEra(PlatformResult<Value> aResult) const
  {
    aResult.era = this->era;
    return aResult;
  }

  /** Comes back with an earlier state of the object. */
  void Restore(const StoredObject& aCopy)
  {
    this->object = aCopy;
    ++this->era;
  }

  ObjectStore Store()
  {
    ObjectStore store;
    store.get = [this](const std::string&) -> PlatformResult<StoredObject> {
      return this->InEra<StoredObject>(StoredObject(this->object));
    };
    store.putStatus =
      [this](const std::string&,
             const std::string& aStatus,
             std::int64_t aExpected) -> PlatformResult<std::int64_t> {
      if (aExpected != this->object.revision) {
        return this->InEra<std::int64_t>(
          failure(PlatformError{ PlatformErrorCode::Conflict, {} }));
      }
      ++this->writes;
      this->object.status = aStatus;
      ++this->object.revision;
      if (std::exchange(this->losesResponse, false)) {
        return failure(PlatformError{ PlatformErrorCode::TimedOut, {} });
      }
      return this->InEra<std::int64_t>(std::int64_t{ this->object.revision });
    };
    return store;
  }

  RolloutStatus Status() const { return ParseRollout(this->object)->status; }
};

/** A daemon that watches the store. Its jobs run when the test says so. */
struct Watcher
{
  Watcher(std::string aHost, OneOrder& aStore, const Clock& aClock)
    : store(aStore)
  {
    RolloutOrdersConfig config;
    config.host = std::move(aHost);
    config.incarnation = 7;
    RolloutOrdersHooks hooks;
    hooks.submit = [this](PlatformJob aJob) {
      this->jobs.push_back(std::move(aJob));
      return true;
    };
    hooks.send = [this](const std::string&, const wire::RolloutShare& aShare) {
      this->shares.push_back(aShare);
    };
    hooks.members = [this] { return this->members; };
    hooks.neighbours = [this] { return this->neighbours; };
    hooks.slots = [](const auto&, const auto&, const auto&) {
      return VersionSlots{ 8, 8, 1 };
    };
    hooks.baseVersion = [this](const auto&, const auto&) { return this->base; };
    hooks.disputedVersions = [this] { return this->disputed; };
    hooks.canDecide = [this](const auto&, std::int64_t) {
      return this->isOtherAlive;
    };
    hooks.hasStore = [this] { return this->hasStore; };
    this->orders =
      std::make_unique<RolloutOrders>(config, aClock, aClock, hooks);
  }

  void Read()
  {
    this->orders->HandleObjects(
      { this->store.object.revision, { this->store.object } },
      true,
      this->store.era);
  }

  void RunJobs()
  {
    while (!this->jobs.empty()) {
      const PlatformJob job = std::move(this->jobs.front());
      this->jobs.erase(this->jobs.begin());
      job(this->store.Store())();
    }
  }

  OneOrder& store;
  std::string base = "v1";
  bool isOtherAlive = true;
  bool hasStore = true;
  std::vector<PlatformJob> jobs;
  std::vector<RolloutMember> members;
  std::vector<RolloutMember> neighbours;
  std::map<std::string, std::string> disputed; // Versions by service.
  std::vector<wire::RolloutShare> shares;      // Sent to any member.
  std::unique_ptr<RolloutOrders> orders;
};

} // namespace lacewingwharf::rollouttest
