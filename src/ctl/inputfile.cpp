#include "ctl/inputfile.h"

#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <system_error>
#include <utility>

namespace lacewingwharf {

namespace {

/** Returns nothing if reading ends with an error. */
std::optional<std::string>
ReadToEnd(std::istream& aStream)
{
  constexpr std::size_t kBlockBytes = 65536;
  std::string text;
  std::array<char, kBlockBytes> block{};
  while (aStream.read(block.data(), block.size()) || aStream.gcount() > 0) {
    text.append(block.data(), static_cast<std::size_t>(aStream.gcount()));
  }
  return aStream.bad() ? std::nullopt : std::optional(std::move(text));
}

} // namespace

std::optional<std::string>
ReadFileOrStdin(const std::string& aFile)
{
  std::ostringstream text;
  if (aFile == "-") {
    text << std::cin.rdbuf();
    return text.str();
  }
  std::ifstream stream(aFile);
  if (!stream) {
    return std::nullopt;
  }
  text << stream.rdbuf();
  return text.str();
}

std::optional<std::string>
ReadRegularFileOrStdin(const std::string& aFile)
{
  if (aFile == "-") {
    auto text = ReadToEnd(std::cin);
    // The stream shares its buffer with stdin, which alone keeps the error.
    return std::ferror(stdin) == 0 ? text : std::nullopt;
  }
  std::error_code error;
  if (!std::filesystem::is_regular_file(aFile, error)) {
    return std::nullopt;
  }
  std::ifstream stream(aFile);
  return stream ? ReadToEnd(stream) : std::nullopt;
}

} // namespace lacewingwharf
