#pragma once

#include <optional>
#include <string_view>

namespace lacewingwharf {

/**
 * Returns the status of an HTTP status line without its line end, or nothing if
 * it is not valid: only 100 to 599, written with three digits, is a status.
 * libcurl also takes 600, and the first digits of 2000 or 200x.
 */
std::optional<int>
ParseStatusLine(std::string_view aLine);

/** Whether a line of an answer is a status line, valid or not. */
bool
IsStatusLine(std::string_view aLine);

/**
 * Whether the status is one that an answer to a request without an upgrade may
 * have, as its final status or before it. 101 is neither.
 */
bool
IsAnswerStatus(int aStatus);

} // namespace lacewingwharf
