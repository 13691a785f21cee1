#pragma once

#include "proxy/httptypes.h"

#include <string>
#include <string_view>

namespace lacewingwharf {

/**
 * Adds a header line. Repeated lines are joined with commas, as HTTP allows.
 * Set-Cookie lines cannot be joined that way and are separated by a line feed.
 */
void
AddHeader(HttpHeaders& aHeaders, std::string aName, std::string aValue);

/** Removes the hop-by-hop headers and the framing headers. */
void
RemoveHopByHop(HttpHeaders& aHeaders);

/** Whether the header has no characters that could start another line. */
bool
IsSafeHeader(std::string_view aName, std::string_view aValue);

/** Whether aMethod is not empty and has only letters. */
bool
IsMethodName(std::string_view aMethod);

} // namespace lacewingwharf
