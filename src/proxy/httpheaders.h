#pragma once

#include "proxy/httptypes.h"

#include <string>
#include <string_view>

namespace lacewingwharf {

/**
 * Adds a header line of a request. Repeated lines are joined with commas, as
 * HTTP allows. Cookie lines are joined with semicolons, because a comma is part
 * of a cookie.
 */
void
AddRequestHeader(HttpHeaders& aHeaders,
                 std::string aName,
                 const std::string& aValue);

/**
 * Adds a header line of an answer. Repeated lines are joined with commas, too.
 * Set-Cookie lines cannot be joined and are separated by a line feed.
 */
void
AddAnswerHeader(HttpHeaders& aHeaders,
                std::string aName,
                const std::string& aValue);

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
