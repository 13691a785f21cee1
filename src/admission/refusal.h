#pragma once

#include "common/clock.h"
#include "common/names.h"

#include <cstdint>
#include <string>

namespace lacewingwharf {

/** Why a call was not run. */
enum class RefusalReason
{
  NoConfiguration,
  NoRoute,
  NoEndpoint,
  EntryConcurrency,
  EntryRate,
  OwnerConcurrency,
  OwnerRate,
  BodyBytes,
  QueueFull,
  QueueWait,
  LinkFull, // The link of a host would deliver the request or answer too late.
  DeadlinePassed,
  Displaced,
  Draining,
  RetryBudget,
  DepthExceeded,
  Quarantined,
  ClaimUnavailable,
  Overload,
  NotConnected,
  Fenced,
  CallerLeft,
  ShuttingDown,
  ServerRefused,  // The backend server itself did not run the request.
  OtherServer,    // Another server has the address of the expected one.
  UnknownKey,     // No team has the caller's key.
  UnconfirmedKey, // The same, but a newer version may have the key.
  TeamRate,       // The team's cap over all daemons.
  TeamUnavailable // No accountant of the team's cap replied.
};

inline constexpr auto kRefusalReasonNames = MakeNameTable<RefusalReason>(
  { { RefusalReason::NoConfiguration, "no-configuration" },
    { RefusalReason::NoRoute, "no-route" },
    { RefusalReason::NoEndpoint, "no-endpoint" },
    { RefusalReason::EntryConcurrency, "entry-concurrency" },
    { RefusalReason::EntryRate, "entry-rate" },
    { RefusalReason::OwnerConcurrency, "owner-concurrency" },
    { RefusalReason::OwnerRate, "owner-rate" },
    { RefusalReason::BodyBytes, "body-bytes" },
    { RefusalReason::QueueFull, "queue-full" },
    { RefusalReason::QueueWait, "queue-wait" },
    { RefusalReason::LinkFull, "link-full" },
    { RefusalReason::DeadlinePassed, "deadline-passed" },
    { RefusalReason::Displaced, "displaced" },
    { RefusalReason::Draining, "draining" },
    { RefusalReason::RetryBudget, "retry-budget" },
    { RefusalReason::DepthExceeded, "depth-exceeded" },
    { RefusalReason::Quarantined, "quarantined" },
    { RefusalReason::ClaimUnavailable, "claim-unavailable" },
    { RefusalReason::Overload, "overload" },
    { RefusalReason::NotConnected, "not-connected" },
    { RefusalReason::Fenced, "fenced" },
    { RefusalReason::CallerLeft, "caller-left" },
    { RefusalReason::ShuttingDown, "shutting-down" },
    { RefusalReason::ServerRefused, "server-refused" },
    { RefusalReason::OtherServer, "other-server" },
    { RefusalReason::UnknownKey, "unknown-key" },
    { RefusalReason::UnconfirmedKey, "unknown-key-unconfirmed" },
    { RefusalReason::TeamRate, "team-rate" },
    { RefusalReason::TeamUnavailable, "team-unavailable" } });

/** Why a call was refused, and whose limit it exceeded by how much. */
struct Refusal
{
  RefusalReason reason = RefusalReason::Overload;
  std::string entry;
  std::string owner;
  std::int64_t bound = 0; // In the unit of the limit.
  std::int64_t seen = 0;  // The observed value, in the same unit.
  Millis retryAfter = 0;  // 0 means unknown.

  /**
   * The team whose share of a server's slots was compared, and the slots that
   * it used; empty if there was none.
   */
  std::string team;
  double teamSlots = 0;
  double teamShare = 0;
};

/** Whether the reason is lack of capacity of an otherwise healthy server. */
constexpr bool
IsCapacityRefusal(RefusalReason aReason)
{
  return aReason == RefusalReason::QueueFull ||
         aReason == RefusalReason::QueueWait ||
         aReason == RefusalReason::LinkFull ||
         aReason == RefusalReason::Displaced;
}

} // namespace lacewingwharf
