#pragma once

#include "catalogue/snapshot.h"
#include "common/clock.h"
#include "execution/outcome.h"
#include "membership/endpointview.h"
#include "peer_types.h"
#include "proxy/httpserver.h"
#include "routing/serverchooser.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace lacewingwharf {

/** The stage of a call at its entry daemon. */
enum class CallStage
{
  Claiming,   // Waits for the claim of its idempotency key.
  Attempting, // A destination daemon has the request, or may have it.
  Querying    // The session was lost; the call's status is queried.
};

/** One attempt to run a call at a destination daemon. */
struct Attempt
{
  std::string id;
  EndpointInfo endpoint;
  double startedAt = 0;
};

/** A call at its entry daemon. It keeps the snapshot it started with. */
struct EntryCall
{
  std::string id;
  RequestId request = 0;
  HttpRequest http;
  SnapshotPtr snapshot;
  const Entry* entry = nullptr; // Owned by the snapshot.
  std::string service;          // Chosen by the route or its split.
  std::string requestId;        // Given by the caller; for logs.
  bool isIdempotent = false;
  int depth = 0;
  double startedAt = 0;
  Millis deadlineAt = 0;
  Millis targetAt = 0; // End of the target time; later answers are less useful.
  std::uint64_t digest = 0;
  std::optional<std::uint64_t> keyHash;

  CallStage stage = CallStage::Attempting;
  Attempt attempt;
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

using EntryCallPtr = std::shared_ptr<EntryCall>;

} // namespace lacewingwharf
