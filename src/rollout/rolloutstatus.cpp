#include "rollout/rolloutstatus.h"

#include "common/duration.h"
#include "common/jsonitems.h"
#include "common/jsonvalue.h"
#include "common/log.h"

#include <nlohmann/json.hpp>

#include <string_view>

namespace lacewingwharf {

namespace {

using Json = nlohmann::json;

constexpr Log kLog("rollout");

RolloutStatus
ParseStatus(const std::string& aText)
{
  const Json json = ParseItem(aText);
  RolloutStatus status;
  if (!json.is_object()) {
    return status;
  }
  status.state = kRolloutStateNames.ValueOf(TextField(json, "state"))
                   .value_or(wire::RolloutState::NONE);
  status.target = TextField(json, "target_version");
  status.base = TextField(json, "base_version");
  status.order = IntegerField(json, "order").value_or(0);
  status.term = IntegerField(json, "sequence").value_or(0);
  status.decider = TextField(json, "decider");
  status.incarnation = IntegerField(json, "incarnation").value_or(0);
  status.startedAt = IntegerField(json, "started").value_or(0);
  status.duration = IntegerField(json, "duration_ms").value_or(0);
  return status;
}

} // namespace

std::optional<StoredRollout>
ParseRollout(const StoredObject& aObject)
{
  const std::string_view prefix = kRolloutPrefix;
  const Json spec = ParseItem(aObject.value);
  if (!aObject.name.starts_with(prefix) || !spec.is_object()) {
    return std::nullopt;
  }
  StoredRollout rollout;
  rollout.service = aObject.name.substr(prefix.size());
  const std::string named = TextField(spec, "service");
  if (!named.empty() && named != rollout.service) {
    // The status would be written to the object of another service.
    kLog.Warning("ignoring object {}, revision {}: it names the service {}",
                 aObject.name,
                 aObject.revision,
                 named);
    return std::nullopt;
  }
  rollout.target = TextField(spec, "target_version");
  rollout.duration = ParseDuration(TextField(spec, "duration")).value_or(0);
  rollout.revision = aObject.revision;
  if (rollout.target.empty() || rollout.duration <= 0) {
    kLog.Warning("ignoring object {}, revision {}: not an order",
                 aObject.name,
                 aObject.revision);
    return std::nullopt;
  }
  if (!aObject.status.empty()) {
    rollout.status = ParseStatus(aObject.status);
  }
  return rollout;
}

std::string
EncodeStatus(const RolloutStatus& aStatus)
{
  const Json json = { { "state", kRolloutStateNames.NameOf(aStatus.state) },
                      { "target_version", aStatus.target },
                      { "base_version", aStatus.base },
                      { "order", aStatus.order },
                      { "sequence", aStatus.term },
                      { "decider", aStatus.decider },
                      { "incarnation", aStatus.incarnation },
                      { "started", aStatus.startedAt },
                      { "duration_ms", aStatus.duration } };
  return json.dump();
}

} // namespace lacewingwharf
