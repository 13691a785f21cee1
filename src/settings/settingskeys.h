#pragma once

#include "settings/settings.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingwharf {

/** Describes a settings key, its valid values and how to store them. */
struct SettingsKey
{
  std::string_view section;
  std::string_view name;
  bool isRequired = false;

  /** The valid range or format, for error messages. */
  std::string valueDescription;

  /**
   * Stores the value. Returns false if it is invalid; the settings are not used
   * then.
   */
  std::function<bool(Settings&, std::string_view aText)> assign;

  /**
   * True if the key may be given on several lines, each of which adds to a
   * list. Long lists need this because inih limits a line to less than 200
   * bytes.
   */
  bool isRepeatable = false;
};

/** Returns every key of the settings file. */
const std::vector<SettingsKey>&
SettingsKeys();

} // namespace lacewingwharf
