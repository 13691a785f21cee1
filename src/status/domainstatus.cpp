#include "status/domainstatus.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace lacewingwharf {

namespace {

using Json = nlohmann::json;

} // namespace

std::string
StatusObjectName(std::string_view aEntry, std::string_view aDomain)
{
  return fmt::format("{}{}/{}", kStatusPrefix, aEntry, aDomain);
}

Json
StatusToJson(const DomainStatus& aStatus)
{
  return { { "entry", aStatus.entry },        { "owner", aStatus.owner },
           { "domain", aStatus.domain },      { "hosts", aStatus.hosts },
           { "calls", aStatus.calls },        { "refused", aStatus.refused },
           { "slow", aStatus.slow },          { "unknown", aStatus.unknown },
           { "p50_us", aStatus.p50Micros },   { "p99_us", aStatus.p99Micros },
           { "limit", aStatus.limit },        { "bound", aStatus.bound },
           { "seen", aStatus.seen },          { "since_ms", aStatus.since },
           { "updated_ms", aStatus.updated }, { "callers", aStatus.callers } };
}

StatusResult<DomainStatus>
StatusFromJson(const Json& aJson)
{
  DomainStatus status;
  try {
    aJson.at("entry").get_to(status.entry);
    aJson.at("owner").get_to(status.owner);
    aJson.at("domain").get_to(status.domain);
    aJson.at("hosts").get_to(status.hosts);
    aJson.at("calls").get_to(status.calls);
    aJson.at("refused").get_to(status.refused);
    aJson.at("slow").get_to(status.slow);
    aJson.at("unknown").get_to(status.unknown);
    aJson.at("p50_us").get_to(status.p50Micros);
    aJson.at("p99_us").get_to(status.p99Micros);
    aJson.at("limit").get_to(status.limit);
    aJson.at("bound").get_to(status.bound);
    aJson.at("seen").get_to(status.seen);
    aJson.at("since_ms").get_to(status.since);
    aJson.at("updated_ms").get_to(status.updated);
    aJson.at("callers").get_to(status.callers);
  } catch (const Json::exception& error) {
    return StatusError{ StatusErrorCode::BadField, error.what() };
  }
  return status;
}

std::string
EncodeStatus(const DomainStatus& aStatus)
{
  // Callers choose their own names, which need not be valid UTF-8. Invalid
  // bytes are replaced, because dump() would throw by default.
  return StatusToJson(aStatus).dump(
    -1, ' ', false, Json::error_handler_t::replace);
}

StatusResult<DomainStatus>
DecodeStatus(std::string_view aText)
{
  const Json json = Json::parse(aText, nullptr, false);
  if (json.is_discarded()) {
    return StatusError{ StatusErrorCode::BadJson,
                        "the status is not valid JSON" };
  }
  return StatusFromJson(json);
}

} // namespace lacewingwharf
