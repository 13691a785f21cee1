#pragma once

#include <filesystem>
#include <string>
#include <tuple>

namespace lacewingwharf {

/** Notices that a settings file was replaced or written. */
class SettingsFile
{
public:
  explicit SettingsFile(std::string aName);

  const std::string& Name() const;

  /** Whether it is another than at the last call, or at the start. */
  bool TakeChange();

private:
  using Stamp =
    std::tuple<std::filesystem::file_time_type, std::uintmax_t, bool>;

  Stamp Read() const;

  std::string name;
  Stamp last;
};

inline const std::string&
SettingsFile::Name() const
{
  return this->name;
}

} // namespace lacewingwharf
