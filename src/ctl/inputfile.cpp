#include "ctl/inputfile.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace lacewingwharf {

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

} // namespace lacewingwharf
