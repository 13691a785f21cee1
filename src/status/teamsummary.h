#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace lacewingwharf {

/**
 * What several daemons report about a team: the policy of the newest version
 * and the sum of the calls.
 */
class TeamSummary
{
public:
  using Json = nlohmann::json;

  /** Adds the answer of a daemon; ignores one that has no team. */
  void Add(const Json& aReport);

  /** Whether no daemon knows the team. */
  bool IsEmpty() const;
  Json ToJson() const;
  std::string Text() const;

private:
  Json policy = Json::object(); // The fields besides the usage.
  std::int64_t version = -1;
  int daemons = 0;
  std::map<std::string, std::int64_t> usage;    // By outcome.
  std::map<std::string, std::int64_t> refusals; // By reason.
};

inline bool
TeamSummary::IsEmpty() const
{
  return this->daemons == 0;
}

} // namespace lacewingwharf
