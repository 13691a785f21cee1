#pragma once

#include "settings/settings.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingwharf {

/** What a settings key accepts and where its value goes. */
struct SettingsKey
{
  std::string_view section;
  std::string_view name;
  bool isRequired = false;

  /** The range or format that the key accepts, for error messages. */
  std::string accepts;

  /** False when the text is not acceptable; the settings are not used then. */
  std::function<bool(Settings&, std::string_view aText)> assign;

  /** Each line adds to a list. inih takes no line of 200 bytes or more. */
  bool mayRepeat = false;
};

/** Every key of the settings file. */
const std::vector<SettingsKey>&
SettingsKeys();

} // namespace lacewingwharf
