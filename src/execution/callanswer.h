#pragma once

#include "execution/entrycall.h"
#include "peer_types.h"

#include <string>

namespace lacewingwharf {

/** Refusals that cost the destination nothing take no retry budget. */
bool
IsFreeToRetry(RefusalReason aReason);

/** Whether the request was handed to a backend server, which refused it. */
bool
HasArrived(RefusalReason aReason);

/** Whether another destination may accept what this one refused. */
bool
IsWorthRetry(RefusalReason aReason);

/** The refusal that a destination daemon reported. */
Refusal
RefusalOf(const wire::CallAnswer& aAnswer);

/** `unknown` instead of `not-run` when an earlier attempt may have run. */
Ending
RefusalEnding(const EntryCall& aCall,
              const Refusal& aRefusal,
              const CallDialect& aDialect = {});

/** The call may have run and no whole answer was seen. */
Ending
UnknownEnding(const std::string& aReason, bool aIsLate);

/** Another call holds the key; it may have run, so this is not `not-run`. */
Ending
DuplicateEnding();

/** The backend server's answer for the caller. */
HttpAnswer
DoneAnswer(wire::CallAnswer aAnswer, const CallDialect& aDialect = {});

/** What the chooser learns from the latest attempt. */
Observation
ObservationOf(const EntryCall& aCall,
              CallEnd aEnd,
              const wire::CallAnswer& aAnswer,
              double aNow);

/** Names entry, owner, version and call in the answer. */
void
AddCallHeaders(const EntryCall& aCall, HttpAnswer& aAnswer);

} // namespace lacewingwharf
