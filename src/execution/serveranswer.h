#pragma once

#include "execution/calldialect.h"
#include "peer_types.h"
#include "proxy/httptypes.h"

#include <optional>
#include <string>

namespace lacewingwharf {

/** The answer for a call that no backend server has run. */
wire::CallAnswer
NotRunAnswer(const std::string& aCallId, const Refusal& aRefusal);

wire::CallAnswer
NotRunAnswer(const std::string& aCallId, RefusalReason aReason);

/** The answer for a call that may have run. */
wire::CallAnswer
UnknownAnswer(const std::string& aCallId, const std::string& aReason);

/**
 * Interprets a backend server's answer that is not the result of running the
 * request: either the request was not run, or that is unknown. Returns nothing
 * if the answer is a result.
 */
std::optional<wire::CallAnswer>
ClassifyServerAnswer(const CallDialect& aDialect,
                     const std::string& aCallId,
                     const HttpAnswer& aAnswer);

} // namespace lacewingwharf
