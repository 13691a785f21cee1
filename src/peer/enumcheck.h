#pragma once

#include "peer_types.h"

#include <optional>
#include <string>

namespace lacewingwharf {

/**
 * Names the first enum value that this daemon does not know, if there is one.
 * The generated code takes any number, and a member state of 99 would outrank
 * every known one in the merge of member records.
 */
std::optional<std::string>
UnknownEnumValue(const wire::Envelope& aEnvelope);

} // namespace lacewingwharf
