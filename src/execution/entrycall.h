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

/** Where a call stands at its entry daemon. */
enum class CallStage
{
  Claiming,   // Waits for the claim of its idempotency key.
  Attempting, // A destination daemon has the request, or may have it.
  Querying    // The session broke; the destination is asked what happened.
};

/** One try of a call at one destination daemon. */
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
  std::string service;          // That the route or its split names.
  std::string requestId;        // That the caller gave; for logs.
  bool isIdempotent = false;
  int depth = 0;
  double startedAt = 0;
  Millis deadlineAt = 0;
  Millis targetAt = 0; // Until when an answer is of full use.
  std::uint64_t digest = 0;
  std::optional<std::uint64_t> keyHash;

  CallStage stage = CallStage::Attempting;
  Attempt attempt;
  int attempts = 0;

  /** Attempts that a backend server was handed, or may have been. */
  int arrivals = 0;

  /** A server's failure, for the caller when no later attempt does better. */
  std::optional<wire::CallAnswer> failure;
  std::set<EndpointKey> tried;
  Millis nextQueryAt = 0;
  Millis queryUntil = 0;

  /** Why the latest attempt was not run, if it was refused. */
  std::optional<Refusal> lastRefusal;

  /** An earlier attempt may have run, so `not-run` would be untrue. */
  bool mayHaveRun = false;
  bool hasCallerLeft = false;
};

using EntryCallPtr = std::shared_ptr<EntryCall>;

} // namespace lacewingwharf
