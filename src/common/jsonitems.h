#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingwharf {

/** The text of a JSON object whose array field was taken out of it. */
struct JsonItems
{
  std::string rest; // The object with an empty array in the field.
  std::vector<std::string_view> items; // Parts of the text that was passed.
};

/**
 * Splits the array aField of a JSON object into the texts of its items, so that
 * each can be parsed by itself. A parser for the whole text rejects all items
 * for one that contains a number out of range or bytes that are not UTF-8.
 * Returns nothing if there is no such array.
 */
std::optional<JsonItems>
SplitItems(std::string_view aText, std::string_view aField);

/**
 * Parses an item from an external source. The result is discarded (see
 * nlohmann::json) if the item cannot be parsed or is nested more than
 * kMaxItemDepth deep; nlohmann's copies and dumps recurse once per level.
 */
nlohmann::json
ParseItem(std::string_view aText);

inline constexpr std::size_t kMaxItemDepth = 64;

} // namespace lacewingwharf
