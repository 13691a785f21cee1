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
 * What a server's answer means when it is not the result of running the
 * request: it was not run, or nobody can tell. Empty for a result.
 */
std::optional<wire::CallAnswer>
JudgeServerAnswer(const CallDialect& aDialect,
                  const std::string& aCallId,
                  const HttpAnswer& aAnswer);

} // namespace lacewingwharf
