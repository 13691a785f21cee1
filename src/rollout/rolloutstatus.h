#pragma once

#include "common/clock.h"
#include "common/names.h"
#include "peer_types.h"
#include "store/objectstore.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lacewingwharf {

inline constexpr const char* kRolloutPrefix = "rollouts/";

/** The names of states in the store. */
inline constexpr auto kRolloutStateNames =
  MakeNameTable<wire::RolloutState::type>(
    { { wire::RolloutState::NONE, "none" },
      { wire::RolloutState::RUNNING, "running" },
      { wire::RolloutState::SUCCEEDED, "succeeded" },
      { wire::RolloutState::ROLLED_BACK, "rolled_back" } });

/** The status of an order in the store. */
struct RolloutStatus
{
  wire::RolloutState::type state = wire::RolloutState::NONE;
  std::string target;

  // For a successor of the decider and for daemons that start.
  std::string base;
  std::int64_t order = 0; // Rises with each order of the service.
  std::int64_t term = 0;  // Counts the deciders of the order.
  std::string decider;
  std::int64_t incarnation = 0;
  Millis startedAt = 0; // By the wall clock of the first decider.
  Millis duration = 0;  // Of the order; 0 if unknown.

  bool operator==(const RolloutStatus&) const = default;
};

/** An order with its status, as the store has them. */
struct StoredRollout
{
  std::string service;
  std::string target;
  Millis duration = 0;
  std::int64_t revision = 0;
  RolloutStatus status;

  /** An earlier order, whose status is still in the store; 0 without one. */
  std::int64_t earlierOrder = 0;

  /**
   * Whether the status is that of this order and not of an earlier one. An
   * order whose duration is changed while it runs is the same order; one that
   * has ended is ordered again by another duration.
   */
  bool HasOwnStatus() const;
  bool HasEnded() const;
};

/** Empty if the object is not an order. */
std::optional<StoredRollout>
ParseRollout(const StoredObject& aObject);

std::string
EncodeStatus(const RolloutStatus& aStatus);

inline bool
StoredRollout::HasOwnStatus() const
{
  if (this->status.state == wire::RolloutState::NONE ||
      this->status.target != this->target ||
      (this->earlierOrder != 0 && this->status.order == this->earlierOrder)) {
    return false;
  }
  return this->status.state == wire::RolloutState::RUNNING ||
         this->status.duration == 0 || this->status.duration == this->duration;
}

inline bool
StoredRollout::HasEnded() const
{
  return this->HasOwnStatus() &&
         this->status.state != wire::RolloutState::RUNNING;
}

} // namespace lacewingwharf
