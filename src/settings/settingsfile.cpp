#include "settings/settingsfile.h"

#include <system_error>
#include <utility>

namespace lacewingwharf {

SettingsFile::SettingsFile(std::string aName)
  : name(std::move(aName))
  , lastState(this->ReadState())
{
}

bool
SettingsFile::DetectChange()
{
  const FileState currentState = this->ReadState();
  return std::exchange(this->lastState, currentState) != currentState;
}

SettingsFile::FileState
SettingsFile::ReadState() const
{
  std::error_code timeError;
  std::error_code sizeError;
  const auto time = std::filesystem::last_write_time(this->name, timeError);
  const auto size = std::filesystem::file_size(this->name, sizeError);
  const bool exists = !timeError && !sizeError;
  return exists ? FileState(time, size, true) : FileState({}, 0, false);
}

} // namespace lacewingwharf
