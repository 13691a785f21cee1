#include "status/teamstats.h"

#include <algorithm>

namespace lacewingwharf {

void
TeamStats::Record(const std::string& aTeam,
                  wire::CallOutcome::type aOutcome,
                  const std::optional<RefusalReason>& aRefusal)
{
  Counts& team = this->counts[aTeam];
  ++team.calls;
  team.done += aOutcome == wire::CallOutcome::DONE ? 1 : 0;
  team.unknown += aOutcome == wire::CallOutcome::UNKNOWN ? 1 : 0;
  if (aRefusal) {
    ++team.refused;
    ++team.refusals[*aRefusal];
  }
}

void
TeamStats::KeepTeams(const Snapshot& aSnapshot)
{
  std::erase_if(this->counts, [&aSnapshot](const auto& aRow) {
    return std::ranges::none_of(aSnapshot.Teams(), [&](const Entry* aTeam) {
      return aTeam->owner == aRow.first;
    });
  });
}

TeamStats::Json
TeamStats::Describe(const Snapshot& aSnapshot, const std::string& aName) const
{
  const auto& teams = aSnapshot.Teams();
  const auto found = std::ranges::find_if(teams, [&aName](const Entry* aTeam) {
    return aTeam->owner == aName || aTeam->name == aName;
  });
  if (found == teams.end()) {
    return {};
  }
  const Entry& entry = **found;
  const auto counted = this->counts.find(entry.owner);
  return { { "team", entry.owner },
           { "entry", entry.name },
           { "version", aSnapshot.Version() },
           { "keys", entry.team.keyDigests.size() },
           { "class",
             entry.team.workClass
               ? std::string(kWorkClassNames.NameOf(*entry.team.workClass))
               : std::string() },
           { "rate", entry.team.ratePerSecond },
           { "burst", entry.team.burst },
           { "usage",
             CountsToJson(counted == this->counts.end() ? Counts()
                                                        : counted->second) } };
}

TeamStats::Json
TeamStats::CountsToJson(const Counts& aCounts)
{
  Json refusals = Json::object();
  for (const auto& [reason, count] : aCounts.refusals) {
    refusals[std::string(kRefusalReasonNames.NameOf(reason))] = count;
  }
  return { { "calls", aCounts.calls },
           { "done", aCounts.done },
           { "unknown", aCounts.unknown },
           { "refused", aCounts.refused },
           { "refusals", std::move(refusals) } };
}

} // namespace lacewingwharf
