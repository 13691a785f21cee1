#include "status/teamsummary.h"

#include "common/jsonvalue.h"

#include <fmt/format.h>

namespace lacewingwharf {

namespace {

using Json = TeamSummary::Json;

void
AddCounts(std::map<std::string, std::int64_t>& aSums, const Json& aCounts)
{
  if (!aCounts.is_object()) {
    return;
  }
  for (const auto& [name, count] : aCounts.items()) {
    if (count.is_number_integer()) {
      aSums[name] += count.get<std::int64_t>();
    }
  }
}

std::int64_t
CountOf(const std::map<std::string, std::int64_t>& aSums,
        const std::string& aName)
{
  const auto found = aSums.find(aName);
  return found == aSums.end() ? 0 : found->second;
}

} // namespace

void
TeamSummary::Add(const Json& aReport)
{
  if (TextField(aReport, "team").empty()) {
    return;
  }
  ++this->daemons;
  const auto usageField = aReport.find("usage");
  if (usageField != aReport.end() && usageField->is_object()) {
    AddCounts(this->usage, *usageField);
    AddCounts(this->refusals, usageField->value("refusals", Json::object()));
  }
  const auto reported = FieldOr(aReport, "version", std::int64_t{ 0 });
  if (reported > this->version) {
    this->version = reported;
    this->policy = aReport;
    this->policy.erase("usage");
  }
}

Json
TeamSummary::ToJson() const
{
  Json json = this->policy;
  json["daemons"] = this->daemons;
  json["usage"] = this->usage;
  json["usage"]["refusals"] = this->refusals;
  return json;
}

std::string
TeamSummary::Text() const
{
  const std::string workClass = TextField(this->policy, "class");
  const auto rate = FieldOr(this->policy, "rate", std::int64_t{ 0 });
  std::string text = fmt::format(
    "team {}: {} keys, class {}, {}\n",
    TextField(this->policy, "team"),
    FieldOr(this->policy, "keys", std::int64_t{ 0 }),
    workClass.empty() ? "of the route" : workClass,
    rate == 0 ? std::string("no cap")
              : fmt::format("rate {}/s, burst {}",
                            rate,
                            FieldOr(this->policy, "burst", std::int64_t{ 0 })));
  text += fmt::format(
    "version {}, reported by {} daemons\n", this->version, this->daemons);
  text += fmt::format("{} calls: {} done, {} refused, {} unknown\n",
                      CountOf(this->usage, "calls"),
                      CountOf(this->usage, "done"),
                      CountOf(this->usage, "refused"),
                      CountOf(this->usage, "unknown"));
  for (const auto& [reason, count] : this->refusals) {
    text += fmt::format("  refused {}: {}\n", reason, count);
  }
  return text;
}

} // namespace lacewingwharf
