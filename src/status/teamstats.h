#pragma once

#include "admission/refusal.h"
#include "catalogue/snapshot.h"
#include "peer_types.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace lacewingwharf {

/**
 * Counts the calls of each team that entered at this daemon since it started,
 * for lacewingwharfctl. Runs on the calls thread.
 */
class TeamStats
{
public:
  using Json = nlohmann::json;

  /** aRefusal is empty if the call was not refused. */
  void Record(const std::string& aTeam,
              wire::CallOutcome::type aOutcome,
              const std::optional<RefusalReason>& aRefusal);

  /** Drops the counts of teams that the catalogue no longer has. */
  void KeepTeams(const Snapshot& aSnapshot);

  /**
   * Returns the policy and the counts of a team, which aName names itself or by
   * its entry. Null if there is no such team. Contains no digest of a key.
   */
  Json Describe(const Snapshot& aSnapshot, const std::string& aName) const;

private:
  struct Counts
  {
    std::int64_t calls = 0;
    std::int64_t done = 0;
    std::int64_t unknown = 0;
    std::int64_t refused = 0;
    std::map<RefusalReason, std::int64_t> refusals;
  };

  static Json CountsToJson(const Counts& aCounts);

  std::map<std::string, Counts> counts; // By team.
};

} // namespace lacewingwharf
