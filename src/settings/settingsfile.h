#pragma once

#include <filesystem>
#include <string>
#include <tuple>

namespace lacewingwharf {

/** Detects that a settings file was written, replaced or removed. */
class SettingsFile
{
public:
  explicit SettingsFile(std::string aName);

  const std::string& Name() const;

  /**
   * Returns true if the file's time, size or existence differs from the
   * previous call, or from construction for the first call.
   */
  bool DetectChange();

private:
  using FileState =
    std::tuple<std::filesystem::file_time_type, std::uintmax_t, bool>;

  FileState ReadState() const;

  std::string name;
  FileState lastState;
};

inline const std::string&
SettingsFile::Name() const
{
  return this->name;
}

} // namespace lacewingwharf
