#include "catalogue/jsonfields.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace lacewingwharf {

JsonFields::JsonFields(const nlohmann::json& aObject, std::string aWhere)
  : object(aObject)
  , where(std::move(aWhere))
{
  if (!aObject.is_object()) {
    this->problem = this->where.empty()
                      ? "the text is not a JSON object"
                      : fmt::format("{} is not a JSON object", this->where);
  }
}

void
JsonFields::Problem(std::string_view aKey, std::string_view aText)
{
  if (!this->problem.empty()) {
    return;
  }
  const std::string_view dot = this->where.empty() ? "" : ".";
  this->problem = fmt::format("{}{}{} {}", this->where, dot, aKey, aText);
}

void
JsonFields::Merge(const JsonFields& aNested)
{
  if (this->problem.empty()) {
    this->problem = aNested.problem;
  }
}

void
JsonFields::AllowOnly(std::initializer_list<std::string_view> aKeys)
{
  if (!this->object.is_object()) {
    return;
  }
  for (const auto& [key, value] : this->object.items()) {
    if (std::ranges::find(aKeys, key) == aKeys.end()) {
      this->Problem(key, "is not a known key here");
    }
  }
}

const nlohmann::json*
JsonFields::Field(std::string_view aKey, Presence aPresence)
{
  if (!this->object.is_object()) {
    return nullptr;
  }
  const auto found = this->object.find(aKey);
  if (found != this->object.end()) {
    return &*found;
  }
  if (aPresence == Presence::Required) {
    this->Problem(aKey, "is missing");
  }
  return nullptr;
}

std::string
JsonFields::Text(std::string_view aKey, Presence aPresence)
{
  const nlohmann::json* const field = this->Field(aKey, aPresence);
  if (field == nullptr) {
    return {};
  }
  if (!field->is_string()) {
    this->Problem(aKey, "must be a string");
    return {};
  }
  return field->get<std::string>();
}

std::int64_t
JsonFields::Number(std::string_view aKey,
                   std::int64_t aDefault,
                   NumberRange aRange,
                   Presence aPresence)
{
  const nlohmann::json* const field = this->Field(aKey, aPresence);
  if (field == nullptr) {
    return aDefault;
  }
  const bool isTooLarge =
    field->is_number_unsigned() &&
    field->get<std::uint64_t>() >
      std::uint64_t(std::numeric_limits<std::int64_t>::max());
  if (!field->is_number_integer() || isTooLarge) {
    this->Problem(aKey, "must be a whole number");
    return aDefault;
  }
  const auto value = field->get<std::int64_t>();
  if (value < aRange.low || value > aRange.high) {
    this->Problem(
      aKey,
      fmt::format(
        "is {}; allowed is {} to {}", value, aRange.low, aRange.high));
  }
  return value;
}

bool
JsonFields::Flag(std::string_view aKey, bool aDefault)
{
  const nlohmann::json* const field = this->Field(aKey, Presence::Optional);
  if (field == nullptr) {
    return aDefault;
  }
  if (!field->is_boolean()) {
    this->Problem(aKey, "must be true or false");
    return aDefault;
  }
  return field->get<bool>();
}

} // namespace lacewingwharf
