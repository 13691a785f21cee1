#pragma once

#include "proxy/httptypes.h"

#include <string>
#include <string_view>

namespace lacewingwharf {

/**
 * Adds a header line; repeated lines are joined as HTTP allows. Set-Cookie
 * lines cannot be joined with commas and are kept apart by a line feed.
 */
void
AddHeader(HttpHeaders& aHeaders, std::string aName, std::string aValue);

/** Removes what belongs to one connection, and the framing headers. */
void
RemoveHopByHop(HttpHeaders& aHeaders);

/** Without characters that would begin another header line. */
bool
IsSafeHeader(std::string_view aName, std::string_view aValue);

/** A method name of letters only. */
bool
IsMethodName(std::string_view aMethod);

} // namespace lacewingwharf
