#include "behaviour.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>

namespace lacewingwharf {

namespace {

using Json = nlohmann::json;
using Setter = std::function<void(const Json&)>;

std::map<std::string, Setter>
SettersFor(Behaviour& aBehaviour)
{
  Behaviour& target = aBehaviour;
  return {
    { "service_ms", [&](const Json& aValue) { target.serviceTime = aValue; } },
    { "stall", [&](const Json& aValue) { target.isStalled = aValue; } },
    { "crash_on", [&](const Json& aValue) { target.crashText = aValue; } },
    { "cut_answers",
      [&](const Json& aValue) { target.answersToCut = aValue; } },
    { "close_reused",
      [&](const Json& aValue) { target.reusedConnectionsToClose = aValue; } },
    { "piece_bytes", [&](const Json& aValue) { target.pieceBytes = aValue; } },
    { "piece_ms", [&](const Json& aValue) { target.pieceDelay = aValue; } },
    { "claim_state",
      [&](const Json& aValue) { target.announcedState = aValue; } },
    { "claim_slots",
      [&](const Json& aValue) { target.announcedSlots = aValue.get<int>(); } },
    { "silent", [&](const Json& aValue) { target.isSilent = aValue; } },
    { "drain", [&](const Json& aValue) { target.mustDrain = aValue; } },
  };
}

} // namespace

std::optional<std::string>
ApplyBehaviourJson(const std::string& aJson, Behaviour& aBehaviour)
{
  const Json json = Json::parse(aJson, nullptr, false);
  if (!json.is_object()) {
    return "the body is not a JSON object";
  }
  Behaviour changed = aBehaviour;
  const auto setters = SettersFor(changed);
  for (const auto& [name, value] : json.items()) {
    const auto setter = setters.find(name);
    if (setter == setters.end()) {
      return "unknown behaviour " + name;
    }
    try {
      setter->second(value);
    } catch (const Json::exception&) {
      return "wrong type for behaviour " + name;
    }
  }
  aBehaviour = changed;
  return std::nullopt;
}

} // namespace lacewingwharf
