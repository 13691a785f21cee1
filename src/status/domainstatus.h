#pragma once

#include "common/clock.h"
#include "common/names.h"
#include "common/result.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingwharf {

inline constexpr std::string_view kStatusPrefix = "status/";

/**
 * Call statistics of an entry in one failure domain, stored as the value of a
 * status object.
 */
struct DomainStatus
{
  std::string entry;
  std::string owner;
  std::string domain;
  int hosts = 0; // Daemons whose reports are included.
  std::int64_t calls = 0;
  std::int64_t refused = 0;
  std::int64_t slow = 0;
  std::int64_t unknown = 0;
  std::int64_t p50Micros = 0;
  std::int64_t p99Micros = 0;
  std::string limit; // The limit that refused most calls; empty if none did.
  std::int64_t bound = 0;
  std::int64_t seen = 0;
  Millis since = 0; // Wall-clock start of the problems; 0 if there are none.
  Millis updated = 0;
  std::vector<std::string> callers;
};

enum class StatusErrorCode
{
  BadJson,
  BadField
};

inline constexpr auto kStatusErrorNames = MakeNameTable<StatusErrorCode>(
  { { StatusErrorCode::BadJson, "bad-json" },
    { StatusErrorCode::BadField, "bad-field" } });

struct StatusError
{
  StatusErrorCode code = StatusErrorCode::BadJson;
  std::string detail;
};

template<typename Value>
using StatusResult = Result<Value, StatusError>;

/** Returns the name of the object: status/ENTRY/DOMAIN. */
std::string
StatusObjectName(std::string_view aEntry, std::string_view aDomain);

nlohmann::json
StatusToJson(const DomainStatus& aStatus);
StatusResult<DomainStatus>
StatusFromJson(const nlohmann::json& aJson);

std::string
EncodeStatus(const DomainStatus& aStatus);
StatusResult<DomainStatus>
DecodeStatus(std::string_view aText);

} // namespace lacewingwharf
