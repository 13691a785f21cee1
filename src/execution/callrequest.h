#pragma once

#include "execution/entrycall.h"
#include "peer_types.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lacewingwharf {

class TeamKeys;

/** Maximum length of a chain of calls that cause one another. */
inline constexpr int kMaxDepth = 20;

/**
 * How long a destination daemon keeps the answer of a non-idempotent call. It
 * answers `not-run` for a call that it does not know, so entry daemons must not
 * accept that answer after this time.
 */
inline constexpr Millis kAnswerRetention = 30000;

/** Returns the entry of the request's route, or null. */
const Entry*
FindRoute(const Snapshot& aSnapshot, const HttpRequest& aRequest);

/**
 * Whether the request may run beside others of its connection: it may be
 * repeated, so that nobody depends on the order in which they run.
 */
bool
MayRunBeside(const Snapshot& aSnapshot, const HttpRequest& aRequest);

/**
 * Sets the fields of the call that its request determines: depth, idempotency,
 * deadline, digest and key. The entry must be set.
 */
void
ReadRequest(EntryCall& aCall, Millis aNow, const CallDialect& aDialect);

/**
 * Finds the entry and the team, calls ReadRequest() and makes the checks that
 * need no further state of the daemon. Returns nothing when the call passes.
 */
std::optional<Refusal>
CheckRequest(EntryCall& aCall,
             Millis aNow,
             const CallDialect& aDialect,
             const TeamKeys& aKeys);

/** What the entry daemon adds to every request. */
struct RequestOrigin
{
  std::string host;
  std::string service; // Of the backend server on that host; may be empty.
};

/**
 * Builds the message that sends the current attempt to its destination; without
 * the body if it is announced.
 */
wire::CallRequest
RequestMessage(const EntryCall& aCall,
               const RequestOrigin& aOrigin,
               Millis aRemaining,
               const CallDialect& aDialect);

/** Hash of an answer's body. It is sent with the answer to detect damage. */
std::int64_t
BodyHash(const std::string& aBody);

} // namespace lacewingwharf
