#pragma once

#include "common/clock.h"
#include "rollout/rolloutdecider.h"
#include "rollout/rolloutmemory.h"
#include "rollout/rolloutnotices.h"
#include "rollout/rolloutstatus.h"
#include "store/platformjob.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace lacewingwharf {

struct RolloutOrdersConfig
{
  std::string host;
  std::int64_t incarnation = 0;
  double exposureShare = 0.1;
  double exposureSlack = 50;

  /** Time from the 50th bad answer until no request reaches the version. */
  Millis rollbackTime = 5000;
};

struct RolloutOrdersHooks
{
  SubmitPlatformJob submit;
  std::function<void(const std::string& aHost, wire::RolloutShare)> send;
  std::function<std::vector<RolloutMember>()> members;

  /** The members that this daemon tells of ended orders. */
  std::function<std::vector<RolloutMember>()> neighbours;
  std::function<VersionSlots(const std::string& aService,
                             const std::string& aBase,
                             const std::string& aTarget)>
    slots;

  /**
   * The version that an order replaces; aTarget if the service has no other
   * one, and empty while it has no servers.
   */
  std::function<std::string(const std::string& aService,
                            const std::string& aTarget)>
    baseVersion;

  /** The version in use of services for which that is not evident. */
  std::function<std::map<std::string, std::string>()> disputedVersions;

  /** Whether another daemon is alive and reaches the store. */
  std::function<bool(const std::string& aHost, std::int64_t aIncarnation)>
    canDecide;

  /** Whether the watch of the orders works. */
  std::function<bool()> hasStore;
};

/**
 * The orders in the store, on a daemon that watches them. The daemon whose
 * conditional write of `running` succeeds decides the order. Another one that
 * watches takes over by the same means when the decider is lost. The store is
 * written once at the beginning and once at the end of an order.
 */
class RolloutOrders
{
public:
  using Json = nlohmann::json;

  RolloutOrders(RolloutOrdersConfig aConfig,
                Clock aClock,
                Clock aWallClock,
                RolloutOrdersHooks aHooks);

  /**
   * Handles the result of a list or a watch of kRolloutPrefix. aEra is that of
   * the store; 0 if it reports none.
   */
  void HandleObjects(const ObjectList& aList,
                     bool aIsFullList,
                     std::int64_t aEra);

  /** The store was restored from a copy, whether or not it was read since. */
  void HandleRestore();

  /** Remembers what other daemons say of an order. */
  void HandleShare(const wire::RolloutShare& aShare);
  void HandleReport(const wire::RolloutReport& aReport);
  void Tick();

  /** Whether this daemon decides an order and so has to watch. */
  bool IsDeciding() const;

  /** The orders with their evidence, for status commands. */
  Json State() const;

private:
  struct Order
  {
    StoredRollout stored;
    std::int64_t era = 0; // Of the store's last answer about the object.

    // By the wall clock, when the object was first seen without its status; 0
    // if it has one.
    Millis seenAt = 0;

    // The store was restored and lacks the status in `stored`.
    bool isStatusLost = false;
    Millis lostAt = 0; // When that was noticed.
    std::unique_ptr<RolloutDecider> decider;
    bool isWriting = false;
    Millis writeDueAt = 0;
    Millis takeoverDueAt = 0;
    bool isDeciderLost = false;
  };

  void HandleObject(const StoredObject& aObject,
                    bool aIsFullList,
                    std::int64_t aEra);
  static bool IsOrderedAgain(const Order& aKnown, const StoredRollout& aStored);
  void CompareStatus(Order& aOrder);
  void UpdateDecider(Order& aOrder);
  void TickOrder(Order& aOrder);
  void Claim(Order& aOrder);
  void BecomeDecider(Order& aOrder);
  void TakeOverWhenLost(Order& aOrder);
  void StartDecider(Order& aOrder);
  void Write(Order& aOrder, const RolloutStatus& aStatus);
  void HandleWritten(const std::string& aService,
                     const RolloutStatus& aStatus,
                     const PlatformResult<std::int64_t>& aResult);
  void ReadAgain(const std::string& aService);
  RolloutStatus NextStatus(const Order& aOrder);
  bool IsOwn(const RolloutStatus& aStatus) const;
  void NoteEnd(const Order& aOrder);

  RolloutOrdersConfig config;
  Clock clock;
  Clock wallClock;
  RolloutOrdersHooks hooks;
  std::shared_ptr<bool> lifetime = std::make_shared<bool>(true);
  std::map<std::string, Order> orders; // By service.
  RolloutMemory memory;
  Millis versionsDueAt = 0;
  Millis claimDueAt = 0; // When an order without a status may be claimed.
  RolloutNotices notices;
};

} // namespace lacewingwharf
