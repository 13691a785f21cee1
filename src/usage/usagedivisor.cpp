#include "usage/usagedivisor.h"

#include "usage/usagetimes.h"

#include <algorithm>
#include <cmath>

namespace lacewingwharf {

namespace {

// A member that is declared dead may have been cut off this long before, and
// may not know members that joined since. Twice the time until a member without
// acknowledgements is declared dead.
constexpr Millis kDetectionTime = 10000;

// Allows for rounding errors of the sum of parts.
constexpr double kTolerance = 1e-9;

} // namespace

void
UsageDivisor::SetMembers(const std::vector<FleetMember>& aMembers, Millis aNow)
{
  for (auto& [host, member] : this->members) {
    member.isListed = false;
  }
  int live = 0;
  double dead = 0;
  for (const FleetMember& listed : aMembers) {
    const auto [position, isNew] = this->members.try_emplace(listed.host);
    Member& member = position->second;
    member.isListed = true;
    if (listed.isAlive) {
      member.seenAt = isNew || member.part > 0 ? aNow : member.seenAt;
      member.part = 0;
      ++live;
      continue;
    }
    if (isNew) {
      member.part = 1.0 / static_cast<double>(aMembers.size());
    } else if (member.part == 0) {
      member.part =
        1.0 / this->LowestSince(std::max(member.seenAt, aNow - kDetectionTime));
    }
    dead += member.part;
  }
  std::erase_if(this->members,
                [](const auto& aItem) { return !aItem.second.isListed; });
  const double left = std::max(1.0 - dead, 1.0 / kMaxUsageMembers);
  const double value = std::max(1.0, static_cast<double>(live) / left);
  if (this->values.empty() || this->values.back().second != value) {
    this->values.emplace_back(aNow, value);
  }
  while (this->values.size() > 1 &&
         this->values[1].first <= aNow - kDetectionTime) {
    this->values.pop_front();
  }
}

/** The lowest value that was in force at aTime or later. */
double
UsageDivisor::LowestSince(Millis aTime) const
{
  double lowest = this->values.back().second;
  for (auto value = this->values.rbegin(); value != this->values.rend();
       ++value) {
    lowest = std::min(lowest, value->second);
    if (value->first <= aTime) {
      break;
    }
  }
  return lowest;
}

int
UsageDivisor::Value() const
{
  if (this->values.empty()) {
    return 1;
  }
  const double value = std::ceil(this->values.back().second - kTolerance);
  return static_cast<int>(std::min<double>(value, kMaxUsageMembers));
}

} // namespace lacewingwharf
