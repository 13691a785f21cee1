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

/** How an entry fares in one failure domain; the value of a status object. */
struct DomainStatus
{
  std::string entry;
  std::string owner;
  std::string domain;
  int hosts = 0; // Daemons that reported it.
  std::int64_t calls = 0;
  std::int64_t refused = 0;
  std::int64_t slow = 0;
  std::int64_t unknown = 0;
  std::int64_t p50Micros = 0;
  std::int64_t p99Micros = 0;
  std::string limit; // Empty when nothing was refused.
  std::int64_t bound = 0;
  std::int64_t seen = 0;
  Millis since = 0; // Wall clock; 0 means that there is no trouble.
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

/** The object's name: status/ENTRY/DOMAIN. */
std::string
StatusName(std::string_view aEntry, std::string_view aDomain);

nlohmann::json
JsonOf(const DomainStatus& aStatus);
StatusResult<DomainStatus>
StatusOf(const nlohmann::json& aJson);

std::string
EncodeStatus(const DomainStatus& aStatus);
StatusResult<DomainStatus>
DecodeStatus(std::string_view aText);

} // namespace lacewingwharf
