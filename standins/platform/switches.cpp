#include "switches.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>
#include <map>

namespace lacewingwharf {

namespace {

using Json = nlohmann::json;
using Setter = std::function<void(const Json&)>;

/** A token bucket holds the tokens that its rate adds in this time. */
constexpr double kBurstSeconds = 0.25;

double
BurstSize(double aPerSecond)
{
  return std::max(1.0, aPerSecond * kBurstSeconds);
}

std::map<std::string, Setter>
SettersFor(Switches& aSwitches, SwitchActions& aActions)
{
  return {
    { "down", [&](const Json& aValue) { aSwitches.isDown = aValue; } },
    { "silent", [&](const Json& aValue) { aSwitches.isSilent = aValue; } },
    { "slow_ms", [&](const Json& aValue) { aSwitches.callDelay = aValue; } },
    { "drop_answer_after_write",
      [&](const Json& aValue) { aSwitches.answersToDropAfterWrite = aValue; } },
    { "writes_per_s",
      [&](const Json& aValue) { aSwitches.writesPerSecond = aValue; } },
    { "reads_per_s",
      [&](const Json& aValue) { aSwitches.readsPerSecond = aValue; } },
    { "era", [&](const Json& aValue) { aSwitches.era = aValue; } },
    { "compact", [&](const Json& aValue) { aActions.mustCompact = aValue; } },
    { "save", [&](const Json& aValue) { aActions.saveAs = aValue; } },
    { "restore", [&](const Json& aValue) { aActions.restoreFrom = aValue; } },
  };
}

} // namespace

std::optional<std::string>
ApplySwitchesJson(const std::string& aJson,
                  Switches& aSwitches,
                  SwitchActions& aActions)
{
  const Json json = Json::parse(aJson, nullptr, false);
  if (!json.is_object()) {
    return "the body is not a JSON object";
  }
  Switches changed = aSwitches;
  const auto setters = SettersFor(changed, aActions);
  for (const auto& [name, value] : json.items()) {
    const auto setter = setters.find(name);
    if (setter == setters.end()) {
      return "unknown switch " + name;
    }
    try {
      setter->second(value);
    } catch (const Json::exception&) {
      return "wrong type for switch " + name;
    }
  }
  aSwitches = changed;
  return std::nullopt;
}

TokenBucket::TokenBucket(double aPerSecond)
  : clock(Clock::Steady())
  , perSecond(aPerSecond)
  , tokens(BurstSize(aPerSecond))
  , refilledAt(this->clock.PreciseNow())
{
}

void
TokenBucket::SetRate(double aPerSecond)
{
  if (this->perSecond == aPerSecond) {
    return;
  }
  this->perSecond = aPerSecond;
  this->tokens = BurstSize(aPerSecond);
}

bool
TokenBucket::Take()
{
  constexpr double kMillisPerSecond = 1000;
  if (this->perSecond <= 0) {
    return true;
  }
  const double now = this->clock.PreciseNow();
  const double refill =
    (now - this->refilledAt) * this->perSecond / kMillisPerSecond;
  this->tokens = std::min(BurstSize(this->perSecond), this->tokens + refill);
  this->refilledAt = now;
  if (this->tokens < 1) {
    return false;
  }
  this->tokens -= 1;
  return true;
}

} // namespace lacewingwharf
