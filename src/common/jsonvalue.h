#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace lacewingwharf {

/**
 * A field of an object that others wrote: the default when the field is
 * missing or of another type, where nlohmann's value() would throw.
 */
template<typename Value>
Value
ValueOr(const nlohmann::json& aObject, const char* aName, Value aDefault)
{
  const auto field = aObject.find(aName);
  if (!aObject.is_object() || field == aObject.end()) {
    return aDefault;
  }
  try {
    return field->template get<Value>();
  } catch (const nlohmann::json::exception&) {
    return aDefault;
  }
}

/** Empty when the field is missing or no text. */
inline std::string
TextIn(const nlohmann::json& aObject, const char* aName)
{
  return ValueOr(aObject, aName, std::string());
}

/** Empty when the field is missing or no whole number. */
inline std::optional<std::int64_t>
IntegerIn(const nlohmann::json& aObject, const char* aName)
{
  const auto field = aObject.find(aName);
  if (field == aObject.end() || !field->is_number_integer()) {
    return std::nullopt;
  }
  return field->get<std::int64_t>();
}

} // namespace lacewingwharf
