#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace lacewingwharf {

/** Whether a field must be there. */
enum class Presence
{
  Optional,
  Required
};

/** Bounds of a number, both allowed. */
struct NumberRange
{
  std::int64_t low = 0;
  std::int64_t high = 0;
};

/**
 * Reads the fields of one JSON object and remembers the first problem, so that
 * a parser can read everything and check once.
 */
class JsonFields
{
public:
  /** aWhere names the object in problem texts; empty for the outermost. */
  JsonFields(const nlohmann::json& aObject, std::string aWhere);

  /** Notes the first key that is not in aKeys. */
  void AllowOnly(std::initializer_list<std::string_view> aKeys);

  std::string Text(std::string_view aKey, Presence aPresence);
  std::int64_t Number(std::string_view aKey,
                      std::int64_t aDefault,
                      NumberRange aRange,
                      Presence aPresence = Presence::Optional);
  bool Flag(std::string_view aKey, bool aDefault);

  /** Null when the field is missing. */
  const nlohmann::json* Field(std::string_view aKey, Presence aPresence);

  void Problem(std::string_view aKey, std::string_view aText);

  /** Takes over the problem of a nested object. */
  void Merge(const JsonFields& aNested);

  bool IsGood() const;
  const std::string& FirstProblem() const;

private:
  const nlohmann::json& object;
  std::string where;
  std::string problem;
};

inline bool
JsonFields::IsGood() const
{
  return this->problem.empty();
}

inline const std::string&
JsonFields::FirstProblem() const
{
  return this->problem;
}

} // namespace lacewingwharf
