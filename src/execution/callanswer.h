#pragma once

#include "execution/entrycall.h"
#include "peer_types.h"

#include <string>

namespace lacewingwharf {

/**
 * Whether a retry after this refusal takes nothing from the retry budget,
 * because the refusal cost the destination nothing.
 */
bool
IsFreeToRetry(RefusalReason aReason);

/** Whether a backend server received the request and refused it. */
bool
ReachedServer(RefusalReason aReason);

/**
 * Whether another destination may accept a call that was refused for this
 * reason.
 */
bool
IsRetryable(RefusalReason aReason);

/** How the chooser counts an attempt that was refused. */
CallEnd
CallEndOf(RefusalReason aReason);

/** Reads the refusal from the answer of a destination daemon. */
Refusal
RefusalOf(const wire::CallAnswer& aAnswer);

/**
 * The ending of a refused call: `not-run`, or `unknown` when an earlier attempt
 * may have run.
 */
Ending
RefusalEnding(const EntryCall& aCall,
              const Refusal& aRefusal,
              const CallDialect& aDialect = {});

/**
 * The ending of a call that may have run and has no complete answer. The status
 * is 504 if aIsLate, otherwise 502.
 */
Ending
UnknownEnding(const std::string& aReason, bool aIsLate);

/**
 * The ending of a call whose idempotency key is held by another call. That call
 * may have run, so the outcome is not `not-run`.
 */
Ending
DuplicateEnding();

/** Converts a backend server's answer to the HTTP answer for the caller. */
HttpAnswer
DoneAnswer(wire::CallAnswer aAnswer, const CallDialect& aDialect = {});

/**
 * The result of the latest attempt, for the chooser: how it ended, its latency
 * and the load of the endpoint.
 */
Observation
ObservationOf(const EntryCall& aCall,
              CallEnd aEnd,
              const wire::CallAnswer& aAnswer,
              double aNow);

/** Adds the headers that name entry, owner, catalogue version and call. */
void
AddCallHeaders(const EntryCall& aCall, HttpAnswer& aAnswer);

} // namespace lacewingwharf
