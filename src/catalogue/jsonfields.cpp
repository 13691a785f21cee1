#include "catalogue/jsonfields.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace lacewingwharf {

JsonFields::JsonFields(const nlohmann::json& aObject, std::string aObjectName)
  : object(aObject)
  , objectName(std::move(aObjectName))
{
  if (!aObject.is_object()) {
    this->problem =
      this->objectName.empty()
        ? "the text is not a JSON object"
        : fmt::format("{} is not a JSON object", this->objectName);
  }
}

void
JsonFields::AddProblem(std::string_view aKey, std::string_view aText)
{
  if (!this->problem.empty()) {
    return;
  }
  const std::string_view dot = this->objectName.empty() ? "" : ".";
  this->problem = fmt::format("{}{}{} {}", this->objectName, dot, aKey, aText);
}

void
JsonFields::Merge(const JsonFields& aNested)
{
  if (this->problem.empty()) {
    this->problem = aNested.problem;
  }
}

void
JsonFields::AllowOnly(std::initializer_list<std::string_view> aKeys,
                      UnknownFields aUnknown)
{
  if (!this->object.is_object()) {
    return;
  }
  for (const auto& [key, value] : this->object.items()) {
    if (std::ranges::find(aKeys, key) != aKeys.end()) {
      continue;
    }
    if (aUnknown == UnknownFields::Named) {
      this->AddProblem(key, "is not a known key here");
    } else if (this->problem.empty()) {
      this->problem =
        fmt::format("{} has an unknown field",
                    this->objectName.empty() ? "the entry" : this->objectName);
    }
  }
}

const nlohmann::json*
JsonFields::FindField(std::string_view aKey, Presence aPresence)
{
  if (!this->object.is_object()) {
    return nullptr;
  }
  const auto found = this->object.find(aKey);
  if (found != this->object.end()) {
    return &*found;
  }
  if (aPresence == Presence::Required) {
    this->AddProblem(aKey, "is missing");
  }
  return nullptr;
}

std::string
JsonFields::ReadString(std::string_view aKey, Presence aPresence)
{
  const nlohmann::json* const field = this->FindField(aKey, aPresence);
  if (field == nullptr) {
    return {};
  }
  if (!field->is_string()) {
    this->AddProblem(aKey, "must be a string");
    return {};
  }
  return field->get<std::string>();
}

std::int64_t
JsonFields::ReadInteger(std::string_view aKey,
                        std::int64_t aDefault,
                        NumberRange aRange,
                        Presence aPresence)
{
  const nlohmann::json* const field = this->FindField(aKey, aPresence);
  if (field == nullptr) {
    return aDefault;
  }
  const bool isTooLarge =
    field->is_number_unsigned() &&
    field->get<std::uint64_t>() >
      std::uint64_t(std::numeric_limits<std::int64_t>::max());
  if (!field->is_number_integer() || isTooLarge) {
    this->AddProblem(aKey, "must be a whole number");
    return aDefault;
  }
  const auto value = field->get<std::int64_t>();
  if (value < aRange.low || value > aRange.high) {
    this->AddProblem(
      aKey,
      fmt::format(
        "is {}; allowed is {} to {}", value, aRange.low, aRange.high));
  }
  return value;
}

bool
JsonFields::ReadBool(std::string_view aKey, bool aDefault)
{
  const nlohmann::json* const field = this->FindField(aKey, Presence::Optional);
  if (field == nullptr) {
    return aDefault;
  }
  if (!field->is_boolean()) {
    this->AddProblem(aKey, "must be true or false");
    return aDefault;
  }
  return field->get<bool>();
}

} // namespace lacewingwharf
