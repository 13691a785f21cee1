#pragma once

#include <optional>
#include <string>

namespace lacewingwharf {

/** Reads a file, or standard input for "-". Empty if it cannot be read. */
std::optional<std::string>
ReadFileOrStdin(const std::string& aFile);

/**
 * The same, but empty for anything else than a regular file and if reading ends
 * with an error, so that neither passes for an empty or a shorter text.
 */
std::optional<std::string>
ReadRegularFileOrStdin(const std::string& aFile);

} // namespace lacewingwharf
