#pragma once

#include "peer_types.h"

#include <optional>
#include <string>

namespace lacewingwharf {

/**
 * Describes the first unknown enum value in aEnvelope, if there is one. The
 * generated code accepts any number, and a member state of 99 would take
 * precedence over all known states when member records are merged.
 */
std::optional<std::string>
UnknownEnumValue(const wire::Envelope& aEnvelope);

} // namespace lacewingwharf
