#include "settings/settingsfile.h"

#include <system_error>
#include <utility>

namespace lacewingwharf {

SettingsFile::SettingsFile(std::string aName)
  : name(std::move(aName))
  , last(this->Read())
{
}

bool
SettingsFile::TakeChange()
{
  const Stamp present = this->Read();
  return std::exchange(this->last, present) != present;
}

SettingsFile::Stamp
SettingsFile::Read() const
{
  std::error_code timeError;
  std::error_code sizeError;
  const auto time = std::filesystem::last_write_time(this->name, timeError);
  const auto size = std::filesystem::file_size(this->name, sizeError);
  const bool isThere = !timeError && !sizeError;
  return isThere ? Stamp(time, size, true) : Stamp({}, 0, false);
}

} // namespace lacewingwharf
