#pragma once

#include "catalogue/snapshot.h"
#include "common/clock.h"
#include "execution/outcome.h"
#include "membership/endpointview.h"
#include "peer_types.h"
#include "proxy/httpserver.h"
#include "routing/serverchooser.h"
#include "usage/usagetokens.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace lacewingwharf {

/**
 * Maximum number of attempts for a call. Retries after a refusal that costs the
 * destination nothing (draining, no connection) take nothing from the retry
 * budget, so they need a separate limit.
 */
inline constexpr int kMaxCallAttempts = 5;

/** The stage of a call at its entry daemon. */
enum class CallStage
{
  AwaitingToken, // Waits for a token of its team's cap.
  Claiming,      // Waits for the claim of its idempotency key.
  Attempting,    // A destination daemon has the request, or may have it.
  Querying       // The session was lost; the call's status is queried.
};

/** One attempt to run a call at a destination daemon. */
struct Attempt
{
  std::string id;
  EndpointInfo endpoint;
  double startedAt = 0;
  std::int64_t rolloutOrder = 0; // The service's order then; 0 without one.

  /** The request was sent without its body, which follows when granted. */
  bool isAnnounced = false;
  std::size_t grantedBytes = 0;
  std::size_t sentBytes = 0;
};

/** The second attempt that a call may get because its first one is slow. */
struct Hedge
{
  std::string attemptId; // Empty while there was none.

  /** The call was slow and got none. Counted and logged only once. */
  bool isWithheld = false;
  double decideAgainAt = 0;
};

/** A call at its entry daemon. It keeps the snapshot it started with. */
struct EntryCall
{
  std::string id;
  RequestId request = 0;
  HttpRequest http;
  SnapshotPtr snapshot;
  const Entry* entry = nullptr; // Owned by the snapshot.
  const Entry* team = nullptr;  // Of the caller's key; null without one.
  std::string service;          // Chosen by the route or its split.
  std::string requestId;        // Given by the caller; for logs.
  bool isIdempotent = false;
  int depth = 0;
  double startedAt = 0;
  Millis deadlineAt = 0;
  Millis targetAt = 0; // End of the target time; later answers are less useful.
  std::uint64_t digest = 0;
  std::optional<std::uint64_t> keyHash;
  Millis claimedAt = 0; // When the claim of the key was requested.

  /** Of the team's cap; returned if the call does not run. */
  std::optional<UsageToken> token;

  CallStage stage = CallStage::Attempting;
  Attempt attempt;

  /**
   * The other one of two open attempts. A call whose daemon became suspect, or
   * whose first attempt is slow, is also sent to another one, and the first
   * answer of a server counts.
   */
  std::optional<Attempt> otherAttempt;
  Hedge hedge;
  int attempts = 0;

  /** Attempts that reached a backend server, or may have reached one. */
  int deliveries = 0;

  /**
   * A server's error answer, for the caller if no later attempt gets an answer.
   */
  std::optional<wire::CallAnswer> failure;
  std::set<EndpointKey> triedEndpoints;
  Millis nextQueryAt = 0;
  Millis queryUntil = 0;

  /** Why the latest attempt was not run, if it was refused. */
  std::optional<Refusal> lastRefusal;

  /** An earlier attempt may have run, so `not-run` would be wrong. */
  bool mayHaveRun = false;
  bool hasCallerLeft = false;
};

/**
 * The class of a call: that of its team, or else that of its route. In a
 * catalogue with teams, calls without one to exempt routes are made by servers
 * for requests that run. They rank first: the class of a team may raise other
 * calls above their route, and a request whose call is refused has run in vain.
 */
inline WorkClass
ClassOf(const EntryCall& aCall)
{
  if (aCall.team != nullptr) {
    return aCall.team->team.workClass.value_or(aCall.entry->workClass);
  }
  const bool isOfServer =
    aCall.snapshot->RequiresKeys() && aCall.entry->isKeyExempt;
  return isOfServer ? WorkClass::Critical : aCall.entry->workClass;
}

/**
 * Whether a part of the body was not sent to the destination of the attempt, so
 * that the attempt has certainly not run.
 */
inline bool
IsBodyIncomplete(const EntryCall& aCall)
{
  return aCall.attempt.isAnnounced &&
         aCall.attempt.sentBytes < aCall.http.body.size();
}

/** The id of the attempt that the call makes next. */
inline std::string
NextAttemptId(const EntryCall& aCall)
{
  return aCall.id + "." + std::to_string(aCall.attempts + 1);
}

using EntryCallPtr = std::shared_ptr<EntryCall>;

} // namespace lacewingwharf
