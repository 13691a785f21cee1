#pragma once

#include <nlohmann/json.hpp>

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

} // namespace lacewingwharf
