#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace lacewingwharf {

/** Whether a field has to be present. */
enum class Presence
{
  Optional,
  Required
};

/** Whether a problem names an unknown field, whose name may be a secret. */
enum class UnknownFields
{
  Named,
  Unnamed
};

/** Inclusive bounds of a number. */
struct NumberRange
{
  std::int64_t low = 0;
  std::int64_t high = 0;
};

/**
 * Reads the fields of one JSON object and keeps the first problem, so that a
 * parser can read all fields and check for a problem once.
 */
class JsonFields
{
public:
  /**
   * aObjectName names the object in problem texts. It is empty for the
   * outermost object.
   */
  JsonFields(const nlohmann::json& aObject, std::string aObjectName);

  /** Reports a problem for the first key that is not in aKeys. */
  void AllowOnly(std::initializer_list<std::string_view> aKeys,
                 UnknownFields aUnknown = UnknownFields::Named);

  std::string ReadString(std::string_view aKey, Presence aPresence);
  std::int64_t ReadInteger(std::string_view aKey,
                           std::int64_t aDefault,
                           NumberRange aRange,
                           Presence aPresence = Presence::Optional);
  bool ReadBool(std::string_view aKey, bool aDefault);

  /** Null when the field is missing. */
  const nlohmann::json* FindField(std::string_view aKey, Presence aPresence);

  void AddProblem(std::string_view aKey, std::string_view aText);

  /** Copies the problem of a nested object unless this one has a problem. */
  void Merge(const JsonFields& aNested);

  bool IsValid() const;
  const std::string& FirstProblem() const;

private:
  const nlohmann::json& object;
  std::string objectName;
  std::string problem;
};

inline bool
JsonFields::IsValid() const
{
  return this->problem.empty();
}

inline const std::string&
JsonFields::FirstProblem() const
{
  return this->problem;
}

} // namespace lacewingwharf
