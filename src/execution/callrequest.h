#pragma once

#include "execution/entrycall.h"
#include "peer_types.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lacewingwharf {

/** Longest chain of calls that cause one another. */
inline constexpr int kMaxDepth = 20;

/**
 * How long a destination daemon keeps the fate of a non-idempotent call. It
 * answers `not-run` for a call that it does not know, so entry daemons must not
 * believe that after this time.
 */
inline constexpr Millis kKeepAnswers = 30000;

/**
 * Fills in what the request itself says: depth, idempotency, deadline, digest
 * and key. The entry must be set.
 */
void
ReadRequest(EntryCall& aCall, Millis aNow, const CallDialect& aDialect);

/**
 * Finds the entry, fills in the call by ReadRequest() and checks what needs no
 * state of the daemon. Empty when nothing refuses the call.
 */
std::optional<Refusal>
CheckRequest(EntryCall& aCall, Millis aNow, const CallDialect& aDialect);

/** What the entry daemon adds to every request. */
struct RequestOrigin
{
  std::string host;
  std::string service; // Of the backend server on that host; may be empty.
};

/** The message for the current attempt. */
wire::CallRequest
RequestMessage(const EntryCall& aCall,
               const RequestOrigin& aOrigin,
               Millis aRemaining,
               const CallDialect& aDialect);

/** Hash of the answer body that travels with it. */
std::int64_t
BodyHash(const std::string& aBody);

} // namespace lacewingwharf
