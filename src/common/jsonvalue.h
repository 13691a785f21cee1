#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <utility>

namespace lacewingwharf {

/**
 * Returns a field of an object from an external source, or aDefault when the
 * field is missing or has another type. nlohmann's value() throws in the latter
 * case.
 */
template<typename Value>
Value
FieldOr(const nlohmann::json& aObject, const char* aName, Value aDefault)
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

/** Returns an empty text when the field is missing or is not a string. */
inline std::string
TextField(const nlohmann::json& aObject, const char* aName)
{
  return FieldOr(aObject, aName, std::string());
}

/** Returns no value when the field is missing or is not a 64-bit integer. */
inline std::optional<std::int64_t>
IntegerField(const nlohmann::json& aObject, const char* aName)
{
  const auto field = aObject.find(aName);
  if (field == aObject.end() || !field->is_number_integer()) {
    return std::nullopt;
  }
  constexpr std::uint64_t kMax = std::numeric_limits<std::int64_t>::max();
  if (field->is_number_unsigned() && field->get<std::uint64_t>() > kMax) {
    return std::nullopt;
  }
  return field->get<std::int64_t>();
}

} // namespace lacewingwharf
