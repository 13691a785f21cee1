#pragma once

#include <optional>
#include <string>

namespace lacewingwharf {

/** Reads a file, or standard input for "-". Empty if it cannot be read. */
std::optional<std::string>
ReadFileOrStdin(const std::string& aFile);

} // namespace lacewingwharf
